#include "wagtailbend/schema/schema.h"

#include <filesystem>
#include <fstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace wagtailbend::schema {
namespace {

using testing::HasSubstr;

std::string
SchemaPath(const std::string& aName)
{
  return std::string(WB_SOURCE_DIR) + "/schemas/" + aName;
}

// Guards against a deployed schema that does not compile, or that changes when
// it is stored as a descriptor set and parsed again.
TEST(SchemaTest, DeployedSchemasRoundTripThroughDescriptorSet)
{
  for (const char* name : { "association.proto", "vukovic.proto" }) {
    auto compiled = CompileSchemaFile(SchemaPath(name), {});
    ASSERT_TRUE(IsOk(compiled)) << GetError(compiled)->detail;
    auto parsed = ParseSchema(GetValue(compiled).descriptorSet);
    ASSERT_TRUE(IsOk(parsed)) << GetError(parsed)->detail;
    EXPECT_EQ(GetValue(parsed), GetValue(compiled).schema);
    EXPECT_EQ(GetValue(parsed).FailureDomains().size(), 4U);
  }
}

// Guards against a minimum that counts only direct calls and so accepts attempt
// budgets that are too small for nested calls.
TEST(SchemaTest, MinimumAttemptsCountsAllNestedCalls)
{
  auto compiled = CompileSchemaFile(SchemaPath("association.proto"), {});
  ASSERT_TRUE(IsOk(compiled));
  const Method* order =
    GetValue(compiled).schema.FindMethod("/association.Payouts/Order");
  ASSERT_NE(order, nullptr);
  // One attempt each for Order, Roster, the Tally that Roster calls, and
  // Lookup.
  EXPECT_EQ(order->minimumAttempts, 4U);
  EXPECT_EQ(order->kind, Kind::kOrder);
}

// Guards against an error message without a file name when the file contains
// neither a deployment nor a service.
TEST(SchemaTest, ErrorNamesFileWithoutPolicies)
{
  const std::string file = testing::TempDir() + "/no_policies.proto";
  std::ofstream(file) << "syntax = \"proto3\"; package bad;";
  auto compiled = CompileSchemaFile(file, {});
  ASSERT_FALSE(IsOk(compiled));
  EXPECT_THAT(GetError(compiled)->detail,
              HasSubstr("no_policies.proto: service: the schema declares"));
}

struct InvalidSchemaCase
{
  const char* name;
  const char* options;
  const char* expected;
};

class BadSchemaTest : public testing::TestWithParam<InvalidSchemaCase>
{};

// Guards against an invalid schema that is accepted, or rejected without naming
// the file and the field.
TEST_P(BadSchemaTest, IsRejectedWithFileFieldAndReason)
{
  const std::string file =
    testing::TempDir() + "/" + GetParam().name + ".proto";
  std::ofstream(file) << R"(
syntax = "proto3";
package shop;
import "wagtailbend/options.proto";
option (wagtailbend.deployment) = {
  name: "shop" failure_domains: { name: "a" region: "r" }
  cross_region_kbit_per_s: 1000
};
message M {}
service S {
  option (wagtailbend.service) = { slots: 1 connections: 1 };
  rpc Get(M) returns (M) { option (wagtailbend.method) = { )"
                      << GetParam().options << R"( }; }
}
)";
  auto compiled = CompileSchemaFile(file, {});
  ASSERT_FALSE(IsOk(compiled));
  EXPECT_THAT(GetError(compiled)->detail,
              HasSubstr(std::string(GetParam().name) + ".proto: "));
  EXPECT_THAT(GetError(compiled)->detail, HasSubstr(GetParam().expected));
}

INSTANTIATE_TEST_SUITE_P(
  Cases,
  BadSchemaTest,
  testing::Values(
    InvalidSchemaCase{ "kind",
                       "priority: 1 deadline_ms: 5 attempt_budget: 1",
                       "shop.S/Get.kind" },
    InvalidSchemaCase{
      "priority",
      "kind: LOOKUP priority: 10 deadline_ms: 5 attempt_budget: 1",
      "shop.S/Get.priority: must be 0 to 9" },
    InvalidSchemaCase{ "deadline",
                       "kind: LOOKUP attempt_budget: 1",
                       "shop.S/Get.deadline_ms" },
    InvalidSchemaCase{ "budget",
                       "kind: LOOKUP deadline_ms: 5",
                       "shop.S/Get.attempt_budget" },
    InvalidSchemaCase{ "unknown_callee",
                       "kind: LOOKUP deadline_ms: 5 attempt_budget: 1 "
                       "calls: \"shop.T/Get\"",
                       "\"shop.T/Get\" is not declared" },
    InvalidSchemaCase{ "cycle",
                       "kind: LOOKUP deadline_ms: 5 attempt_budget: 9 "
                       "calls: \"shop.S/Get\"",
                       "calls itself" },
    InvalidSchemaCase{ "idempotent_order",
                       "kind: ORDER deadline_ms: 5 attempt_budget: 1 "
                       "idempotent: true",
                       "cannot be idempotent" },
    InvalidSchemaCase{ "unknown_field", "speed: 1", "speed" }),
  [](const auto& aInfo) { return aInfo.param.name; });

// Guards against stored bytes that are corrupt or empty and yield a schema.
TEST(SchemaTest, MalformedDescriptorSetIsRejected)
{
  EXPECT_FALSE(IsOk(ParseSchema("\xff\xff\xff")));
  EXPECT_FALSE(IsOk(ParseSchema("")));
}

} // namespace
} // namespace wagtailbend::schema
