#include "wagtailbend/daemon/ingress_gate.h"

#include <future>

#include <gtest/gtest.h>

namespace wagtailbend::daemon {
namespace {

using filters::AdmissionResult;
using filters::SlotRequest;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A request at the gate and its decision.
struct Visit
{
  Visit(IngressGate& aGate, const schema::Method& aMethod)
    : entry(aGate.CreateSlotRequest(
        { &aMethod, 5, MonotonicNow() + seconds(9), false }))
    , decided(decision.get_future())
  {
  }

  void Wait()
  {
    entry->Acquire(MonotonicNow(), [this](const AdmissionResult& aResult) {
      decision.set_value(aResult);
    });
  }
  bool Decided() const
  {
    return decided.wait_for(seconds(0)) == std::future_status::ready;
  }

  std::shared_ptr<SlotRequest> entry;
  std::promise<AdmissionResult> decision;
  std::future<AdmissionResult> decided;
};

class IngressGateTest : public ::testing::Test
{
protected:
  IngressGateTest()
  {
    m_method.path = "/s/M";
    m_gate.SetTarget({ .slots = 1 });
  }

  schema::Method m_method;
  IngressGate m_gate;
};

// Guards against a queued request that is never decided or that keeps waiting
// beyond its time.
TEST_F(IngressGateTest, QueuedRequestGetsAFreeSlotOrExpires)
{
  Visit first(m_gate, m_method);
  Visit second(m_gate, m_method);
  Visit third(m_gate, m_method);
  first.Wait();
  ASSERT_TRUE(first.Decided());
  second.Wait();
  third.Wait();
  EXPECT_FALSE(second.Decided());
  EXPECT_EQ(m_gate.State().queued, 2U);
  first.entry->Release(true, MonotonicNow());
  ASSERT_TRUE(second.Decided());
  EXPECT_FALSE(second.decided.get().error);
  // The gate's own thread rejects the third after 100 ms.
  ASSERT_EQ(third.decided.wait_for(seconds(2)), std::future_status::ready);
  const AdmissionResult result = third.decided.get();
  ASSERT_TRUE(result.error);
  EXPECT_EQ(result.error->kind, ErrorKind::kOverloaded);
  EXPECT_GT(result.retryAfter, Duration{});
  EXPECT_GE(result.queueTime, milliseconds(99));
  second.entry->Release(true, MonotonicNow());
  EXPECT_EQ(m_gate.State().inFlight, 0U);
}

// Guards against slots given to callers that have gone.
TEST_F(IngressGateTest, CancelledRequestLeavesTheQueueOnce)
{
  Visit running(m_gate, m_method);
  Visit queued(m_gate, m_method);
  Visit early(m_gate, m_method);
  running.Wait();
  queued.Wait();
  queued.entry->Cancel();
  queued.entry->Cancel();
  early.entry->Cancel();
  EXPECT_FALSE(early.Decided());
  early.Wait();
  for (Visit* visit : { &queued, &early }) {
    ASSERT_TRUE(visit->Decided());
    const AdmissionResult result = visit->decided.get();
    ASSERT_TRUE(result.error);
    EXPECT_EQ(result.error->kind, ErrorKind::kCancelled);
  }
  EXPECT_EQ(m_gate.State().queued, 0U);
  running.entry->Cancel();
  running.entry->Release(false, MonotonicNow());
  EXPECT_EQ(m_gate.State().inFlight, 0U);
}

// Guards against requests that are lost, or slots that are freed twice, when
// the target announces itself again.
TEST_F(IngressGateTest, NewSlotsKeepWhatRunsAndWaits)
{
  Visit running(m_gate, m_method);
  Visit queued(m_gate, m_method);
  running.Wait();
  queued.Wait();
  m_gate.SetTarget({ .slots = 1 });
  EXPECT_EQ(m_gate.State().inFlight, 1U) << "nothing has changed";
  m_gate.SetTarget({ .slots = 2 });
  EXPECT_EQ(m_gate.State().inFlight, 0U);
  Visit next(m_gate, m_method);
  next.Wait();
  EXPECT_TRUE(next.Decided());
  running.entry->Release(true, MonotonicNow());
  ASSERT_TRUE(queued.Decided());
  EXPECT_FALSE(queued.decided.get().error);
  queued.entry->Release(true, MonotonicNow());
  EXPECT_EQ(m_gate.State().inFlight, 1U);
  next.entry->Release(true, MonotonicNow());
  EXPECT_EQ(m_gate.State().inFlight, 0U);
}

// Guards orders against a target whose schema or announcement says too little.
TEST(GateConfigTest, TakesSlotsFromAnnouncementThenSchema)
{
  schema::Method order;
  order.path = "/s/Order";
  order.service = "s";
  order.kind = schema::Kind::kOrder;
  const schema::Schema schema("test", {}, 0, { { "s", 70, 9 } }, { order });
  EXPECT_EQ(GateConfig(schema, { "s", "a", 20 }).slots, 20U);
  EXPECT_EQ(GateConfig(schema, { "s", "a", 0 }).slots, 70U);
  EXPECT_TRUE(GateConfig(schema, { "s", "a", 0 }).reservesOrderSlots);
  EXPECT_FALSE(GateConfig(schema, { "t", "a", 20 }).reservesOrderSlots);
}

} // namespace
} // namespace wagtailbend::daemon
