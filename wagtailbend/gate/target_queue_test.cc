#include "wagtailbend/gate/target_queue.h"

#include <gtest/gtest.h>

namespace wagtailbend::gate {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::seconds(100) };
constexpr Duration kHoldTime = milliseconds(100);

QueuedRequest
MakeRequest(uint64_t aId, TimePoint aNow)
{
  QueuedRequest request;
  request.id = aId;
  request.route = "r";
  request.priority = 2;
  request.rank = 500;
  request.objective = aNow + milliseconds(1000);
  request.deadline = aNow + milliseconds(5000);
  return request;
}

class TargetQueueTest : public ::testing::Test
{
protected:
  TargetQueueTest()
  {
    // 0.94 of 10 slots are used: 9.
    m_queue.SetSlots(10);
    Submit(1000);
    m_queue.Finish(1000, kHoldTime, true);
  }

  AdmissionDecision Submit(uint64_t aId)
  {
    return m_queue.Submit(MakeRequest(aId, m_now), m_now);
  }

  void FillSlots()
  {
    for (uint64_t id = 1; id <= 9; ++id) {
      ASSERT_EQ(Submit(id), AdmissionDecision::kRun);
    }
  }

  /// Finishes aId and returns the request that takes its slot, or 0.
  uint64_t FinishAndGetNext(uint64_t aId)
  {
    m_queue.Finish(aId, kHoldTime, true);
    for (const QueueDecision& step : m_queue.Advance(m_now)) {
      if (step.decision == AdmissionDecision::kRun) {
        return step.id;
      }
    }
    return 0;
  }

  TargetQueue m_queue;
  TimePoint m_now = kStart;
};

// Guards against exceeding the usable slots of a target, which makes it slow
// down and reject requests.
TEST_F(TargetQueueTest, LimitsRunningRequestsToUsableSlots)
{
  FillSlots();
  EXPECT_EQ(Submit(10), AdmissionDecision::kQueued);
  EXPECT_EQ(m_queue.CurrentLoad(m_now).running, 9U);
  EXPECT_EQ(FinishAndGetNext(1), 10U);
}

// Guards against queueing requests for a target that accepts none.
TEST_F(TargetQueueTest, RejectsRequestsWithoutSlots)
{
  m_queue.SetSlots(0);
  EXPECT_EQ(Submit(1), AdmissionDecision::kOverloaded);
}

struct OrderCase
{
  const char* name;
  QueuedRequest first;
  QueuedRequest second;
};

class Order
  : public TargetQueueTest
  , public ::testing::WithParamInterface<OrderCase>
{};

// Guards against requests of a more important class, a lower rank or a running
// customer request (whose earlier calls would be wasted) that wait behind
// others. The second of two queued requests must start first.
TEST_P(Order, StartsThePreferredRequestFirst)
{
  FillSlots();
  ASSERT_EQ(m_queue.Submit(GetParam().first, m_now),
            AdmissionDecision::kQueued);
  ASSERT_EQ(m_queue.Submit(GetParam().second, m_now),
            AdmissionDecision::kQueued);
  EXPECT_EQ(FinishAndGetNext(1), GetParam().second.id);
}

QueuedRequest
MakeRequestWith(uint64_t aId, uint32_t aPriority, uint32_t aRank, bool aNested)
{
  QueuedRequest request = MakeRequest(aId, kStart);
  request.priority = aPriority;
  request.rank = aRank;
  request.nested = aNested;
  return request;
}

INSTANTIATE_TEST_SUITE_P(
  Rules,
  Order,
  ::testing::Values(OrderCase{ "Priority",
                               MakeRequestWith(20, 2, 0, true),
                               MakeRequestWith(21, 0, 999, false) },
                    OrderCase{ "Rank",
                               MakeRequestWith(20, 2, 900, true),
                               MakeRequestWith(21, 2, 10, false) },
                    OrderCase{ "Nested",
                               MakeRequestWith(20, 2, 500, false),
                               MakeRequestWith(21, 2, 501, true) }),
  [](const auto& aInfo) { return aInfo.param.name; });

