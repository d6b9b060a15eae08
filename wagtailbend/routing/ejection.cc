// Control-thread half of Balancer: snapshots, ejection and return.

#include <algorithm>
#include <utility>

#include "wagtailbend/routing/balancer.h"

namespace wagtailbend::routing {
namespace {

// Weight of one sample in the latency average. With exponential service times
// the average then varies by about a quarter, well below the ejection ratio.
constexpr double kSampleShare = 0.1;
// Weight of one sample in the evidence for ejection. It is separate from the
// average, because a slow target that is avoided ages towards the median and
// its average would never reach the ejection ratio.
constexpr double kEvidenceShare = 0.2;
// A failure counts as this many times the median latency, because a target that
// fails fast would otherwise attract calls.
constexpr double kFailureRatio = 10;
// A target without calls moves this far to the median at each evaluation, so
// that one that lost all comparisons is tried again.
constexpr double kAgingShare = 0.05;
constexpr Duration kUnusedAfter = std::chrono::seconds(1);
// At most one third of the targets of a locality is ejected.
constexpr size_t kEjectionDivisor = 3;

} // namespace

void
Balancer::Update(std::span<const Candidate> aCandidates, TimePoint aNow)
{
  std::map<std::string, State> states;
  for (const Candidate& candidate : aCandidates) {
    const std::string id = candidate.id.ToString();
    const auto known = m_states.find(id);
    State& state = states[id];
    if (known != m_states.end()) {
      state = known->second;
    } else {
      state.stats = std::make_shared<TargetStats>(MedianOf(candidate));
      state.rampFrom = candidate.cold ? aNow : TimePoint{};
    }
    state.candidate = candidate;
    if (candidate.draining) {
      state.ejected = false;
    }
  }
  m_states = std::move(states);
  for (size_t tier = 0; tier < kLocalityCount; ++tier) {
    EnforceCap(StatesOf(static_cast<Locality>(tier)), aNow);
  }
  Publish();
}

void
Balancer::Evaluate(TimePoint aNow)
{
  for (size_t tier = 0; tier < kLocalityCount; ++tier) {
    const auto locality = static_cast<Locality>(tier);
    const std::vector<State*> states = StatesOf(locality);
    UpdateMedian(states, locality);
    ReturnRecovered(states, aNow);
    AgeLatencies(states, aNow);
    // Trials of an ejected target would use the link between regions, so there
    // the comparison of two targets has to suffice.
    if (locality != Locality::kOtherRegion) {
      EjectStragglers(states);
    }
  }
  Publish();
}

bool
Balancer::IsSlower(const State* aLeft, const State* aRight)
{
  return aLeft->stats->EvidenceNs() > aRight->stats->EvidenceNs();
}

std::vector<Balancer::State*>
Balancer::StatesOf(Locality aLocality)
{
  std::vector<State*> states;
  for (auto& [id, state] : m_states) {
    if (state.candidate.locality == aLocality && !state.candidate.draining) {
      states.push_back(&state);
    }
  }
  return states;
}

void
Balancer::UpdateMedian(const std::vector<State*>& aStates, Locality aLocality)
{
  std::vector<double> latencies;
  for (const State* state : aStates) {
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
Balancer::ReturnRecovered(const std::vector<State*>& aStates,
                          TimePoint aNow) const
{
  for (State* state : aStates) {
    if (state->ejected && state->stats->GoodTrials() >= m_config.returnTrials) {
      Return(*state, aNow);
    }
  }
}

void
Balancer::AgeLatencies(const std::vector<State*>& aStates, TimePoint aNow) const
{
  for (const State* state : aStates) {
    if (!state->ejected && aNow - state->stats->SampledAt() > kUnusedAfter) {
      state->stats->Blend(MedianOf(state->candidate), kAgingShare);
    }
  }
}

void
Balancer::EjectStragglers(const std::vector<State*>& aStates) const
{
  size_t room = aStates.size() / kEjectionDivisor;
  std::vector<State*> slow;
  for (State* state : aStates) {
    if (state->ejected) {
      room -= std::min<size_t>(room, 1);
    } else if (state->stats->Samples() >=
                 state->samplesBefore + m_config.minSamples &&
               state->stats->EvidenceNs() >
                 m_config.ejectRatio * MedianOf(state->candidate)) {
      slow.push_back(state);
    }
  }
  std::sort(slow.begin(), slow.end(), IsSlower);
  slow.resize(std::min(room, slow.size()));
  for (State* state : slow) {
    state->ejected = true;
    state->stats->ClearTrials();
  }
}

void
Balancer::EnforceCap(const std::vector<State*>& aStates, TimePoint aNow) const
{
  std::vector<State*> ejected;
  for (State* state : aStates) {
    if (state->ejected) {
      ejected.push_back(state);
    }
  }
  std::sort(ejected.begin(), ejected.end(), IsSlower);
  for (size_t i = aStates.size() / kEjectionDivisor; i < ejected.size(); ++i) {
    Return(*ejected[i], aNow);
  }
}

void
Balancer::Return(State& aState, TimePoint aNow) const
{
  aState.ejected = false;
  aState.rampFrom = aNow;
  aState.samplesBefore = aState.stats->Samples();
  aState.stats->Blend(MedianOf(aState.candidate), 1);
  aState.stats->BlendEvidence(MedianOf(aState.candidate), 1);
}

double
Balancer::MedianOf(const Candidate& aCandidate) const
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
      Target{ state.candidate, state.stats, state.rampFrom, state.ejected });
    snapshot->all.push_back(target);
    if (state.candidate.draining) {
      continue;
    }
    if (state.candidate.self) {
      snapshot->self = target;
    }
    Tier& tier = snapshot->tiers[static_cast<size_t>(state.candidate.locality)];
    (state.ejected ? tier.ejected : tier.active).push_back(target);
    snapshot->ejected += state.ejected ? 1 : 0;
  }
  m_snapshot.store(std::move(snapshot));
}

void
Balancer::Finished(const Picked& aPicked,
                   Duration aLatency,
                   bool aOk,
                   TimePoint aNow)
{
  const Target& target = *aPicked.target;
  const double median = MedianOf(target.candidate);
  const auto measured = static_cast<double>(aLatency.count());
  target.stats->End();
  if (target.ejected) {
    target.stats->CountTrial(aOk && measured < m_config.returnRatio * median);
    return;
  }
  const double sample =
    aOk ? measured : std::max(measured, kFailureRatio * median);
  target.stats->Blend(sample, kSampleShare);
  target.stats->BlendEvidence(sample, kEvidenceShare);
  target.stats->CountSample(aOk, aNow);
}

void
Balancer::Hint(const DaemonId& aId, double aLoad, TimePoint aNow) const
{
  // The range expression of a loop does not keep a temporary snapshot alive.
  const auto snapshot = m_snapshot.load();
  for (const TargetPtr& target : snapshot->all) {
    if (target->candidate.id == aId) {
      target->stats->SetHint(aLoad, aNow);
    }
  }
}

} // namespace wagtailbend::routing
