#include <gtest/gtest.h>

#include "wagtailbend/exchange/retry_after.h"
#include "wagtailbend/exchange/retry_budget.h"
#include "wagtailbend/gate/target_queue.h"

namespace wagtailbend::exchange {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kNow{ std::chrono::seconds(100) };

// Guards against retries of many daemons that together exceed the system-wide
// bound, at any number of daemons.
TEST(RetryAllowanceTest, AllDaemonsTogetherStayWithinTheBound)
{
  constexpr double kRatio = 0.2;
  constexpr uint32_t kExtra = 49;
  for (const size_t daemons : { 1U, 17U, 89U, 690U }) {
    uint32_t taken = 0;
    uint32_t calls = 0;
    for (size_t i = 0; i < daemons; ++i) {
      RetryBudget budget({ kRatio, kExtra, 0.85 });
      budget.SetDaemons(daemons);
      for (int call = 0; call < 20; ++call) {
        ++calls;
        budget.RecordCall("s", kNow);
        taken += budget.TryTake("s", {}, kNow) ? 1 : 0;
      }
    }
    EXPECT_LE(taken, kRatio * calls + kExtra) << daemons;
  }
}

// Guards against a daemon that starts under load and uses the budget of a
// single daemon because it does not know its peers yet.
TEST(RetryAllowanceTest, StaysWithinItsShareBeforeItKnowsItsPeers)
{
  const auto takeAll = [](RetryBudget& aBudget) {
    int taken = 0;
    while (taken < 1000 && aBudget.TryTake("s", {}, kNow)) {
      ++taken;
    }
    return taken;
  };
  RetryBudget budget({ 0.2, 170, 1.0 });
  EXPECT_LE(takeAll(budget), 170 / 17);
  budget.SetDaemons(17);
  EXPECT_LE(takeAll(budget), 170 / 17);
  budget.SetDaemons(18);
  EXPECT_EQ(takeAll(budget), 0);
}

RetryBudget
MakeBusyBudget()
{
  RetryBudget budget({ 0.2, 200 });
  budget.SetDaemons(1);
  for (int i = 0; i < 2000; ++i) {
    budget.RecordCall("s", kNow);
  }
  return budget;
}

int
TakeAll(RetryBudget& aBudget, const RetryClaim& aClaim)
{
  int taken = 0;
  while (taken < 10000 && aBudget.TryTake("s", aClaim, kNow)) {
    ++taken;
  }
  return taken;
}

constexpr RetryClaim kOrder{ 0, 0, false };
constexpr RetryClaim kLookup{ 2, 0, false };
constexpr RetryClaim kNestedCallOfLookup{ 2, 0, true };

// Guards against lookups that exhaust the retries of orders, and nested calls
// of lookups that exhaust those of lookups.
TEST(RetryAllowanceTest, ReservesAShareForMoreImportantRequests)
{
  RetryBudget budget = MakeBusyBudget();
  EXPECT_GT(TakeAll(budget, kNestedCallOfLookup), 20);
  EXPECT_GT(TakeAll(budget, kLookup), 50);
  EXPECT_GT(TakeAll(budget, kOrder), 100);
  EXPECT_EQ(TakeAll(budget, kNestedCallOfLookup), 0);
}

// Guards against retries that are spread over so many orders that none gets all
// the retries it needs.
TEST(RetryAllowanceTest, LowRanksGetWhatHighRanksMayNotUse)
{
  RetryBudget budget = MakeBusyBudget();
  const int highRank = TakeAll(budget, { 0, gate::kRankCount - 1, true });
  const int lowRank = TakeAll(budget, { 0, 0, true });
  EXPECT_GT(highRank, 2 * lowRank);
  EXPECT_GT(lowRank, highRank / 4);
  EXPECT_EQ(TakeAll(budget, { 0, gate::kRankCount - 1, true }), 0);
}

// Guards against nested calls of a retried run that are not counted once the
// budget is exhausted.
TEST(RetryAllowanceTest, CountsExtrasThatWereAllowedElsewhere)
{
  RetryBudget budget = MakeBusyBudget();
  const int available = TakeAll(budget, kOrder);
  RetryBudget used = MakeBusyBudget();
  for (int i = 0; i < 2 * available; ++i) {
    used.RecordExtra("s", kNow);
  }
  EXPECT_EQ(TakeAll(used, kOrder), 0);
}

// Guards against delays so long that the caller gives up, and against callers
// that all retry at the same time.
TEST(ReturnTimeTest, IsSpreadWithinTheCallersRemainingTime)
{
  Rng rng(3);
  Duration shortest = std::chrono::hours(1);
  Duration longest{};
  for (int i = 0; i < 1000; ++i) {
    const Duration delay = RetryAfterDelay(
      milliseconds(4800), milliseconds(1000), 0.5, milliseconds(100), rng);
    shortest = std::min(shortest, delay);
    longest = std::max(longest, delay);
  }
  EXPECT_GT(shortest, milliseconds(100));
  EXPECT_LE(longest, milliseconds(1600));
  EXPECT_GT(longest, 2 * shortest);
}

// Guards against delays beyond the objective although capacity is available
// again soon.
TEST(ReturnTimeTest, StaysWithinTheObjectiveIfMostAreAdmitted)
{
  Rng rng(3);
  for (int i = 0; i < 1000; ++i) {
    EXPECT_LE(
      RetryAfterDelay(
        milliseconds(5000), milliseconds(1000), 1.0, milliseconds(100), rng),
      milliseconds(800));
  }
}

// Guards against delays beyond the caller's deadline when little time is left.
TEST(ReturnTimeTest, NeverExceedsTheRemainingTime)
{
  Rng rng(3);
  EXPECT_LE(
    RetryAfterDelay(milliseconds(30), milliseconds(-100), 0.5, Duration{}, rng),
    milliseconds(10));
}

} // namespace
} // namespace wagtailbend::exchange