// Guards against holding a request that cannot start in time until its deadline
// instead of rejecting it on arrival.
TEST_F(TargetQueueTest, RejectsOnArrivalIfStartWouldBeLate)
{
  FillSlots();
  // With 9 slots and 100 ms per request, each queued request adds about 11 ms.
  // The latest start that meets the objective is 900 ms away.
  uint64_t id = 10;
  while (Submit(id) == AdmissionDecision::kQueued) {
    ++id;
  }
  EXPECT_NEAR(static_cast<double>(id - 10), 81, 3);
}

// Guards against rejecting an order (class 0) that misses its objective but can
// still complete before its deadline.
TEST_F(TargetQueueTest, QueuesClassZeroUntilDeadline)
{
  FillSlots();
  uint64_t id = 10;
  while (Submit(id) == AdmissionDecision::kQueued) {
    ++id;
  }
  for (int i = 0; i < 100; ++i) {
    QueuedRequest order = MakeRequest(++id, m_now);
    order.priority = 0;
    EXPECT_EQ(m_queue.Submit(order, m_now), AdmissionDecision::kQueued);
  }
}

// Guards against holding a queued request until its deadline after more
// important requests have pushed it back too far to start in time.
TEST_F(TargetQueueTest, DropsDisplacedRequestEarly)
{
  FillSlots();
  ASSERT_EQ(m_queue.Submit(MakeRequestWith(20, 2, 900, false), m_now),
            AdmissionDecision::kQueued);
  for (uint64_t id = 30; id < 130; ++id) {
    QueuedRequest order = MakeRequest(id, m_now);
    order.priority = 0;
    ASSERT_EQ(m_queue.Submit(order, m_now), AdmissionDecision::kQueued);
  }
  const std::vector<QueueDecision> steps = m_queue.Advance(m_now);
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_EQ(steps[0].id, 20U);
  EXPECT_EQ(steps[0].decision, AdmissionDecision::kOverloaded);
}

// Guards against running a request that cannot complete before its deadline.
TEST_F(TargetQueueTest, RejectsRequestWithShortDeadline)
{
  QueuedRequest request = MakeRequest(1, m_now);
  request.deadline = m_now + milliseconds(50);
  EXPECT_EQ(m_queue.Submit(request, m_now),
            AdmissionDecision::kDeadlineTooShort);
}

// Guards against a cancelled request that starts later, and against freeing the
// slot of a running request on cancellation.
TEST_F(TargetQueueTest, CancelRemovesOnlyQueuedRequest)
{
  FillSlots();
  ASSERT_EQ(Submit(10), AdmissionDecision::kQueued);
  EXPECT_TRUE(m_queue.Cancel(10));
  EXPECT_FALSE(m_queue.Cancel(10));
  EXPECT_FALSE(m_queue.Cancel(1));
  EXPECT_EQ(FinishAndGetNext(1), 0U);
}

// Guards against a level that stays high while requests are rejected, and
// against one that does not recover afterwards.
TEST(AdmitLevelsTest, DropsWithRejectionsAndRecovers)
{
  AdmissionLevels levels;
  TimePoint now = kStart;
  const auto runPeriod = [&levels, &now](uint32_t aRejected) {
    for (uint32_t i = 0; i < 100; ++i) {
      levels.RecordArrival(2, i < aRejected);
    }
    now += kLevelUpdatePeriod;
    levels.Update(now);
  };
  for (int i = 0; i < 10; ++i) {
    runPeriod(60);
  }
  EXPECT_LT(levels.Level(2), 0.2);
  EXPECT_EQ(levels.Level(0), 1.0);
  EXPECT_LE(levels.Level(3), levels.Level(2));
  for (int i = 0; i < 60; ++i) {
    runPeriod(0);
  }
  EXPECT_EQ(levels.Level(2), 1.0);
}

