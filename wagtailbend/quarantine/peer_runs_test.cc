#include "wagtailbend/quarantine/peer_runs.h"

#include <gtest/gtest.h>

namespace wagtailbend::quarantine {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow{ seconds(100) };

std::vector<uint64_t>
Suspects(const PeerEnd& aEnd)
{
  std::vector<uint64_t> fingerprints;
  for (const LostRun& run : aEnd.suspects) {
    fingerprints.push_back(run.fingerprint);
  }
  return fingerprints;
}

// Guards against suspecting all that a daemon ever ran, and against forgetting
// what it ran last.
TEST(PeerRuns, KeepsTheLatestRunsOfAPeer)
{
  PeerRuns runs;
  runs.OnRunNotice("a", 1, kNow);
  runs.OnRunNotice("a", 2, kNow + seconds(2));
  runs.OnRunNotice("a", 3, kNow + seconds(3));
  runs.OnRunNotice("b", 4, kNow + seconds(3));
  const std::vector<uint64_t> inFlight = { 5 };
  const PeerEnd end = runs.OnPeerEnded("a", inFlight, kNow + seconds(4));
  EXPECT_EQ(Suspects(end), (std::vector<uint64_t>{ 2, 3, 5 }));
  EXPECT_TRUE(runs.OnPeerEnded("a", {}, kNow + seconds(4)).suspects.empty());
}

// Guards against suspecting runs that ended long before the daemon did.
TEST(PeerRuns, LeavesOutRunsLongBeforeTheEnd)
{
  PeerRuns runs;
  runs.OnRunNotice("a", 1, kNow);
  EXPECT_EQ(runs.OnPeerEnded("a", {}, kNow + seconds(6)), PeerEnd{});
}

// Guards against suspecting every running request when many daemons are killed.
TEST(PeerRuns, SuspectsNobodyWhenManyProcessesEnd)
{
  PeerRuns runs;
  for (uint64_t i = 1; i <= 4; ++i) {
    const std::string peer = std::to_string(i);
    runs.OnRunNotice(peer, i, kNow);
    const PeerEnd end = runs.OnPeerEnded(peer, {}, kNow);
    EXPECT_EQ(end.lostRuns, 1U);
    EXPECT_EQ(end.suspects.size(), i <= 2 ? 1U : 0U) << i;
  }
  const std::vector<uint64_t> inFlight = { 9 };
  EXPECT_EQ(runs.OnPeerEnded("9", inFlight, kNow + seconds(2)).suspects.size(),
            1U);
}

// Guards against suspecting requests of a daemon that stopped as planned.
TEST(PeerRuns, ForgetsAPeerThatStopped)
{
  PeerRuns runs;
  runs.OnRunNotice("a", 1, kNow);
  runs.Forget("a");
  EXPECT_EQ(runs.OnPeerEnded("a", {}, kNow), PeerEnd{});
}

} // namespace
} // namespace wagtailbend::quarantine
