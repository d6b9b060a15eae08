#include "wagtailbend/placement/placement.h"

#include <map>
#include <vector>

#include <gtest/gtest.h>

namespace wagtailbend::placement {
namespace {

using std::chrono::milliseconds;

Candidate
MakeCandidate(Distance aDistance, Duration aRoundTrip, Duration aRun)
{
  Candidate candidate;
  candidate.distance = aDistance;
  candidate.roundTrip = aRoundTrip;
  candidate.meanRunTime = aRun;
  candidate.slots = 10;
  return candidate;
}

constexpr AttemptRequirements kRequirements = { .objective =
                                                  std::chrono::seconds(1),
                                                .remaining =
                                                  std::chrono::seconds(4) };

/// Returns how often each index is chosen in 200 calls.
std::map<size_t, int>
CountChoices(const std::vector<Candidate>& aCandidates,
             const AttemptRequirements& aRequirements = kRequirements)
{
  Rng rng(7);
  std::map<size_t, int> counts;
  for (int i = 0; i < 200; ++i) {
    ++counts[ChooseTarget(aCandidates, aRequirements, rng).value()];
  }
  return counts;
}

// Guards against an invalid index when there are no candidates.
TEST(PlacementTest, ReturnsNulloptWithoutCandidates)
{
  Rng rng(1);
  EXPECT_EQ(ChooseTarget({}, kRequirements, rng), std::nullopt);
}

// Guards against traffic on the billed inter-region network while the same
// region has capacity.
TEST(PlacementTest, PrefersSameRegionAtSimilarSpeed)
{
  const auto counts = CountChoices(
    { MakeCandidate(
        Distance::kSameFailureDomain, milliseconds(1), milliseconds(80)),
      MakeCandidate(
        Distance::kOtherRegion, milliseconds(60), milliseconds(60)) });
  EXPECT_EQ(counts.at(0), 200);
}

// Guards against attempts that queue at a busy target of the same region until
// they are late, while the other region is idle.
TEST(PlacementTest, UsesOtherRegionWhenSameRegionIsBusy)
{
  Candidate busy = MakeCandidate(
    Distance::kSameFailureDomain, milliseconds(1), milliseconds(80));
  busy.running = 10;
  busy.expectedWait = milliseconds(700);
  const auto counts = CountChoices({ busy,
                                     MakeCandidate(Distance::kOtherRegion,
                                                   milliseconds(60),
                                                   milliseconds(80)) });
  EXPECT_EQ(counts.at(1), 200);
}

// Guards against a target whose immediate failures look like short run times
// and attract all requests.
TEST(PlacementTest, AvoidsTargetThatFailsFast)
{
  Candidate failing = MakeCandidate(
    Distance::kSameFailureDomain, milliseconds(1), milliseconds(5));
  failing.failureShare = 0.6;
  const auto counts = CountChoices({ failing,
                                     MakeCandidate(Distance::kSameRegion,
                                                   milliseconds(3),
                                                   milliseconds(90)) });
  EXPECT_EQ(counts.at(1), 200);
}

// Guards against all daemons choosing the same one of several equal targets.
TEST(PlacementTest, SpreadsOverEqualTargets)
{
  const Candidate target =
    MakeCandidate(Distance::kSameRegion, milliseconds(3), milliseconds(80));
  for (const auto& [index, count] :
       CountChoices({ target, target, target, target })) {
    EXPECT_GT(count, 20) << index;
  }
}

// Guards against choosing a target that cannot respond before the deadline
// while another one can.
TEST(PlacementTest, PrefersTargetThatMeetsDeadline)
{
  Candidate localTarget =
    MakeCandidate(Distance::kLocalTarget, Duration{}, milliseconds(300));
  const auto counts = CountChoices(
    { localTarget,
      MakeCandidate(
        Distance::kOtherRegion, milliseconds(60), milliseconds(100)) },
    { .objective = std::chrono::seconds(1), .remaining = milliseconds(200) });
  EXPECT_EQ(counts.at(1), 200);
}

// Guards against using a load report unchanged until the next one: attempts
// sent since the report occupy slots, and the reported queue drains with time.
TEST(PlacementTest, AdjustsReportedLoad)
{
  Candidate reported = MakeCandidate(
    Distance::kSameFailureDomain, milliseconds(1), milliseconds(100));
  reported.sentSinceReport = 40;
  EXPECT_GT(ExpectedResponseTime(reported, {}), milliseconds(350));
  reported.sentSinceReport = 0;
  reported.expectedWait = milliseconds(300);
  reported.reportAge = milliseconds(250);
  EXPECT_EQ(ExpectedResponseTime(reported, {}), milliseconds(151));
}

// Guards against sending requests to a stopping daemon while other candidates
// exist, and against an outage of a service whose daemons all stop together.
TEST(PlacementTest, UsesStoppingDaemonOnlyAsLastResort)
{
  Candidate closing = MakeCandidate(
    Distance::kSameFailureDomain, milliseconds(1), milliseconds(80));
  closing.stopping = true;
  Candidate busy =
    MakeCandidate(Distance::kOtherRegion, milliseconds(60), milliseconds(80));
  busy.running = 10;
  busy.expectedWait = milliseconds(700);
  EXPECT_EQ(CountChoices({ closing, busy }).at(1), 200);
  EXPECT_EQ(CountChoices({ closing }).at(0), 200);
}

} // namespace
} // namespace wagtailbend::placement
