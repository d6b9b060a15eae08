#include "wagtailbend/node/testing/traffic_process.h"

#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

namespace wagtailbend::node {
namespace {

using std::chrono::milliseconds;
using targets::TargetRun;
using testing::FreePort;
using testing::RunUntil;
using Process = testing::TrafficProcess;

const TargetRun kEarlierRun{ "target-1", 50 };
const TargetRun kRun{ "target-2", 100 };

targets::TargetNotice
LeavingNotice()
{
  targets::TargetNotice notice;
  notice.leaving = true;
  return notice;
}

// Guards against an older control state that undoes a leave.
TEST(TrafficNodeTest, OlderControlStateKeepsALeaveSeenInAResponse)
{
  Process process(FreePort(), 1);
  process.m_node.OnTargetCondition(kRun, LeavingNotice());
  EXPECT_EQ(process.m_leaves, std::vector<TargetRun>{ kRun });
  process.m_node.SetTarget({ kRun, true, 4, {} }, kEarlierRun);
  EXPECT_EQ(process.m_node.Self().leavingTarget, kRun);
}

// Guards against losing a leave with a process that ends early.
TEST(TrafficNodeTest, EachNewProcessOfAPeerLearnsThatItsTargetLeft)
{
  const uint16_t peerPort = FreePort();
  Process local(FreePort(), 1);
  {
    Process first(peerPort, 2);
    first.m_node.OnTargetCondition(kRun, LeavingNotice());
    local.m_node.AddMembers({ first.m_node.Self() });
    ASSERT_TRUE(
      RunUntil(local, first, [&local] { return local.m_node.LinksUp() == 1; }));
  }
  for (const uint64_t incarnation : { 3U, 4U }) {
    // Start times of processes of one address differ.
    std::this_thread::sleep_for(milliseconds(2));
    Process next(peerPort, incarnation);
    EXPECT_TRUE(
      RunUntil(local, next, [&next] { return !next.m_earlierLeaves.empty(); }))
      << incarnation;
    EXPECT_EQ(next.m_earlierLeaves, std::vector<TargetRun>{ kRun });
  }
}

// Guards against daemons that never hear of a restore.
TEST(TrafficNodeTest, PeersLearnANewerGenerationOfTheStore)
{
  Process watcher(FreePort(), 1);
  Process other(FreePort(), 2);
  watcher.m_node.SetStoreGeneration(3);
  other.m_node.AddMembers({ watcher.m_node.Self() });
  EXPECT_TRUE(
    RunUntil(watcher, other, [&other] { return other.m_generation == 3; }));
  other.m_node.SetStoreGeneration(2);
  EXPECT_EQ(other.m_generation, 3U);
}

constexpr uint64_t kCrashing = 77;

bool
IsQuarantined(Process& aProcess)
{
  return !aProcess.m_node.IsRunAllowed(kCrashing);
}

// Guards against daemons that start and do not know the crash suspects of their
// peers, whichever of the two connects.
TEST(TrafficNodeTest, ANewProcessLearnsTheCrashSuspectsOfItsPeers)
{
  for (const bool peerConnects : { true, false }) {
    Process peer(FreePort(), 1);
    peer.m_node.OnTargetCrashed({ kCrashing });
    peer.m_node.OnTargetCrashed({ kCrashing });
    Process started(FreePort(), 2);
    Process& connecting = peerConnects ? peer : started;
    Process& other = peerConnects ? started : peer;
    connecting.m_node.AddMembers({ other.m_node.Self() });
    EXPECT_TRUE(
      RunUntil(peer, started, [&started] { return IsQuarantined(started); }))
      << peerConnects;
  }
}

// Guards against daemons that are cut off from the one whose target crashed and
// never learn of it from others.
TEST(TrafficNodeTest, CrashSuspectsSpreadWithoutALinkToTheirSource)
{
  Process source(FreePort(), 1);
  Process middle(FreePort(), 2);
  Process cutOff(FreePort(), 3);
  middle.m_node.AddMembers({ source.m_node.Self(), cutOff.m_node.Self() });
  const auto linksUp = [&middle, &cutOff] {
    cutOff.RunFor(5);
    return middle.m_node.LinksUp() == 2;
  };
  ASSERT_TRUE(RunUntil(source, middle, linksUp));
  source.m_node.OnTargetCrashed({ kCrashing });
  source.m_node.OnTargetCrashed({ kCrashing });
  EXPECT_TRUE(RunUntil(source, middle, [&cutOff] {
    cutOff.RunFor(5);
    return IsQuarantined(cutOff);
  }));
}

exchange::Attempt
LocalAttempt()
{
  exchange::Attempt attempt;
  attempt.message = std::make_shared<http1::RequestMessage>();
  attempt.fingerprint = kCrashing;
  return attempt;
}

// Guards against a crash that nobody counts because the daemon beside the
// target, which alone knew of the run, ended with it.
TEST(TrafficNodeTest, APeerKnowsTheRunsOfADaemonThatEnds)
{
  const uint16_t port = FreePort();
  Process witness(FreePort(), 1);
  for (const uint64_t incarnation : { 2U, 3U }) {
    std::this_thread::sleep_for(milliseconds(2));
    {
      Process ending(port, incarnation);
      witness.m_node.AddMembers({ ending.m_node.Self() });
      ending.m_node.AddMembers({ witness.m_node.Self() });
      ASSERT_TRUE(RunUntil(witness, ending, [&] {
        return witness.m_node.LinksUp() == 1 && ending.m_node.LinksUp() == 1;
      }));
      ASSERT_EQ(ending.m_node.BeginRun(LocalAttempt()),
                exchange::RunPermission::kRun);
      ending.RunFor(5);
    }
    Process restarted(port, incarnation + 10);
    const bool isFirst = incarnation == 2;
    EXPECT_TRUE(RunUntil(witness,
                         restarted,
                         [&witness, isFirst] {
                           return isFirst ? !witness.m_node.MayResend(kCrashing)
                                          : IsQuarantined(witness);
                         }))
      << incarnation;
  }
}

// Guards against a request that is suspected for good after it was harmless.
TEST(TrafficNodeTest, PeersLearnThatASuspectSurvived)
{
  Process local(FreePort(), 1);
  Process peer(FreePort(), 2);
  peer.m_node.AddMembers({ local.m_node.Self() });
  ASSERT_TRUE(
    RunUntil(local, peer, [&peer] { return peer.m_node.LinksUp() == 1; }));
  local.m_node.OnTargetCrashed({ kCrashing });
  ASSERT_TRUE(RunUntil(
    local, peer, [&peer] { return !peer.m_node.MayResend(kCrashing); }));
  ASSERT_EQ(local.m_node.BeginRun(LocalAttempt()),
            exchange::RunPermission::kRun);
  local.m_node.EndRun(kCrashing, true);
  EXPECT_TRUE(RunUntil(
    local, peer, [&peer] { return peer.m_node.MayResend(kCrashing); }));
}

// Guards against replacing the configuration by an older one.
TEST(TrafficNodeTest, KeepsANewerConfiguration)
{
  Process process(FreePort(), 1);
  routes::RouteConfig config;
  config.version = 9;
  process.m_node.SetConfig(config, "peer");
  config.version = 4;
  process.m_node.SetConfig(config, "store");
  ASSERT_NE(process.m_node.Config(), nullptr);
  EXPECT_EQ(process.m_node.Config()->version, 9U);
}

} // namespace
} // namespace wagtailbend::node
