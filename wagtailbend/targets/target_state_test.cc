#include "wagtailbend/targets/target_state.h"

#include <gtest/gtest.h>

namespace wagtailbend::targets {
namespace {

constexpr TimePoint kNow{ std::chrono::seconds(100) };
constexpr uint64_t kNowMs = 1777650300000;

Heartbeat
MakeHeartbeat(const std::string& aId, uint64_t aStartTimeMs, uint64_t aSequence)
{
  Heartbeat heartbeat;
  heartbeat.id = aId;
  heartbeat.startTimeMs = aStartTimeMs;
  heartbeat.sequence = aSequence;
  heartbeat.slots = 10;
  return heartbeat;
}

Heartbeat
WithDraining(Heartbeat aHeartbeat)
{
  aHeartbeat.draining = true;
  return aHeartbeat;
}

// Guards against requests to a target that has not sent a heartbeat yet, for
// example after a restart of the daemon.
TEST(TargetStateTest, AcceptsNothingBeforeFirstHeartbeat)
{
  TargetState state;
  EXPECT_FALSE(state.View().accepting);
  EXPECT_EQ(state.OnHeartbeat(MakeHeartbeat("a", 5, 1), kNow),
            ViewChange::kChanged);
  EXPECT_TRUE(state.View().accepting);
  EXPECT_EQ(state.OnHeartbeat(MakeHeartbeat("a", 5, 2), kNow),
            ViewChange::kNone);
}

// Guards against a heartbeat that was sent before a drain, arrives after it and
// makes the target accept requests again.
TEST(TargetStateTest, IgnoresOlderHeartbeatOfSameRun)
{
  TargetState state;
  state.OnHeartbeat(MakeHeartbeat("a", 5, 3), kNow);
  EXPECT_EQ(state.OnHeartbeat(WithDraining(MakeHeartbeat("a", 5, 5)), kNow),
            ViewChange::kChanged);
  EXPECT_EQ(state.OnHeartbeat(MakeHeartbeat("a", 5, 4), kNow),
            ViewChange::kStale);
  EXPECT_FALSE(state.View().accepting);
}

// Guards against a heartbeat of a crashed target that arrives after its
// successor registered at the same address and replaces it.
TEST(TargetStateTest, IgnoresEarlierRun)
{
  TargetState state;
  state.OnHeartbeat(MakeHeartbeat("b", 9, 1), kNow);
  EXPECT_EQ(state.OnHeartbeat(MakeHeartbeat("a", 5, 70), kNow),
            ViewChange::kStale);
  EXPECT_EQ(state.View().run.id, "b");
  EXPECT_EQ(state.OnLeave("a", 5, kNowMs), ViewChange::kNone);
  EXPECT_TRUE(state.View().accepting);
}

// Guards against ignoring the heartbeats of a target that restarts under the
// same id, because its sequence numbers start over.
TEST(TargetStateTest, AcceptsLaterRunWithSameId)
{
  TargetState state;
  state.OnHeartbeat(WithDraining(MakeHeartbeat("a", 5, 70)), kNow);
  EXPECT_EQ(state.OnHeartbeat(MakeHeartbeat("a", 9, 1), kNow),
            ViewChange::kChanged);
  EXPECT_TRUE(state.View().accepting);
  EXPECT_EQ(state.OnLeave("a", 5, kNowMs), ViewChange::kStale);
  EXPECT_TRUE(state.View().accepting);
}

// Guards against accepting a late heartbeat of a target that left, when its
// leave announcement, without a start time, was the first this process received
// from it. Fault injection run hunt-7df9-23 violated the rule DRAIN this way.
TEST(TargetStateTest, LeaveBeforeFirstHeartbeatTakesEffect)
{
  TargetState state;
  EXPECT_EQ(state.OnLeave("a", 0, kNowMs), ViewChange::kNone);
  EXPECT_EQ(state.OnHeartbeat(MakeHeartbeat("a", kNowMs - 20000, 9), kNow),
            ViewChange::kStale);
  EXPECT_FALSE(state.View().accepting);
  EXPECT_EQ(state.OnHeartbeat(MakeHeartbeat("a", kNowMs + 100, 1), kNow),
            ViewChange::kChanged);
  EXPECT_TRUE(state.View().accepting);
}

// Guards against requests to a target that left, including one that left before
// this process of the daemon started.
TEST(TargetStateTest, NeverUsesRunThatLeft)
{
  TargetState state;
  state.OnHeartbeat(MakeHeartbeat("a", 5, 1), kNow);
  EXPECT_EQ(state.OnLeave("a", 0, kNowMs), ViewChange::kChanged);
  EXPECT_EQ(state.OnHeartbeat(MakeHeartbeat("a", 5, 9), kNow),
            ViewChange::kStale);
  EXPECT_FALSE(state.View().accepting);

  TargetState restarted;
  restarted.RestoreLeave({ "a", 5 });
  EXPECT_EQ(restarted.OnHeartbeat(MakeHeartbeat("a", 5, 9), kNow),
            ViewChange::kStale);
  EXPECT_FALSE(restarted.View().accepting);
}

// Guards against using a target that left because its late heartbeat reaches a
// restarted daemon before the leave that its earlier process acknowledged is
// restored.
TEST(TargetStateTest, StopsUsingRunAfterRestoredLeave)
{
  TargetState state;
  state.OnHeartbeat(MakeHeartbeat("a", 5, 1), kNow);
  EXPECT_TRUE(state.View().accepting);
  EXPECT_EQ(state.RestoreLeave({ "a", 5 }), ViewChange::kChanged);
  EXPECT_FALSE(state.View().accepting);
  EXPECT_EQ(state.RestoreLeave({ "a", 5 }), ViewChange::kNone);
  state.OnHeartbeat(MakeHeartbeat("a", 6, 1), kNow);
  EXPECT_EQ(state.RestoreLeave({ "a", 5 }), ViewChange::kNone);
  EXPECT_TRUE(state.View().accepting);
}

// Guards against reporting an earlier leave, or none before a heartbeat.
TEST(TargetStateTest, LatestLeaveIncludesTargetsWithoutHeartbeat)
{
  TargetState state;
  EXPECT_EQ(state.LatestLeave(), TargetRun{});
  state.OnLeave("a", 5, 100);
  EXPECT_EQ(state.LatestLeave(), (TargetRun{ "a", 5 }));
  state.RestoreLeave({ "b", 3 });
  EXPECT_EQ(state.LatestLeave(), (TargetRun{ "a", 5 }));
  state.OnLeave("c", 0, 100);
  EXPECT_EQ(state.LatestLeave(), (TargetRun{ "c", 100 }));
}

// Guards against losing the leave of a target without a start time.
TEST(TargetRunTest, AnyRunIsLaterThanNone)
{
  EXPECT_TRUE(IsLater({ "a", 0 }, {}));
  EXPECT_FALSE(IsLater({}, { "a", 0 }));
  EXPECT_FALSE(IsLater({}, {}));
  EXPECT_TRUE(IsLater({ "a", 2 }, { "b", 1 }));
  EXPECT_FALSE(IsLater({ "a", 1 }, { "b", 1 }));
}

} // namespace
} // namespace wagtailbend::targets
