#include "wagtailbend/gate/target_queue.h"

#include <gtest/gtest.h>

namespace wagtailbend::gate {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::seconds(100) };
constexpr Duration kHold = milliseconds(100);

Work
MakeWork(uint64_t aId, TimePoint aNow)
{
  Work work;
  work.id = aId;
  work.route = "r";
  work.priority = 2;
  work.rank = 500;
  work.objective = aNow + milliseconds(1000);
  work.deadline = aNow + milliseconds(5000);
  return work;
}

class TargetQueueTest : public ::testing::Test
{
protected:
  TargetQueueTest()
  {
    // 0.94 of 10 slots are used: 9.
    m_queue.SetSlots(10);
    Submit(1000);
    m_queue.Finish(1000, kHold, true);
  }

  Verdict Submit(uint64_t aId)
  {
    return m_queue.Submit(MakeWork(aId, m_now), m_now);
  }

  void Fill()
  {
    for (uint64_t id = 1; id <= 9; ++id) {
      ASSERT_EQ(Submit(id), Verdict::kRun);
    }
  }

  /// Frees one slot and returns the work that takes it.
  uint64_t NextAfter(uint64_t aId)
  {
    m_queue.Finish(aId, kHold, true);
    for (const Step& step : m_queue.Advance(m_now)) {
      if (step.verdict == Verdict::kRun) {
        return step.id;
      }
    }
    return 0;
  }

  TargetQueue m_queue;
  TimePoint m_now = kStart;
};

// Guards against a target that is sent more than its slots and sheds.
TEST_F(TargetQueueTest, SendsNoMoreThanTheSlots)
{
  Fill();
  EXPECT_EQ(Submit(10), Verdict::kQueued);
  EXPECT_EQ(m_queue.CurrentLoad().running, 9U);
  EXPECT_EQ(NextAfter(1), 10U);
}

// Guards against work that waits for a target that takes nothing.
TEST_F(TargetQueueTest, RejectsAllWithoutSlots)
{
  m_queue.SetSlots(0);
  EXPECT_EQ(Submit(1), Verdict::kNoRoom);
}

struct OrderCase
{
  const char* name;
  Work first;
  Work second;
};

class Order
  : public TargetQueueTest
  , public ::testing::WithParamInterface<OrderCase>
{};

// Guards against important or paid-for work that waits behind other work. The
// second of two queued works goes first.
TEST_P(Order, TheSecondGoesFirst)
{
  Fill();
  ASSERT_EQ(m_queue.Submit(GetParam().first, m_now), Verdict::kQueued);
  ASSERT_EQ(m_queue.Submit(GetParam().second, m_now), Verdict::kQueued);
  EXPECT_EQ(NextAfter(1), GetParam().second.id);
}

Work
With(uint64_t aId, uint32_t aPriority, uint32_t aRank, bool aNested)
{
  Work work = MakeWork(aId, kStart);
  work.priority = aPriority;
  work.rank = aRank;
  work.nested = aNested;
  return work;
}

INSTANTIATE_TEST_SUITE_P(
  Rules,
  Order,
  ::testing::Values(
    OrderCase{ "Priority", With(20, 2, 0, true), With(21, 0, 999, false) },
    OrderCase{ "Rank", With(20, 2, 900, true), With(21, 2, 10, false) },
    OrderCase{ "Nested", With(20, 2, 500, false), With(21, 2, 501, true) }),
  [](const auto& aInfo) { return aInfo.param.name; });

// Guards against callers that wait in vain: who cannot start in time is
// rejected when it arrives, not at its deadline.
TEST_F(TargetQueueTest, RejectsAtOnceWhatCannotStartInTime)
{
  Fill();
  // 9 slots of 100 ms: each place in the queue is about 11 ms; 900 ms are left
  // until the latest start in time.
  uint64_t id = 10;
  while (Submit(id) == Verdict::kQueued) {
    ++id;
  }
  EXPECT_NEAR(static_cast<double>(id - 10), 81, 3);
}

// Guards against a late order that is dropped though it is still worth much.
TEST_F(TargetQueueTest, OrdersMayWaitUntilTheirDeadline)
{
  Fill();
  uint64_t id = 10;
  while (Submit(id) == Verdict::kQueued) {
    ++id;
  }
  for (int i = 0; i < 100; ++i) {
    Work order = MakeWork(++id, m_now);
    order.priority = 0;
    EXPECT_EQ(m_queue.Submit(order, m_now), Verdict::kQueued);
  }
}

// Guards against work that was displaced and is held until its deadline.
TEST_F(TargetQueueTest, DropsDisplacedWorkEarly)
{
  Fill();
  ASSERT_EQ(m_queue.Submit(With(20, 2, 900, false), m_now), Verdict::kQueued);
  for (uint64_t id = 30; id < 130; ++id) {
    Work order = MakeWork(id, m_now);
    order.priority = 0;
    ASSERT_EQ(m_queue.Submit(order, m_now), Verdict::kQueued);
  }
  const std::vector<Step> steps = m_queue.Advance(m_now);
  ASSERT_EQ(steps.size(), 1U);
  EXPECT_EQ(steps[0].id, 20U);
  EXPECT_EQ(steps[0].verdict, Verdict::kNoRoom);
}

// Guards against a run whose answer nobody waits for.
TEST_F(TargetQueueTest, RejectsWorkWithTooLittleTime)
{
  Work work = MakeWork(1, m_now);
  work.deadline = m_now + milliseconds(50);
  EXPECT_EQ(m_queue.Submit(work, m_now), Verdict::kTooLate);
}

TEST_F(TargetQueueTest, CancelRemovesQueuedWorkOnly)
{
  Fill();
  ASSERT_EQ(Submit(10), Verdict::kQueued);
  EXPECT_TRUE(m_queue.Cancel(10));
  EXPECT_FALSE(m_queue.Cancel(10));
  EXPECT_FALSE(m_queue.Cancel(1));
  EXPECT_EQ(NextAfter(1), 0U);
}

// Guards against a level that stays high while work is rejected, and one that
// never comes back.
TEST(AdmitLevelsTest, FallsWithRejectionsAndReturns)
{
  AdmitLevels levels;
  TimePoint now = kStart;
  const auto period = [&levels, &now](uint32_t aRejected) {
    for (uint32_t i = 0; i < 100; ++i) {
      levels.Count(2, i < aRejected);
    }
    now += kLevelPeriod;
    levels.Roll(now);
  };
  for (int i = 0; i < 10; ++i) {
    period(60);
  }
  EXPECT_LT(levels.Level(2), 0.2);
  EXPECT_EQ(levels.Level(0), 1.0);
  EXPECT_LE(levels.Level(3), levels.Level(2));
  for (int i = 0; i < 60; ++i) {
    period(0);
  }
  EXPECT_EQ(levels.Level(2), 1.0);
}

// Guards against a class that is shut out for good.
TEST(AdmitLevelsTest, KeepsAProbe)
{
  AdmitLevels levels;
  TimePoint now = kStart;
  for (int i = 0; i < 200; ++i) {
    levels.Count(1, true);
    now += kLevelPeriod;
    levels.Roll(now);
  }
  EXPECT_EQ(levels.Level(1), kMinLevel);
}

} // namespace
} // namespace wagtailbend::gate
