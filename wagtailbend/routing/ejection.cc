// The methods of Balancer that eject and reinstate targets and publish
// snapshots.

#include <algorithm>
#include <utility>

#include "wagtailbend/routing/balancer.h"

namespace wagtailbend::routing {
namespace {

// Weight of one sample in the average latency. With exponentially distributed
// service times the average then varies by about a quarter, well below the
// ejection ratio.
constexpr double kLatencyWeight = 0.1;
// Weight of one sample in the ejection latency. It is kept apart from the
// average latency, because the average of a slow target that receives no calls
// decays towards the median and would never reach the ejection ratio.
constexpr double kEjectionLatencyWeight = 0.2;
// A failure counts as at least this multiple of the median latency, because a
// target that fails fast would otherwise attract calls.
constexpr double kFailurePenaltyRatio = 10;
// The average latency of a target without calls moves by this share of its
// distance to the median at each evaluation, so that a target that lost all
// comparisons is tried again.
constexpr double kDecayShare = 0.05;
constexpr Duration kIdleTime = std::chrono::seconds(1);
// At most a third of the targets of a locality is ejected.
constexpr size_t kEjectionDivisor = 3;

} // namespace

void
Balancer::Update(std::span<const Candidate> aCandidates, TimePoint aNow)
{
  std::map<std::string, TargetState> states;
  for (const Candidate& candidate : aCandidates) {
    const std::string id = candidate.id.ToString();
    const auto known = m_states.find(id);
    TargetState& state = states[id];
    if (known != m_states.end()) {
      state = known->second;
    } else {
      state.stats = std::make_shared<TargetStats>(MedianLatencyNs(candidate));
      state.rampStart = candidate.cold ? aNow : TimePoint{};
    }
    state.candidate = candidate;
    if (candidate.draining) {
      state.ejected = false;
    }
  }
  m_states = std::move(states);
  for (size_t tier = 0; tier < kLocalityCount; ++tier) {
    EnforceEjectionLimit(StatesOf(static_cast<Locality>(tier)), aNow);
  }
  Publish();
}

void
Balancer::Evaluate(TimePoint aNow)
{
  for (size_t tier = 0; tier < kLocalityCount; ++tier) {
    const auto locality = static_cast<Locality>(tier);
    const std::vector<TargetState*> states = StatesOf(locality);
    UpdateMedian(states, locality);
    ReinstateRecovered(states, aNow);
    DecayIdleLatencies(states, aNow);
    // Targets in the other region are not ejected, because their trials would
    // use the inter-region network. There, Pick only compares the scores of two
    // targets.
    if (locality != Locality::kOtherRegion) {
      EjectSlowTargets(states);
    }
  }
  Publish();
}

bool
Balancer::IsSlower(const TargetState* aLeft, const TargetState* aRight)
{
  return aLeft->stats->EjectionLatencyNs() > aRight->stats->EjectionLatencyNs();
}

std::vector<Balancer::TargetState*>
Balancer::StatesOf(Locality aLocality)
{
  std::vector<TargetState*> states;
  for (auto& [id, state] : m_states) {
    if (state.candidate.locality == aLocality && !state.candidate.draining) {
      states.push_back(&state);
    }
  }
  return states;
}

void
Balancer::UpdateMedian(const std::vector<TargetState*>& aStates,
                       Locality aLocality)
{
  std::vector<double> latencies;
  for (const TargetState* state : aStates) {
    if (state->stats->Samples() > 0) {
      latencies.push_back(state->stats->LatencyNs());
    }
  }
  if (latencies.empty()) {
    return;
  }
  const auto middle =
    latencies.begin() + static_cast<ptrdiff_t>((latencies.size() - 1) / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  m_medianNs[static_cast<size_t>(aLocality)].store(*middle);
}

void
Balancer::ReinstateRecovered(const std::vector<TargetState*>& aStates,
                             TimePoint aNow) const
{
  for (TargetState* state : aStates) {
    if (state->ejected &&
        state->stats->ConsecutiveGoodTrials() >= m_config.recoveryTrials) {
      Reinstate(*state, aNow);
    }
  }
}

void
Balancer::DecayIdleLatencies(const std::vector<TargetState*>& aStates,
                             TimePoint aNow) const
{
  for (const TargetState* state : aStates) {
    if (!state->ejected && aNow - state->stats->LastSampleTime() > kIdleTime) {
      state->stats->UpdateLatency(MedianLatencyNs(state->candidate),
                                  kDecayShare);
    }
  }
}

void
Balancer::EjectSlowTargets(const std::vector<TargetState*>& aStates) const
{
  size_t remainingEjections = aStates.size() / kEjectionDivisor;
  std::vector<TargetState*> slow;
  for (TargetState* state : aStates) {
    if (state->ejected) {
      remainingEjections -= std::min<size_t>(remainingEjections, 1);
    } else if (state->stats->Samples() >=
                 state->samplesAtReset + m_config.minSamples &&
               state->stats->EjectionLatencyNs() >
                 m_config.ejectRatio * MedianLatencyNs(state->candidate)) {
      slow.push_back(state);
    }
  }
  std::sort(slow.begin(), slow.end(), IsSlower);
  slow.resize(std::min(remainingEjections, slow.size()));
  for (TargetState* state : slow) {
    state->ejected = true;
    state->stats->ResetTrials();
  }
}

void
Balancer::EnforceEjectionLimit(const std::vector<TargetState*>& aStates,
                               TimePoint aNow) const
{
  std::vector<TargetState*> ejected;
  for (TargetState* state : aStates) {
    if (state->ejected) {
      ejected.push_back(state);
    }
  }
  std::sort(ejected.begin(), ejected.end(), IsSlower);
  for (size_t i = aStates.size() / kEjectionDivisor; i < ejected.size(); ++i) {
    Reinstate(*ejected[i], aNow);
  }
}

void
Balancer::Reinstate(TargetState& aState, TimePoint aNow) const
{
  aState.ejected = false;
  aState.rampStart = aNow;
  aState.samplesAtReset = aState.stats->Samples();
  aState.stats->UpdateLatency(MedianLatencyNs(aState.candidate), 1);
  aState.stats->UpdateEjectionLatency(MedianLatencyNs(aState.candidate), 1);
}

double
Balancer::MedianLatencyNs(const Candidate& aCandidate) const
{
  return m_medianNs[static_cast<size_t>(aCandidate.locality)].load(
    std::memory_order_relaxed);
}

void
Balancer::Publish()
{
  auto snapshot = std::make_shared<Snapshot>();
  for (const auto& [id, state] : m_states) {
    auto target = std::make_shared<const Target>(
      Target{ state.candidate, state.stats, state.rampStart, state.ejected });
    snapshot->all.push_back(target);
    if (state.candidate.draining) {
      continue;
    }
    if (state.candidate.isLocal) {
      snapshot->local = target;
    }
    Tier& tier = snapshot->tiers[static_cast<size_t>(state.candidate.locality)];
    (state.ejected ? tier.ejected : tier.active).push_back(target);
    snapshot->ejected += state.ejected ? 1 : 0;
  }
  m_snapshot.store(std::move(snapshot));
}

void
Balancer::OnAttemptFinished(const PickResult& aPicked,
                            Duration aLatency,
                            bool aOk,
                            TimePoint aNow)
{
  const Target& target = *aPicked.target;
  const double median = MedianLatencyNs(target.candidate);
  const auto measured = static_cast<double>(aLatency.count());
  target.stats->End();
  if (target.ejected) {
    target.stats->RecordTrial(aOk &&
                              measured < m_config.recoveryRatio * median);
    return;
  }
  const double sample =
    aOk ? measured : std::max(measured, kFailurePenaltyRatio * median);
  target.stats->UpdateLatency(sample, kLatencyWeight);
  target.stats->UpdateEjectionLatency(sample, kEjectionLatencyWeight);
  target.stats->RecordSample(aOk, aNow);
}

void
Balancer::RecordReportedLoad(const DaemonId& aId,
                             double aLoad,
                             TimePoint aNow) const
{
  // Needs a named copy: a temporary in the range expression of a loop is
  // destroyed before the loop body runs.
  const auto snapshot = m_snapshot.load();
  for (const TargetPtr& target : snapshot->all) {
    if (target->candidate.id == aId) {
      target->stats->SetReportedLoad(aLoad, aNow);
    }
  }
}

} // namespace wagtailbend::routing
