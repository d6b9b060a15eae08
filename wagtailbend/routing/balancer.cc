#include "wagtailbend/routing/balancer.h"

#include <algorithm>
#include <utility>

namespace wagtailbend::routing {
namespace {

// Latency of a target before any was measured.
constexpr double kInitialLatencyNs = 1e6;
// Reported load from which the next locality is considered.
constexpr double kSaturatedLoad = 1;
constexpr double kMinRamp = 0.05;
constexpr int kDraws = 4;

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
         (1 + stats.HintLoad(aNow));
}

bool
MayCross(const PickOptions& aOptions)
{
  return aOptions.link && (aOptions.kind == schema::Kind::kOrder ||
                           aOptions.priority >= kCrossRegionMinPriority);
}

LinkClass
ClassOf(schema::Kind aKind)
{
  switch (aKind) {
    case schema::Kind::kOrder:
      return LinkClass::kOrder;
    case schema::Kind::kLookup:
      return LinkClass::kLookup;
    case schema::Kind::kBulk:
      return LinkClass::kBulk;
  }
  return LinkClass::kBulk;
}

} // namespace

Balancer::Balancer(BalancerConfig aConfig)
  : m_config(aConfig)
  , m_snapshot(std::make_shared<const Snapshot>())
  , m_medianNs{ kInitialLatencyNs, kInitialLatencyNs, kInitialLatencyNs }
{
}

std::optional<Picked>
Balancer::Pick(TimePoint aNow, Rng& aRng, const PickOptions& aOptions) const
{
  const std::shared_ptr<const Snapshot> snapshot = m_snapshot.load();
  if (snapshot->ejected > 0 && aOptions.allowTrial && !aOptions.ownDomainOnly) {
    if (auto trial = PickTrial(*snapshot, aNow, aRng, aOptions)) {
      return trial;
    }
  }
  TargetPtr best;
  constexpr auto kOther = static_cast<size_t>(Locality::kOtherRegion);
  const size_t tiers = aOptions.ownDomainOnly ? 1 : kOther;
  for (size_t tier = 0; tier < tiers; ++tier) {
    TargetPtr target = PickActive(*snapshot, tier, aNow, aRng, aOptions);
    if (target && (!best || target->stats->HintLoad(aNow) <
                              best->stats->HintLoad(aNow))) {
      best = std::move(target);
    }
    if (best && best->stats->HintLoad(aNow) < kSaturatedLoad) {
      break;
    }
  }
  // An ejected target nearby serves before the link is used.
  for (size_t tier = 0; tier < tiers && !best; ++tier) {
    best = Draw(snapshot->tiers[tier].ejected, nullptr, aNow, aRng, aOptions);
  }
  if (!best && !aOptions.ownDomainOnly && MayCross(aOptions)) {
    best = PickActive(*snapshot, kOther, aNow, aRng, aOptions);
    if (best && !aOptions.link->TryTake(
                  ClassOf(aOptions.kind), aOptions.linkBytes, aNow)) {
      best.reset();
    }
  }
  if (!best) {
    return std::nullopt;
  }
  return Picked{ std::move(best), false };
}

std::optional<Picked>
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
  const auto& region = aSnapshot.tiers[1].ejected;
  ejected.insert(ejected.end(), region.begin(), region.end());
  TargetPtr target = Draw(ejected, nullptr, aNow, aRng, aOptions);
  const Duration interval =
    m_config.trialInterval / static_cast<int64_t>(aSnapshot.ejected);
  if (!target || !m_nextTrial.compare_exchange_strong(next, aNow + interval)) {
    return std::nullopt;
  }
  return Picked{ std::move(target), true };
}

Balancer::TargetPtr
Balancer::PickActive(const Snapshot& aSnapshot,
                     size_t aTier,
                     TimePoint aNow,
                     Rng& aRng,
                     const PickOptions& aOptions) const
{
  const std::vector<TargetPtr>& active = aSnapshot.tiers[aTier].active;
  TargetPtr first = Draw(active, nullptr, aNow, aRng, aOptions);
  if (!first) {
    return nullptr;
  }
  TargetPtr second = Draw(active, first.get(), aNow, aRng, aOptions);
  if (second && Score(*second, aNow) < Score(*first, aNow)) {
    first = std::move(second);
  }
  if (aTier == 0 && aSnapshot.self &&
      SelfAllowed(*aSnapshot.self, first.get(), aNow, aRng, aOptions)) {
    return aSnapshot.self;
  }
  return first;
}

Balancer::TargetPtr
Balancer::Draw(const std::vector<TargetPtr>& aTargets,
               const Target* aOther,
               TimePoint aNow,
               Rng& aRng,
               const PickOptions& aOptions) const
{
  if (aTargets.empty()) {
    return nullptr;
  }
  const auto usable = [&](const Target& aTarget) {
    return &aTarget != aOther && !IsExcluded(aTarget, aOptions);
  };
  for (int i = 0; i < kDraws; ++i) {
    const TargetPtr& target = aTargets[UniformBelow(aRng, aTargets.size())];
    if (!usable(*target)) {
      continue;
    }
    const double ramp = Ramp(*target, aNow);
    if (ramp >= 1 || UniformUnit(aRng) < ramp) {
      return target;
    }
  }
  // Few targets are usable; take any, the ones with their full share first.
  const TargetPtr* found = nullptr;
  const size_t start = UniformBelow(aRng, aTargets.size());
  for (size_t i = 0; i < aTargets.size(); ++i) {
    const TargetPtr& target = aTargets[(start + i) % aTargets.size()];
    if (usable(*target) &&
        (!found || Ramp(*target, aNow) > Ramp(**found, aNow))) {
      found = &target;
    }
  }
  return found ? *found : nullptr;
}

bool
Balancer::SelfAllowed(const Target& aSelf,
                      const Target* aRival,
                      TimePoint aNow,
                      Rng& aRng,
                      const PickOptions& aOptions) const
{
  if (!aOptions.preferSelf || aSelf.ejected || IsExcluded(aSelf, aOptions)) {
    return false;
  }
  const double load = std::max(aSelf.stats->HintLoad(aNow),
                               static_cast<double>(aSelf.stats->InFlight()) /
                                 std::max(1U, aSelf.candidate.slots));
  const double ramp = Ramp(aSelf, aNow);
  return load < m_config.selfLoadLimit &&
         Score(aSelf, aNow) <= m_config.selfAdvantage * Score(*aRival, aNow) &&
         (ramp >= 1 || UniformUnit(aRng) < ramp);
}

double
Balancer::Ramp(const Target& aTarget, TimePoint aNow) const
{
  if (aTarget.rampFrom == TimePoint{}) {
    return 1;
  }
  const double share = std::chrono::duration<double>(aNow - aTarget.rampFrom) /
                       std::chrono::duration<double>(m_config.rampTime);
  return std::clamp(share, kMinRamp, 1.0);
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
Balancer::Started(const Picked& aPicked) const
{
  aPicked.target->stats->Begin();
}

void
Balancer::Abandoned(const Picked& aPicked) const
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
         sizeof(State) + sizeof(std::string) + kMapNode + 2 * sizeof(TargetPtr);
}

} // namespace wagtailbend::routing
