#include <atomic>
#include <thread>

#include <gtest/gtest.h>

#include "wagtailbend/attempts/hedge.h"

namespace wagtailbend::attempts {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{ seconds(1000) };

// Guards against retries of concurrent threads that exceed the ratio when every
// call of a daemon fails at once.
TEST(RatioLimiterTest, ConcurrentRetriesStayAtTenPercentOfTenSeconds)
{
  RatioLimiter limiter(kRetryRatioPercent, kMinRetriesPerWindow);
  std::atomic<int> taken{ 0 };
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 1000; i++) {
    limiter.RecordCall(kStart + milliseconds(i * 5));
  }
  for (int thread = 0; thread < 4; thread++) {
    threads.emplace_back([&] {
      for (int i = 0; i < 1000; i++) {
        taken += limiter.TryAcquire(kStart + seconds(5)) ? 1 : 0;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(taken, 100);
  // The calls are no longer in the window, so only the minimum is allowed.
  int allowed = 0;
  for (int i = 0; i < 50; i++) {
    allowed += limiter.TryAcquire(kStart + seconds(16)) ? 1 : 0;
  }
  EXPECT_EQ(allowed, 10);
}

// Guards against a daemon with few calls that cannot retry the first failure of
// a customer who sends a request once, and against a minimum that is added to
// the ratio.
TEST(RatioLimiterTest, MinimumAppliesOncePerWindow)
{
  RatioLimiter limiter(kRetryRatioPercent, kMinRetriesPerWindow);
  const auto take = [&](TimePoint aNow) {
    int taken = 0;
    for (int i = 0; i < 50; i++) {
      taken += limiter.TryAcquire(aNow) ? 1 : 0;
    }
    return taken;
  };
  EXPECT_EQ(take(kStart), 10);
  EXPECT_EQ(take(kStart + seconds(9)), 0);
  for (int i = 0; i < 100; i++) {
    limiter.RecordCall(kStart + seconds(9));
  }
  EXPECT_EQ(take(kStart + seconds(9)), 0);
  EXPECT_EQ(take(kStart + seconds(10)), 10);
}

schema::Schema
TestSchema()
{
  schema::Method lookup;
  lookup.path = "/a.A/Get";
  lookup.service = "a.A";
  lookup.idempotent = true;
  schema::Method order = lookup;
  order.path = "/a.A/Order";
  order.kind = schema::Kind::kOrder;
  return schema::Schema("test", {}, 0, {}, { lookup, order });
}

// Guards against hedged orders, which would run twice, and against hedges that
// exceed the ledger or the ratio.
TEST(HedgePolicyTest, HedgesOnlySlowLookupsInsideBudgetAndRatio)
{
  HedgePolicy policy(TestSchema());
  AttemptLedger ledger(100, {});
  for (int i = 1; i <= 100; i++) {
    policy.RecordLatency("/a.A/Get", milliseconds(i));
    policy.RecordLatency("/a.A/Order", milliseconds(i));
    policy.RecordCall(kStart);
    policy.RecordCall(kStart);
  }
  EXPECT_FALSE(policy.Delay("/a.A/Order"));
  const std::optional<Duration> delay = policy.Delay("/a.A/Get");
  ASSERT_TRUE(delay);
  EXPECT_GE(*delay, milliseconds(95));
  EXPECT_LE(*delay, milliseconds(95) * 5 / 4);

  EXPECT_FALSE(policy.TryHedge("/a.A/Order", seconds(9), ledger, kStart));
  EXPECT_FALSE(policy.TryHedge("/a.A/Get", milliseconds(50), ledger, kStart));
  AttemptLedger empty(0, {});
  EXPECT_FALSE(policy.TryHedge("/a.A/Get", *delay, empty, kStart));
  int hedges = 0;
  for (int i = 0; i < 50; i++) {
    hedges += policy.TryHedge("/a.A/Get", *delay, ledger, kStart) ? 1 : 0;
  }
  EXPECT_EQ(hedges, 10);
  EXPECT_EQ(ledger.Remaining(), 90U);
}

} // namespace
} // namespace wagtailbend::attempts
