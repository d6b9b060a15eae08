#include "wagtailbend/store/platform.h"

namespace wagtailbend::store {

Result<TableSnapshot>
Platform::ReadTable(const std::string& aTable)
{
  return Error{ ErrorKind::kInvalidRequest,
                "platform does not support table snapshots; table: " + aTable };
}

Result<TableChanges>
Platform::WaitForChanges(const std::string& aTable,
                         uint64_t /*aVersion*/,
                         Duration /*aWait*/)
{
  return Error{ ErrorKind::kInvalidRequest,
                "platform does not support waiting for table changes; table: " +
                  aTable };
}

} // namespace wagtailbend::store
