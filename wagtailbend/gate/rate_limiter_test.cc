#include "wagtailbend/gate/rate_limiter.h"

#include <gtest/gtest.h>

namespace wagtailbend::gate {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::seconds(100) };

/// Returns how many requests pass within aDuration if one is tried every
/// aInterval.
int
CountTaken(RateLimiter& aLimiter, Duration aDuration, Duration aInterval)
{
  int taken = 0;
  for (Duration since{}; since < aDuration; since += aInterval) {
    taken += aLimiter.TryTake(kStart + since) ? 1 : 0;
  }
  return taken;
}

TEST(RateLimiterTest, AdmitsEverythingWithoutALimit)
{
  RateLimiter limiter;
  EXPECT_EQ(CountTaken(limiter, milliseconds(100), milliseconds(1)), 100);
  EXPECT_EQ(limiter.Wait(1000, kStart), Duration{});
}

struct RateCase
{
  double limit;
  int taken;
};

class Rate : public ::testing::TestWithParam<RateCase>
{};

// Guards against exceeding the limit, and against losing unused capacity.
TEST_P(Rate, MatchesTheLimitOverFourSeconds)
{
  RateLimiter limiter;
  limiter.SetLimit(GetParam().limit, kStart);
  EXPECT_NEAR(CountTaken(limiter, std::chrono::seconds(4), milliseconds(20)),
              GetParam().taken,
              1);
}

INSTANTIATE_TEST_SUITE_P(Limits,
                         Rate,
                         ::testing::Values(RateCase{ 0, 3 },
                                           RateCase{ 4, 17 },
                                           RateCase{ 29.2, 118 },
                                           RateCase{ 50, 201 }));

// Guards against a burst after a quiet period.
TEST(RateLimiterTest, QuietPeriodAllowsASmallBurstOnly)
{
  RateLimiter limiter;
  limiter.SetLimit(20, kStart);
  int taken = 0;
  while (limiter.TryTake(kStart + std::chrono::hours(1))) {
    ++taken;
  }
  EXPECT_EQ(taken, 3);
}

TEST(RateLimiterTest, RequestSentInAnyCaseDelaysLaterOnes)
{
  RateLimiter limiter;
  limiter.SetLimit(10, kStart);
  limiter.Take(kStart);
  limiter.Take(kStart);
  EXPECT_EQ(ToMilliseconds(limiter.Wait(0, kStart)), 200);
  EXPECT_EQ(ToMilliseconds(limiter.Wait(3, kStart)), 500);
  EXPECT_FALSE(limiter.TryTake(kStart + milliseconds(199)));
  EXPECT_TRUE(limiter.TryTake(kStart + milliseconds(201)));
}

// Guards against granting a token whenever a response repeats the limit.
TEST(RateLimiterTest, RepeatedLimitGrantsNoTokens)
{
  RateLimiter limiter;
  limiter.SetLimit(10, kStart);
  EXPECT_TRUE(limiter.TryTake(kStart));
  limiter.SetLimit(10, kStart);
  limiter.SetLimit(5, kStart);
  EXPECT_FALSE(limiter.TryTake(kStart));
}

} // namespace
} // namespace wagtailbend::gate
