#include "wagtailbend/placement/placement.h"

#include <algorithm>
#include <array>

namespace wagtailbend::placement {
namespace {

// Cost by Distance. All costs are fractions of the latency objective.
constexpr std::array<double, 4> kDistanceCost = { 0.0, 0.01, 0.04, 0.25 };
// Bulk responses are several times larger, so distance costs more.
constexpr double kBulkDistanceFactor = 2.0;
// A failed attempt costs about another attempt, or the whole request.
constexpr double kFailureCost = 1.5;
// A recently started (cold) target takes about twice as long.
constexpr double kColdSlowdown = 2.0;
// Largest random increase of the expected time, as a fraction of it.
constexpr double kMaxRandomIncrease = 0.1;
// Cost of a response expected after the deadline.
constexpr double kMissedDeadlineCost = 10.0;
// Requests that a stopping daemon does not finish within its grace period are
// lost, so it is used only if all other candidates cost this much more.
constexpr double kStoppingDaemonCost = 2.0;
// Run time assumed if none is known for any candidate.
constexpr Duration kDefaultRunTime = std::chrono::milliseconds(50);

double
Ratio(Duration aNumerator, Duration aDenominator)
{
  return static_cast<double>(aNumerator.count()) /
         static_cast<double>(std::max<int64_t>(aDenominator.count(), 1));
}

/// Returns the mean of the known run times, to be assumed for candidates
/// without one.
Duration
MeanKnownRunTime(std::span<const Candidate> aCandidates)
{
  Duration sum{};
  int64_t knownCount = 0;
  for (const Candidate& candidate : aCandidates) {
    if (candidate.meanRunTime == Duration{}) {
      continue;
    }
    sum += candidate.meanRunTime;
    ++knownCount;
  }
  return knownCount == 0 ? kDefaultRunTime : sum / knownCount;
}

} // namespace

Duration
ExpectedResponseTime(const Candidate& aCandidate, Duration aDefaultRunTime)
{
  Duration run = aCandidate.meanRunTime == Duration{} ? aDefaultRunTime
                                                      : aCandidate.meanRunTime;
  if (aCandidate.cold) {
    run = Duration(
      static_cast<int64_t>(static_cast<double>(run.count()) * kColdSlowdown));
  }
  const uint32_t slots = std::max<uint32_t>(aCandidate.slots, 1);
  Duration wait =
    std::max(Duration{}, aCandidate.expectedWait - aCandidate.reportAge);
  const uint32_t running = aCandidate.running + aCandidate.sentSinceReport;
  if (running > slots) {
    wait += run * std::min(running - slots, aCandidate.sentSinceReport) / slots;
  }
  if (aCandidate.rateShare > 0) {
    // The other daemons know the same report and send requests too.
    wait += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      aCandidate.sentSinceReport / aCandidate.rateShare));
  }
  return aCandidate.roundTrip + wait + run;
}

std::optional<size_t>
ChooseTarget(std::span<const Candidate> aCandidates,
             const AttemptRequirements& aRequirements,
             Rng& aRng)
{
  const Duration defaultRunTime = MeanKnownRunTime(aCandidates);
  std::optional<size_t> best;
  double bestCost = 0;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    const Candidate& candidate = aCandidates[i];
    const Duration time = ExpectedResponseTime(candidate, defaultRunTime);
    const double distance =
      kDistanceCost[static_cast<size_t>(candidate.distance)] *
      (aRequirements.bulk ? kBulkDistanceFactor : 1.0);
    double cost = Ratio(time, aRequirements.objective) *
                    (1.0 + kMaxRandomIncrease * UniformUnit(aRng)) +
                  distance + kFailureCost * candidate.failureShare;
    if (candidate.stopping) {
      cost += kStoppingDaemonCost;
    }
    if (time > aRequirements.remaining) {
      cost += kMissedDeadlineCost;
    }
    if (!best || cost < bestCost) {
      best = i;
      bestCost = cost;
    }
  }
  return best;
}

} // namespace wagtailbend::placement
