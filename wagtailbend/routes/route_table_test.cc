#include "wagtailbend/routes/route_table.h"

#include <gtest/gtest.h>

#include "wagtailbend/routes/split_picker.h"

namespace wagtailbend::routes {
namespace {

Route
MakeRoute(const std::string& aName,
          const std::string& aHost,
          const std::string& aPrefix)
{
  Route route;
  route.name = aName;
  route.host = aHost;
  route.prefix = aPrefix;
  route.splits = { { "stock", 1 } };
  return route;
}

RouteConfig
MakeConfig(std::vector<Route> aRoutes)
{
  RouteConfig config;
  config.version = 3;
  config.routes = std::move(aRoutes);
  config.services = { { "stock", "/health", 10 }, { "orders", "/health", 10 } };
  return config;
}

// Guards against requests that are routed by a shorter matching prefix or by a
// prefix of another host.
TEST(RouteTableTest, FindsLongestPrefixOfHost)
{
  const auto table = RouteTable::Make(
    MakeConfig({ MakeRoute("short", "a.example", "/x/"),
                 MakeRoute("long", "a.example", "/x/y/"),
                 MakeRoute("other", "b.example", "/x/y/z/") }));
  const auto findName = [&table](const char* aHost, const char* aTarget) {
    const Route* route = table->Find(aHost, aTarget);
    return route == nullptr ? "" : route->name;
  };
  EXPECT_EQ(findName("a.example", "/x/1"), "short");
  EXPECT_EQ(findName("a.example", "/x/y/z/1"), "long");
  EXPECT_EQ(findName("A.Example:8080", "/x/y/"), "long");
  EXPECT_EQ(findName("a.example", "/x"), "");
  EXPECT_EQ(findName("a.example", "/xy/1"), "");
  EXPECT_EQ(findName("a.example", "/?p=/x/"), "");
  EXPECT_EQ(findName("c.example", "/x/1"), "");
}

// Guards against accepting a configuration with an invalid prefix, an unknown
// service, no positive weight, or two routes with the same host and prefix.
TEST(RouteTableTest, ValidationRejectsInvalidConfigs)
{
  EXPECT_EQ(ValidateRouteConfig(MakeConfig({ MakeRoute("r", "a", "/x/") })),
            "");
  Route route = MakeRoute("r", "a", "/x");
  EXPECT_NE(ValidateRouteConfig(MakeConfig({ route })), "");
  route = MakeRoute("r", "a", "/x/");
  route.splits = { { "unknown", 1 } };
  EXPECT_NE(ValidateRouteConfig(MakeConfig({ route })), "");
  route.splits = { { "stock", 0 } };
  EXPECT_NE(ValidateRouteConfig(MakeConfig({ route })), "");
  EXPECT_NE(ValidateRouteConfig(MakeConfig(
              { MakeRoute("r", "a", "/x/"), MakeRoute("s", "A", "/x/") })),
            "");
}

// Guards against a random choice, whose shares match the weights only over
// thousands of requests.
TEST(SplitPickerTest, MatchesWeightsOverFewRequests)
{
  Route route = MakeRoute("r", "a", "/x/");
  route.splits = { { "stock", 90 }, { "orders", 10 } };
  SplitPicker picker;
  Rng rng(1);
  int orders = 0;
  for (int i = 0; i < 50; ++i) {
    orders += picker.Pick(route, rng) == "orders" ? 1 : 0;
  }
  EXPECT_NEAR(orders, 5, 1);
}

// Guards against sending requests to a service whose weight is zero.
TEST(SplitPickerTest, NeverPicksServiceWithZeroWeight)
{
  Route route = MakeRoute("r", "a", "/x/");
  route.splits = { { "stock", 0 }, { "orders", 1 } };
  for (uint64_t seed = 0; seed < 50; ++seed) {
    SplitPicker picker;
    Rng rng(seed);
    for (int i = 0; i < 10; ++i) {
      EXPECT_EQ(picker.Pick(route, rng), "orders");
    }
  }
}

} // namespace
} // namespace wagtailbend::routes
