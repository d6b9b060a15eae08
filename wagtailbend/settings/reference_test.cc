#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "wagtailbend/settings/settings.h"

namespace wagtailbend::settings {
namespace {

std::string
OperationsPage()
{
  std::ifstream file(std::string(WB_SOURCE_DIR) + "/docs/OPERATIONS.md");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Guards against a setting whose documented default or range is not the
// program's.
TEST(ReferenceTest, OperationsPageListsEverySetting)
{
  const std::string page = OperationsPage();
  for (const SettingDescription& row : DescribeSettings()) {
    const std::string line =
      fmt::format("| `{}` | {} | {} | {} | {} |",
                  row.name,
                  row.unit.empty() ? "-" : row.unit,
                  row.defaultValue.empty() ? "empty" : row.defaultValue,
                  row.range,
                  row.text);
    EXPECT_THAT(page, testing::HasSubstr(line));
  }
}

// Guards against an error kind whose documented answer is not the program's.
TEST(ReferenceTest, OperationsPageListsEveryErrorKind)
{
  const std::string page = OperationsPage();
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    const ErrorResponse& answer = ErrorResponseFor(static_cast<ErrorKind>(i));
    const std::string line = fmt::format("| `{}` | {} | {} | {} |",
                                         answer.name,
                                         answer.grpcCode,
                                         RunStateName(answer.runState),
                                         answer.retryable ? "yes" : "no");
    EXPECT_THAT(page, testing::HasSubstr(line));
  }
}

} // namespace
} // namespace wagtailbend::settings
