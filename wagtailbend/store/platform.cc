#include "wagtailbend/store/platform.h"

namespace wagtailbend::store {

Result<TableSnapshot>
Platform::ReadTable(const std::string& aTable)
{
  return Error{ ErrorKind::kInvalidRequest,
                "this platform has no snapshots of tables: " + aTable };
}

Result<TableChanges>
Platform::WaitForChanges(const std::string& aTable,
                         uint64_t /*aVersion*/,
                         Duration /*aWait*/)
{
  return Error{ ErrorKind::kInvalidRequest,
                "this platform reports no changes of tables: " + aTable };
}

} // namespace wagtailbend::store
