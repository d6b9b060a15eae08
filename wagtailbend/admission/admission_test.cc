#include "wagtailbend/admission/admission.h"

#include <gtest/gtest.h>

namespace wagtailbend::admission {
namespace {

using schema::Kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart{ seconds(100) };

class AdmissionTest : public testing::Test
{
protected:
  AdmissionDecision Submit(Admission& aAdmission,
                           Kind aKind,
                           uint32_t aPriority,
                           void* aWaiter = nullptr,
                           bool aNested = false,
                           std::string_view aMethod = "/s/M")
  {
    return aAdmission.Submit(
      { aMethod, aKind, aPriority, m_now + m_timeout, aNested, aWaiter },
      m_now,
      m_rng);
  }

  // Runs one request of aMethod by itself for aTime.
  void Run(Admission& aAdmission, std::string_view aMethod, Duration aTime)
  {
    const AdmissionDecision decision =
      Submit(aAdmission, Kind::kLookup, 5, nullptr, false, aMethod);
    m_now += aTime;
    EXPECT_TRUE(
      aAdmission
        .Complete(std::get<Slot>(decision), RunResult::kCompleted, m_now, m_rng)
        .empty());
  }

  TimePoint m_now = kStart;
  Duration m_timeout = seconds(10);
  Rng m_rng{ 1 };
};

// Guards against a queue that does not prefer orders, then nested calls, whose
// parents have already used capacity, then higher priorities.
TEST_F(AdmissionTest, AdmitsOrdersThenNestedThenByPriority)
{
  Admission admission({ .slots = 1 });
  const AdmissionDecision running = Submit(admission, Kind::kLookup, 1);
  int low = 0;
  int high = 0;
  int nested = 0;
  int order = 0;
  Submit(admission, Kind::kLookup, 2, &low);
  Submit(admission, Kind::kLookup, 7, &high);
  Submit(admission, Kind::kLookup, 1, &nested, true);
  Submit(admission, Kind::kOrder, 9, &order);
  Slot slot = std::get<Slot>(running);
  for (void* expected : { &order, &nested, &high, &low }) {
    const auto wakeups =
      admission.Complete(slot, RunResult::kFailed, m_now, m_rng);
    ASSERT_EQ(wakeups.size(), 1U);
    EXPECT_EQ(wakeups[0].waiter, expected);
    slot = std::get<Slot>(wakeups[0].decision);
  }
}

// Guards against bulk requests and lookups that occupy every slot, so that
// orders and short requests find none.
TEST_F(AdmissionTest, KeepsSlotsForOrdersAndCapsBulk)
{
  Admission admission({ .slots = 20, .reservesOrderSlots = true });
  for (int i = 0; i < 30; i++) {
    Submit(admission, Kind::kBulk, 3);
  }
  EXPECT_EQ(admission.State().longInFlight, 5U);
  for (int i = 0; i < 30; i++) {
    Submit(admission, Kind::kLookup, 8);
  }
  EXPECT_EQ(admission.State().inFlight, 18U);
  for (int i = 0; i < 5; i++) {
    Submit(admission, Kind::kOrder, 9);
  }
  EXPECT_EQ(admission.State().ordersInFlight, 2U);
  EXPECT_EQ(admission.State().inFlight, 20U);
}

// Guards against requests whose result is discarded because they started too
// late to meet their deadline. Some must run as probes, or the estimated
// service time could never be corrected.
TEST_F(AdmissionTest, RejectsWorkThatCannotFinishButLetsProbesLearn)
{
  Admission admission({ .slots = 10 });
  for (int i = 0; i < 20; i++) {
    Run(admission, "/s/M", milliseconds(100));
  }
  m_timeout = milliseconds(50);
  int rejected = 0;
  for (int i = 0; i < 32; i++) {
    const AdmissionDecision decision = Submit(admission, Kind::kLookup, 5);
    if (const auto* rejection = std::get_if<Rejection>(&decision)) {
      EXPECT_EQ(rejection->kind, ErrorKind::kDeadlineTooShort);
      EXPECT_GT(rejection->retryAfter, Duration{});
      rejected++;
    }
  }
  EXPECT_EQ(rejected, 30);
}

// Guards against a long method that is not declared bulk and occupies the slots
// of short requests.
TEST_F(AdmissionTest, LearnsThatAMethodIsLong)
{
  Admission admission({ .slots = 20 });
  for (int i = 0; i < 10; i++) {
    for (int j = 0; j < 9; j++) {
      Run(admission, "/s/Short", milliseconds(10));
    }
    Run(admission, "/s/Long", seconds(2));
  }
  for (int i = 0; i < 20; i++) {
    Submit(admission, Kind::kLookup, 5, nullptr, false, "/s/Long");
  }
  EXPECT_EQ(admission.State().longInFlight, 5U);
  EXPECT_EQ(admission.State().inFlight, 5U);
}

// Guards against a queue entry that stays after its maximum queue time or after
// its caller cancelled it.
TEST_F(AdmissionTest, QueuedRequestsExpireOrAreCancelledOnce)
{
  Admission admission({ .slots = 1 });
  Submit(admission, Kind::kLookup, 5);
  int first = 0;
  Submit(admission, Kind::kLookup, 5, &first);
  const AdmissionDecision second = Submit(admission, Kind::kLookup, 5);
  EXPECT_TRUE(admission.Cancel(std::get<QueueHandle>(second)));
  EXPECT_FALSE(admission.Cancel(std::get<QueueHandle>(second)));
  EXPECT_EQ(admission.NextExpiry(), kStart + milliseconds(100));
  EXPECT_TRUE(admission.Poll(kStart + milliseconds(99), m_rng).empty());
  const auto wakeups = admission.Poll(kStart + milliseconds(100), m_rng);
  ASSERT_EQ(wakeups.size(), 1U);
  EXPECT_EQ(wakeups[0].waiter, &first);
  EXPECT_EQ(std::get<Rejection>(wakeups[0].decision).kind,
            ErrorKind::kOverloaded);
  EXPECT_EQ(admission.State().queued, 0U);
}

// Guards against an excess of bulk requests that raises the threshold, which
// would reject lookups, and against a threshold that stays up after the
// overload.
TEST_F(AdmissionTest, ThresholdFollowsShortWorkOnlyAndReturnsToZero)
{
  Admission admission({ .slots = 2 });
  for (int i = 0; i < 10; i++) {
    Run(admission, "/s/M", milliseconds(20));
    Run(admission, "/s/Bulk", milliseconds(20));
  }
  const auto overload = [&](Kind aKind, std::string_view aMethod) {
    for (int i = 0; i < 2000; i++, m_now += milliseconds(1)) {
      Submit(admission, aKind, 3, nullptr, false, aMethod);
      static_cast<void>(admission.Poll(m_now, m_rng));
    }
  };
  overload(Kind::kBulk, "/s/Bulk");
  EXPECT_EQ(admission.State().longInFlight, 1U);
  EXPECT_EQ(admission.Threshold(), 0.0);
  overload(Kind::kLookup, "/s/M");
  EXPECT_GE(admission.Threshold(), 3.0);
  // The queue empties, the lookup completes, and the target is idle from then
  // on.
  m_now += seconds(1);
  static_cast<void>(admission.Poll(m_now, m_rng));
  static_cast<void>(
    admission.Complete({ .start = m_now }, RunResult::kFailed, m_now, m_rng));
  m_now += seconds(5);
  static_cast<void>(admission.Poll(m_now, m_rng));
  EXPECT_EQ(admission.Threshold(), 0.0);
}

// Guards against a limit that ignores latency that grows with concurrency, and
// against one that recovers in a single jump or not at all.
TEST(ConcurrencyLimitTest, FallsWithLatencyAndReopensStepwise)
{
  internal::ConcurrencyLimit limit(100);
  TimePoint now = kStart;
  const auto recordFor = [&](double aRatioPerSlot, Duration aFor) {
    for (const TimePoint end = now + aFor; now < end; now += milliseconds(1)) {
      limit.Record(limit.Current() * aRatioPerSlot, limit.Current(), now);
    }
  };
  recordFor(0.05, seconds(2));
  EXPECT_LE(limit.Current(), 40U);
  recordFor(0.0, milliseconds(300));
  EXPECT_LT(limit.Current(), 80U);
  recordFor(0.0, seconds(2));
  EXPECT_EQ(limit.Current(), 100U);
}

// Guards against lost throughput when a slow downstream service, not
// concurrency, raises the latency.
TEST(ConcurrencyLimitTest, ReopensWhenFallingDoesNotHelp)
{
  internal::ConcurrencyLimit limit(100);
  TimePoint now = kStart;
  for (int i = 0; i < 4000; i++, now += milliseconds(1)) {
    limit.Record(5.0, limit.Current(), now);
  }
  EXPECT_EQ(limit.Current(), 100U);
}

} // namespace
} // namespace wagtailbend::admission
