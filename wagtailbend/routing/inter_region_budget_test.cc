#include "wagtailbend/routing/inter_region_budget.h"

#include <algorithm>
#include <memory>
#include <numeric>
#include <vector>

#include <gtest/gtest.h>

#include "wagtailbend/base/rng.h"

namespace wagtailbend::routing {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

// Guards against bulk requests and lookups that use up the bytes reserved for
// orders.
TEST(LinkBudgetTest, LowerClassesReserveCapacityForOrders)
{
  InterRegionBudget budget({ .initialRate = 1e6, .burst = milliseconds(100) },
                           kStart);
  const auto takeAll = [&](TrafficClass aClass) {
    int taken = 0;
    while (budget.TryTake(aClass, 1000, kStart)) {
      ++taken;
    }
    return taken;
  };
  EXPECT_EQ(takeAll(TrafficClass::kBulk), 30);
  EXPECT_EQ(takeAll(TrafficClass::kLookup), 40);
  EXPECT_EQ(takeAll(TrafficClass::kBulk), 0);
  EXPECT_EQ(takeAll(TrafficClass::kOrder), 30);
  EXPECT_FALSE(budget.TryTake(TrafficClass::kOrder, 1000, kStart));
  EXPECT_TRUE(
    budget.TryTake(TrafficClass::kOrder, 1000, kStart + milliseconds(1)));
}

// A network with a queue, shared by ten daemons that send as much as their
// budgets allow. The first one starts with half of the capacity.
struct SharedNetwork
{
  static constexpr int kDaemons = 10;
  static constexpr double kRate = 30e6 / 8;

  std::vector<std::unique_ptr<InterRegionBudget>> budgets;
  std::vector<double> taken = std::vector<double>(kDaemons);
  double queued = 0;
  double sent = 0;
  double worstDelayMs = 0;
  Rng rng{ 5 };

  SharedNetwork()
  {
    for (int i = 0; i < kDaemons; ++i) {
      InterRegionBudgetConfig config;
      config.initialRate = i == 0 ? kRate / 2 : kRate / 100;
      budgets.push_back(std::make_unique<InterRegionBudget>(config, kStart));
    }
  }

  void Run(int aFromMs, int aToMs)
  {
    std::fill(taken.begin(), taken.end(), 0);
    sent = worstDelayMs = 0;
    for (int step = aFromMs; step < aToMs; ++step) {
      const TimePoint now = kStart + milliseconds(step);
      for (int i = 0; i < kDaemons; ++i) {
        while (budgets[i]->TryTake(TrafficClass::kOrder, 1000, now)) {
          queued += 1000;
          taken[i] += 1000;
        }
      }
      const double served = std::min(queued, kRate / 1000);
      queued -= served;
      sent += served;
      const double delayMs = queued / kRate * 1000;
      worstDelayMs = std::max(worstDelayMs, delayMs);
      budgets[UniformBelow(rng, kDaemons)]->OnRoundTrip(
        std::chrono::duration_cast<Duration>(
          std::chrono::duration<double, std::milli>(60 + delayMs)),
        now);
    }
  }
};

// Guards against daemons that together overload the network, leave most of it
// unused, or starve one of them.
TEST(LinkBudgetTest, DaemonsShareTheNetwork)
{
  SharedNetwork network;
  network.Run(0, 30'000);
  network.Run(30'000, 60'000);
  const double total =
    std::accumulate(network.taken.begin(), network.taken.end(), 0.0);
  EXPECT_GT(network.sent, 0.7 * SharedNetwork::kRate * 30);
  EXPECT_LT(network.worstDelayMs, 50);
  for (const double share : network.taken) {
    EXPECT_GT(share, total / SharedNetwork::kDaemons / 2);
    EXPECT_LT(share, total / SharedNetwork::kDaemons * 2);
  }
}

} // namespace
} // namespace wagtailbend::routing
