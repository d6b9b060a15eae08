#include <fstream>
#include <sstream>

#include <fmt/format.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "wagtailbend/settings/settings.h"

namespace wagtailbend::settings {
namespace {

std::string
ReadOperationsPage()
{
  std::ifstream file(std::string(WB_SOURCE_DIR) + "/docs/OPERATIONS.md");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Guards against an operations page whose unit, default, range or description
// of a setting differs from the code.
TEST(ReferenceTest, OperationsPageListsEverySetting)
{
  const std::string page = ReadOperationsPage();
  for (const SettingDescription& setting : DescribeSettings()) {
    const std::string line =
      fmt::format("| `{}` | {} | {} | {} | {} |",
                  setting.name,
                  setting.unit.empty() ? "-" : setting.unit,
                  setting.defaultValue.empty() ? "empty" : setting.defaultValue,
                  setting.range,
                  setting.description);
    EXPECT_THAT(page, testing::HasSubstr(line));
  }
}

// Guards against an operations page whose response for an error kind differs
// from the code.
TEST(ReferenceTest, OperationsPageListsEveryErrorKind)
{
  const std::string page = ReadOperationsPage();
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    const ErrorResponse& response = ErrorResponseFor(static_cast<ErrorKind>(i));
    const std::string line = fmt::format("| `{}` | {} | {} | {} |",
                                         response.name,
                                         response.grpcCode,
                                         RunStateName(response.runState),
                                         response.retryable ? "yes" : "no");
    EXPECT_THAT(page, testing::HasSubstr(line));
  }
}

} // namespace
} // namespace wagtailbend::settings
