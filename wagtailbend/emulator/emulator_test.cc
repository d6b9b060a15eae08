#include "wagtailbend/emulator/emulator.h"

#include <fstream>
#include <sstream>

#include <gtest/gtest.h>

namespace wagtailbend::emulator {
namespace {

constexpr uint64_t kSeeds = 3;

World
ReadExperiment(const std::string& aName)
{
  std::ifstream file(std::string(WB_SOURCE_DIR) + "/experiments/" + aName);
  std::stringstream text;
  text << file.rdbuf();
  auto world = ReadWorld(text.str());
  EXPECT_TRUE(IsOk(world));
  return TakeValue(std::move(world));
}

Outcome
Mean(const World& aWorld, const Policy& aPolicy)
{
  Outcome mean;
  mean.routes.resize(aWorld.routes.size());
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Outcome outcome = Emulator(aWorld, aPolicy, seed).Run();
    mean.value += outcome.value / kSeeds;
    mean.wasted += outcome.wasted / kSeeds;
    for (size_t i = 0; i < mean.routes.size(); ++i) {
      mean.routes[i].offered += outcome.routes[i].offered;
      mean.routes[i].onTime += outcome.routes[i].onTime;
      mean.routes[i].late += outcome.routes[i].late;
    }
  }
  return mean;
}

constexpr size_t kCheck = 0;
constexpr size_t kOrder = 1;

TEST(EmulatorTest, TheSameSeedGivesTheSameOutcome)
{
  const World world = ReadExperiment("deep_overload.json");
  EXPECT_EQ(Emulator(world, kProduct, 5).Run(),
            Emulator(world, kProduct, 5).Run());
}

// Guards against an emulator that loses requests.
TEST(EmulatorTest, EveryCustomerIsCountedOnce)
{
  const World world = ReadExperiment("deep_overload.json");
  const Outcome outcome = Emulator(world, kProduct, 1).Run();
  for (const RouteOutcome& route : outcome.routes) {
    EXPECT_EQ(route.onTime + route.late + route.rejected + route.failed,
              route.offered);
  }
}

// Load: half of what is offered. Guards against rejections without need.
TEST(EmulatorTest, ServesAllOnACalmDay)
{
  World world = ReadExperiment("deep_overload.json");
  world.surges.clear();
  world.swing = 0;
  for (RouteLoad& route : world.routes) {
    route.perSecond *= 0.5;
  }
  const Outcome outcome = Mean(world, kProduct);
  EXPECT_GT(outcome.value, 0.98);
}

// Load: a service three calls deep is asked for up to 2.8 times its capacity.
// Guards against checks that make nine of ten calls in vain, and against
// orders that fail with them.
TEST(EmulatorTest, DeepOverloadServesMoreThanThePlainWay)
{
  const World world = ReadExperiment("deep_overload.json");
  const Outcome product = Mean(world, kProduct);
  const Outcome plain = Mean(world, kPlain);
  EXPECT_GT(product.value, plain.value + 0.1);
  EXPECT_GT(product.routes[kOrder].ServedShare(), 0.9);
  EXPECT_GT(product.routes[kCheck].ServedShare(),
            plain.routes[kCheck].ServedShare());
  EXPECT_LT(product.wasted, plain.wasted);
}

// The same load. Guards against levels that bring nothing over the queue alone.
TEST(EmulatorTest, LevelsSaveWorkInDeepOverload)
{
  const World world = ReadExperiment("deep_overload.json");
  Policy withoutLevels = kProduct;
  withoutLevels.levels = false;
  EXPECT_GE(Mean(world, kProduct).value,
            Mean(world, withoutLevels).value - 0.01);
  EXPECT_LT(Mean(world, kProduct).wasted, Mean(world, withoutLevels).wasted);
}

TEST(WorldTest, NamesWhatIsWrong)
{
  EXPECT_FALSE(IsOk(ReadWorld("{")));
  EXPECT_FALSE(IsOk(ReadWorld(R"({"domains":[],"services":[],"routes":[]})")));
  EXPECT_FALSE(IsOk(ReadWorld(
    R"({"domains":[{"name":"a","region":"x"}],"services":[],
        "routes":[{"name":"r","service":"none"}]})")));
}

// Load: all targets of a service three calls deep reject 55% of what arrives.
// Guards against repeats that are spread over all requests, so that hardly any
// gets the four calls that it needs.
TEST(EmulatorTest, RationedRepeatsServeMoreOrders)
{
  const World world = ReadExperiment("shedding_targets.json");
  Policy spread = kProduct;
  spread.rationed = false;
  const Outcome product = Mean(world, kProduct);
  const Outcome plain = Mean(world, spread);
  EXPECT_GT(product.value, plain.value + 0.03);
  EXPECT_GT(product.routes[kOrder].ServedShare(),
            plain.routes[kOrder].ServedShare() + 0.1);
}

// Guards against rejecting requests that the unlimited target could run.
TEST(EmulatorTest, LimitedTargetsLeaveTheirServiceOpen)
{
  const Outcome outcome =
    Mean(ReadExperiment("limited_targets.json"), kProduct);
  EXPECT_GT(outcome.value, 0.98);
  EXPECT_GT(outcome.routes[kCheck].ServedShare(), 0.99);
  EXPECT_GT(outcome.routes[kOrder].ServedShare(), 0.99);
}

// Load: half of the capacity, beside one lookup and one order that crash their
// targets and are sent again twelve times each. Guards against losing more than
// two targets to each, and against rejecting what ran beside them.
TEST(EmulatorTest, ACrashingRequestCostsTwoTargets)
{
  const World world = ReadExperiment("crashing_requests.json");
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Outcome outcome = Emulator(world, kProduct, seed).Run();
    EXPECT_LE(outcome.crashes, 4U) << seed;
    EXPECT_GE(outcome.crashes, 2U) << seed;
    EXPECT_GT(outcome.value, 0.98) << seed;
    EXPECT_GT(Emulator(world, kPlain, seed).Run().crashes, 10U) << seed;
  }
}

} // namespace
} // namespace wagtailbend::emulator
