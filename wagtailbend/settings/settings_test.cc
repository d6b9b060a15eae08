#include "wagtailbend/settings/settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace wagtailbend::settings {
namespace {

using testing::HasSubstr;

constexpr const char* kValidSettings = R"({
  // Comments are allowed.
  "name": "balances-1",
  "failure_domain": "ranong",
  "listen": {
    "customer": "127.0.0.1:7001", "peer": "127.0.0.1:7002",
    "egress": "127.0.0.1:7003", "admin": "127.0.0.1:7004",
    "gossip": "127.0.0.1:7005", "http": "127.0.0.1:7006"
  },
  "seeds": ["127.0.0.1:7105"]
})";

std::string
ValidSettingsWith(const std::string& aAddition)
{
  std::string text = kValidSettings;
  text.insert(text.rfind('}'), ", " + aAddition);
  return text;
}

// Guards against an omitted setting that does not get its default, and against
// a seed list that is not read.
TEST(SettingsTest, ValidSettingsHaveDefaults)
{
  const auto settings = ParseSettings(kValidSettings, "file.json");
  ASSERT_TRUE(IsOk(settings)) << GetError(settings)->detail;
  EXPECT_EQ(GetValue(settings).platformTimeoutMs, 1500U);
  EXPECT_EQ(GetValue(settings).logLevel, "info");
  EXPECT_THAT(GetValue(settings).seeds, testing::ElementsAre("127.0.0.1:7105"));
}

// Guards against reporting only the first problem, which forces an operator to
// restart the daemon once per mistake.
TEST(SettingsTest, AllProblemsAreReportedAtOnce)
{
  const auto settings = ParseSettings(
    ValidSettingsWith(R"("platform": {"timeout_s": 1, "url": "ftp://x"},
            "drain": {"timeout_ms": -1}, "colour": "red",
            "trace": {"sample_per_million": 1000001}, "log": {"level": 3})"),
    "f");
  ASSERT_FALSE(IsOk(settings));
  const std::string& detail = GetError(settings)->detail;
  EXPECT_THAT(detail,
              HasSubstr("f: platform.timeout_s: has the wrong unit; use "
                        "platform.timeout_ms in ms"));
  EXPECT_THAT(detail, HasSubstr("f: platform.url: must start with http://"));
  EXPECT_THAT(detail,
              HasSubstr("f: drain.timeout_ms: must be an integer from"));
  EXPECT_THAT(detail, HasSubstr("f: colour: is not a known setting"));
  EXPECT_THAT(detail, HasSubstr("f: trace.sample_per_million: must be"));
  EXPECT_THAT(detail, HasSubstr("f: log.level: must be a string"));
}

struct InvalidSettingsCase
{
  const char* name;
  const char* text;
  const char* expected;
};

class BadSettingsTest : public testing::TestWithParam<InvalidSettingsCase>
{};

// Guards against an invalid file or value that is accepted, or rejected without
// naming the setting and the reason.
TEST_P(BadSettingsTest, IsRejected)
{
  const auto settings = ParseSettings(GetParam().text, "f");
  ASSERT_FALSE(IsOk(settings));
  EXPECT_THAT(GetError(settings)->detail, HasSubstr(GetParam().expected));
}

INSTANTIATE_TEST_SUITE_P(
  Cases,
  BadSettingsTest,
  testing::Values(
    InvalidSettingsCase{ "empty", "", "not valid JSON" },
    InvalidSettingsCase{ "list", "[]", "one JSON object" },
    InvalidSettingsCase{ "missing", "{}", "f: listen.customer: is required" },
    InvalidSettingsCase{ "host_name",
                         R"({"listen": {"peer": "localhost:1"}})",
                         "f: listen.peer: must be an IPv4 address" },
    InvalidSettingsCase{ "egress",
                         R"({"listen": {"egress": "10.0.0.1:80"}})",
                         "f: listen.egress: must be a loopback" },
    InvalidSettingsCase{ "port",
                         R"({"listen": {"peer": "127.0.0.1:70000"}})",
                         "f: listen.peer: must be" }),
  [](const auto& aInfo) { return aInfo.param.name; });

} // namespace
} // namespace wagtailbend::settings
