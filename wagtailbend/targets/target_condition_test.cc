#include "wagtailbend/targets/target_condition.h"

#include <gtest/gtest.h>

namespace wagtailbend::targets {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::seconds(100) };

TargetNotice
Limit(double aRequestsPerSecond)
{
  TargetNotice notice;
  notice.requestsPerSecond = aRequestsPerSecond;
  return notice;
}

TEST(TargetConditionTest, FirstResponseMakesTheConditionKnown)
{
  TargetCondition condition;
  EXPECT_FALSE(condition.IsKnown());
  EXPECT_TRUE(condition.OnResponse({}, kStart, kStart));
  EXPECT_TRUE(condition.IsKnown());
  EXPECT_FALSE(condition.OnResponse({}, kStart, kStart));
}

// Guards against a limit that ends with a response written before it.
TEST(TargetConditionTest, ResponseToAnEarlierRequestKeepsTheLimit)
{
  TargetCondition condition;
  const TimePoint named = kStart + milliseconds(100);
  EXPECT_TRUE(condition.OnResponse(Limit(4), kStart, named));
  EXPECT_FALSE(condition.OnResponse(
    {}, named - milliseconds(1), named + milliseconds(50)));
  EXPECT_EQ(condition.State(), Limit(4));
  EXPECT_TRUE(condition.OnResponse(
    {}, named + milliseconds(1), named + milliseconds(90)));
  EXPECT_EQ(condition.State(), TargetNotice{});
}

TEST(TargetConditionTest, LatestLimitHolds)
{
  TargetCondition condition;
  condition.OnResponse(Limit(4), kStart, kStart);
  EXPECT_TRUE(condition.OnResponse(Limit(2.5), kStart, kStart));
  EXPECT_EQ(condition.State(), Limit(2.5));
}

// Guards against lifting a limit because of a response that garbles it.
TEST(TargetConditionTest, UnreadableLimitKeepsTheKnownOne)
{
  TargetCondition condition;
  condition.OnResponse(Limit(4), kStart, kStart);
  TargetNotice garbled;
  garbled.isLimitUnreadable = true;
  EXPECT_TRUE(condition.OnResponse(
    garbled, kStart + milliseconds(10), kStart + milliseconds(20)));
  EXPECT_EQ(condition.State().requestsPerSecond, 4);
}

// Guards against taking a response without a leave for its end.
TEST(TargetConditionTest, LeavingEndsWithTheRunOnly)
{
  TargetCondition condition;
  TargetNotice leaving;
  leaving.leaving = true;
  EXPECT_TRUE(condition.OnResponse(leaving, kStart, kStart));
  EXPECT_FALSE(condition.OnResponse({}, kStart + milliseconds(1), kStart));
  EXPECT_TRUE(condition.State().leaving);
  condition.Reset();
  EXPECT_EQ(condition.State(), TargetNotice{});
  EXPECT_FALSE(condition.IsKnown());
}

} // namespace
} // namespace wagtailbend::targets