// Guards against a level of zero: without any admitted requests, free capacity
// would never be noticed.
TEST(AdmitLevelsTest, StaysAtOrAboveMinimum)
{
  AdmissionLevels levels;
  TimePoint now = kStart;
  for (int i = 0; i < 200; ++i) {
    levels.RecordArrival(1, true);
    now += kLevelUpdatePeriod;
    levels.Update(now);
  }
  EXPECT_EQ(levels.Level(1), kMinAdmissionLevel);
}

// Guards against a target in need that gets as many requests as it has slots.
TEST_F(TargetQueueTest, LimitedTargetGetsNoMoreThanItsRate)
{
  m_queue.SetRateLimit(10, m_now);
  uint64_t id = 0;
  int started = 0;
  for (int step = 0; step < 200; ++step) {
    m_now += milliseconds(20);
    started += Submit(++id) == AdmissionDecision::kRun ? 1 : 0;
    for (const QueueDecision& next : m_queue.Advance(m_now)) {
      if (next.decision == AdmissionDecision::kRun) {
        ++started;
        m_queue.Finish(next.id, kHoldTime, true);
      }
    }
  }
  EXPECT_NEAR(started, 40, 2);
}

// Guards against queueing requests that the limit makes too late.
TEST_F(TargetQueueTest, RejectsOnArrivalWhatALimitDelaysTooLong)
{
  m_queue.SetRateLimit(10, m_now);
  uint64_t id = 1;
  ASSERT_EQ(Submit(id), AdmissionDecision::kRun);
  while (Submit(++id) == AdmissionDecision::kQueued) {
  }
  // 900 ms until the latest start, 100 ms for each request.
  EXPECT_NEAR(static_cast<double>(id), 11, 1);
  EXPECT_NEAR(
    ToFractionalMilliseconds(m_queue.CurrentLoad(m_now).expectedWait), 950, 60);
  EXPECT_EQ(m_queue.CurrentLoad(m_now).requestsPerSecond, 10);
}

// Guards against a limit that outlives its end.
TEST_F(TargetQueueTest, TargetIsUsedFullyOnceItNamesNoLimit)
{
  m_queue.SetRateLimit(1, m_now);
  ASSERT_EQ(Submit(1), AdmissionDecision::kRun);
  ASSERT_EQ(Submit(2), AdmissionDecision::kOverloaded);
  m_queue.SetRateLimit(std::nullopt, m_now);
  for (uint64_t id = 3; id <= 10; ++id) {
    EXPECT_EQ(Submit(id), AdmissionDecision::kRun);
  }
}

// Guards against resends, which take no slot, that exceed the limit.
TEST_F(TargetQueueTest, ResendCountsAgainstTheLimit)
{
  m_queue.SetRateLimit(10, m_now);
  ASSERT_EQ(Submit(1), AdmissionDecision::kRun);
  EXPECT_FALSE(m_queue.MayResend(m_now));
  m_queue.CountResend(m_now);
  ASSERT_EQ(Submit(2), AdmissionDecision::kQueued);
  EXPECT_TRUE(m_queue.Advance(m_now + milliseconds(190)).empty());
  EXPECT_EQ(m_queue.Advance(m_now + milliseconds(210)).size(), 1U);
}

// Guards against filling all slots before the limit is known.
TEST_F(TargetQueueTest, FewRequestsRunUntilTheRateLimitIsKnown)
{
  m_queue.ForgetRateLimit(m_now);
  EXPECT_EQ(Submit(1), AdmissionDecision::kRun);
  EXPECT_EQ(Submit(2), AdmissionDecision::kRun);
  EXPECT_EQ(Submit(3), AdmissionDecision::kQueued);
  EXPECT_TRUE(m_queue.Advance(m_now).empty());
  m_queue.SetRateLimit(std::nullopt, m_now);
  EXPECT_EQ(m_queue.Advance(m_now).size(), 1U);
  EXPECT_EQ(Submit(4), AdmissionDecision::kRun);
}

} // namespace
} // namespace wagtailbend::gate
