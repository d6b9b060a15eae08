#include "wagtailbend/routing/balancer.h"

#include <algorithm>
#include <utility>

namespace wagtailbend::routing {
namespace {

// Assumed latency of a target before the first measurement.
constexpr double kInitialLatencyNs = 1e6;
// Reported load at which targets of the next locality are considered.
constexpr double kSaturatedLoad = 1;
// Share of a target at the start of its ramp.
constexpr double kMinRampShare = 0.05;
// Random draws before all targets are scanned for a usable one.
constexpr int kMaxDraws = 4;

bool
IsExcluded(const Target& aTarget, const PickOptions& aOptions)
{
  return std::find(aOptions.exclude.begin(),
                   aOptions.exclude.end(),
                   aTarget.candidate.id) != aOptions.exclude.end();
}

double
Score(const Target& aTarget, TimePoint aNow)
{
  const TargetStats& stats = *aTarget.stats;
  return (stats.InFlight() + 1) * stats.LatencyNs() *
         (1 + stats.ReportedLoad(aNow));
}

bool
MayUseInterRegionNetwork(const PickOptions& aOptions)
{
  return aOptions.interRegionBudget &&
         (aOptions.kind == schema::Kind::kOrder ||
          aOptions.priority >= kCrossRegionMinPriority);
}

TrafficClass
TrafficClassOf(schema::Kind aKind)
{
  switch (aKind) {
    case schema::Kind::kOrder:
      return TrafficClass::kOrder;
    case schema::Kind::kLookup:
      return TrafficClass::kLookup;
    case schema::Kind::kBulk:
      return TrafficClass::kBulk;
  }
  return TrafficClass::kBulk;
}

} // namespace

Balancer::Balancer(BalancerConfig aConfig)
  : m_config(aConfig)
  , m_snapshot(std::make_shared<const Snapshot>())
  , m_medianNs{ kInitialLatencyNs, kInitialLatencyNs, kInitialLatencyNs }
{
}

std::optional<PickResult>
Balancer::Pick(TimePoint aNow, Rng& aRng, const PickOptions& aOptions) const
{
  const std::shared_ptr<const Snapshot> snapshot = m_snapshot.load();
  if (snapshot->ejected > 0 && aOptions.allowTrial &&
      !aOptions.localDomainOnly) {
    if (auto trial = PickTrial(*snapshot, aNow, aRng, aOptions)) {
      return trial;
    }
  }
  TargetPtr best;
  constexpr auto kOtherRegionTier = static_cast<size_t>(Locality::kOtherRegion);
  const size_t tiers = aOptions.localDomainOnly ? 1 : kOtherRegionTier;
  for (size_t tier = 0; tier < tiers; ++tier) {
    TargetPtr target = PickActive(*snapshot, tier, aNow, aRng, aOptions);
    if (target && (!best || target->stats->ReportedLoad(aNow) <
                              best->stats->ReportedLoad(aNow))) {
      best = std::move(target);
    }
    if (best && best->stats->ReportedLoad(aNow) < kSaturatedLoad) {
      break;
    }
  }
  // Ejected targets in the local region are preferred to the inter-region
  // network.
  for (size_t tier = 0; tier < tiers && !best; ++tier) {
    best =
      DrawTarget(snapshot->tiers[tier].ejected, nullptr, aNow, aRng, aOptions);
  }
  if (!best && !aOptions.localDomainOnly &&
      MayUseInterRegionNetwork(aOptions)) {
    best = PickActive(*snapshot, kOtherRegionTier, aNow, aRng, aOptions);
    if (best &&
        !aOptions.interRegionBudget->TryTake(
          TrafficClassOf(aOptions.kind), aOptions.interRegionBytes, aNow)) {
      best.reset();
    }
  }
  if (!best) {
    return std::nullopt;
  }
  return PickResult{ std::move(best), false };
}

std::optional<PickResult>
Balancer::PickTrial(const Snapshot& aSnapshot,
                    TimePoint aNow,
                    Rng& aRng,
                    const PickOptions& aOptions) const
{
  TimePoint next = m_nextTrial.load(std::memory_order_relaxed);
  if (aNow < next || UniformBelow(aRng, m_config.picksPerTrial) != 0) {
    return std::nullopt;
  }
  std::vector<TargetPtr> ejected = aSnapshot.tiers[0].ejected;
  const auto& regionEjected = aSnapshot.tiers[1].ejected;
  ejected.insert(ejected.end(), regionEjected.begin(), regionEjected.end());
  TargetPtr target = DrawTarget(ejected, nullptr, aNow, aRng, aOptions);
  const Duration interval =
    m_config.trialInterval / static_cast<int64_t>(aSnapshot.ejected);
  if (!target || !m_nextTrial.compare_exchange_strong(next, aNow + interval)) {
    return std::nullopt;
  }
  return PickResult{ std::move(target), true };
}

Balancer::TargetPtr
Balancer::PickActive(const Snapshot& aSnapshot,
                     size_t aTier,
                     TimePoint aNow,
                     Rng& aRng,
                     const PickOptions& aOptions) const
{
  const std::vector<TargetPtr>& active = aSnapshot.tiers[aTier].active;
  TargetPtr first = DrawTarget(active, nullptr, aNow, aRng, aOptions);
  if (!first) {
    return nullptr;
  }
  TargetPtr second = DrawTarget(active, first.get(), aNow, aRng, aOptions);
  if (second && Score(*second, aNow) < Score(*first, aNow)) {
    first = std::move(second);
  }
  if (aTier == 0 && aSnapshot.local &&
      ShouldPreferLocal(*aSnapshot.local, first.get(), aNow, aRng, aOptions)) {
    return aSnapshot.local;
  }
  return first;
}

Balancer::TargetPtr
Balancer::DrawTarget(const std::vector<TargetPtr>& aTargets,
                     const Target* aOther,
                     TimePoint aNow,
                     Rng& aRng,
                     const PickOptions& aOptions) const
{
  if (aTargets.empty()) {
    return nullptr;
  }
  const auto isUsable = [&](const Target& aTarget) {
    return &aTarget != aOther && !IsExcluded(aTarget, aOptions);
  };
  for (int i = 0; i < kMaxDraws; ++i) {
    const TargetPtr& target = aTargets[UniformBelow(aRng, aTargets.size())];
    if (!isUsable(*target)) {
      continue;
    }
    const double ramp = RampShare(*target, aNow);
    if (ramp >= 1 || UniformUnit(aRng) < ramp) {
      return target;
    }
  }
  // Few targets are usable, so any of them is taken, preferably one with its
  // full share.
  const TargetPtr* found = nullptr;
  const size_t start = UniformBelow(aRng, aTargets.size());
  for (size_t i = 0; i < aTargets.size(); ++i) {
    const TargetPtr& target = aTargets[(start + i) % aTargets.size()];
    if (isUsable(*target) &&
        (!found || RampShare(*target, aNow) > RampShare(**found, aNow))) {
      found = &target;
    }
  }
  return found ? *found : nullptr;
}

bool
Balancer::ShouldPreferLocal(const Target& aLocal,
                            const Target* aAlternative,
                            TimePoint aNow,
                            Rng& aRng,
                            const PickOptions& aOptions) const
{
  if (!aOptions.preferLocal || aLocal.ejected || IsExcluded(aLocal, aOptions)) {
    return false;
  }
  const double load = std::max(aLocal.stats->ReportedLoad(aNow),
                               static_cast<double>(aLocal.stats->InFlight()) /
                                 std::max(1U, aLocal.candidate.slots));
  const double ramp = RampShare(aLocal, aNow);
  return load < m_config.localLoadLimit &&
         Score(aLocal, aNow) <=
           m_config.maxLocalScoreRatio * Score(*aAlternative, aNow) &&
         (ramp >= 1 || UniformUnit(aRng) < ramp);
}

double
Balancer::RampShare(const Target& aTarget, TimePoint aNow) const
{
  if (aTarget.rampStart == TimePoint{}) {
    return 1;
  }
  const double share = std::chrono::duration<double>(aNow - aTarget.rampStart) /
                       std::chrono::duration<double>(m_config.rampTime);
  return std::clamp(share, kMinRampShare, 1.0);
}

std::shared_ptr<const Target>
Balancer::Find(const DaemonId& aId) const
{
  const std::shared_ptr<const Snapshot> snapshot = m_snapshot.load();
  const auto found = std::find_if(
    snapshot->all.begin(), snapshot->all.end(), [&](const TargetPtr& aTarget) {
      return aTarget->candidate.id.incarnation == aId.incarnation &&
             aTarget->candidate.id == aId;
    });
  return found == snapshot->all.end() ? nullptr : *found;
}

void
Balancer::OnAttemptStarted(const PickResult& aPicked) const
{
  aPicked.target->stats->Begin();
}

void
Balancer::OnAttemptAbandoned(const PickResult& aPicked) const
{
  aPicked.target->stats->End();
}

std::vector<std::shared_ptr<const Target>>
Balancer::Targets() const
{
  return m_snapshot.load()->all;
}

size_t
Balancer::EjectedCount() const
{
  return m_snapshot.load()->ejected;
}

size_t
Balancer::CandidateCount() const
{
  return m_snapshot.load()->all.size();
}

size_t
Balancer::BytesPerCandidate()
{
  // Target and statistics with their control blocks, the state with its map
  // node, and two pointers in the snapshot.
  constexpr size_t kControlBlock = 16;
  constexpr size_t kMapNode = 32;
  return sizeof(Target) + sizeof(TargetStats) + 2 * kControlBlock +
         sizeof(TargetState) + sizeof(std::string) + kMapNode +
         2 * sizeof(TargetPtr);
}

} // namespace wagtailbend::routing
