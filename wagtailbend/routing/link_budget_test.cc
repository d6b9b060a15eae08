#include "wagtailbend/routing/link_budget.h"

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

// Guards against bulk work that takes the bytes of orders.
TEST(LinkBudgetTest, LowerClassesLeaveRoomForOrders)
{
  LinkBudget budget({ .initialRate = 1e6, .burst = milliseconds(100) }, kStart);
  const auto takeAll = [&](LinkClass aClass) {
    int taken = 0;
    while (budget.TryTake(aClass, 1000, kStart)) {
      ++taken;
    }
    return taken;
  };
  EXPECT_EQ(takeAll(LinkClass::kBulk), 30);
  EXPECT_EQ(takeAll(LinkClass::kLookup), 40);
  EXPECT_EQ(takeAll(LinkClass::kBulk), 0);
  EXPECT_EQ(takeAll(LinkClass::kOrder), 30);
  EXPECT_FALSE(budget.TryTake(LinkClass::kOrder, 1000, kStart));
  EXPECT_TRUE(
    budget.TryTake(LinkClass::kOrder, 1000, kStart + milliseconds(1)));
}

// A link with a queue, shared by ten daemons that send as much as they may. The
// first starts with half of the link.
struct SharedLink
{
  static constexpr int kDaemons = 10;
  static constexpr double kRate = 30e6 / 8;

  std::vector<std::unique_ptr<LinkBudget>> budgets;
  std::vector<double> taken = std::vector<double>(kDaemons);
  double queued = 0;
  double sent = 0;
  double worstDelayMs = 0;
  Rng rng{ 5 };

  SharedLink()
  {
    for (int i = 0; i < kDaemons; ++i) {
      LinkBudgetConfig config;
      config.initialRate = i == 0 ? kRate / 2 : kRate / 100;
      budgets.push_back(std::make_unique<LinkBudget>(config, kStart));
    }
  }

  void Run(int aFromMs, int aToMs)
  {
    std::fill(taken.begin(), taken.end(), 0);
    sent = worstDelayMs = 0;
    for (int step = aFromMs; step < aToMs; ++step) {
      const TimePoint now = kStart + milliseconds(step);
      for (int i = 0; i < kDaemons; ++i) {
        while (budgets[i]->TryTake(LinkClass::kOrder, 1000, now)) {
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

// Guards against daemons that together overload the link, leave most of it
// unused, or starve one of them.
TEST(LinkBudgetTest, DaemonsShareTheLink)
{
  SharedLink link;
  link.Run(0, 30'000);
  link.Run(30'000, 60'000);
  const double total =
    std::accumulate(link.taken.begin(), link.taken.end(), 0.0);
  EXPECT_GT(link.sent, 0.7 * SharedLink::kRate * 30);
  EXPECT_LT(link.worstDelayMs, 50);
  for (const double share : link.taken) {
    EXPECT_GT(share, total / SharedLink::kDaemons / 2);
    EXPECT_LT(share, total / SharedLink::kDaemons * 2);
  }
}

} // namespace
} // namespace wagtailbend::routing
