// Load balancer of one service: chooses the target of each attempt.
//
//   balancer.Update(candidates, now);              // control thread
//   auto picked = balancer.Pick(now, rng, { .exclude = tried });
//   balancer.OnAttemptStarted(*picked);
//   balancer.OnAttemptFinished(*picked, latency, /*aOk=*/true, now);

#pragma once

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "wagtailbend/base/rng.h"
#include "wagtailbend/routing/inter_region_budget.h"
#include "wagtailbend/routing/target.h"
#include "wagtailbend/schema/schema.h"

namespace wagtailbend::routing {

/// Lookups of at least this priority may use the inter-region network.
inline constexpr uint32_t kCrossRegionMinPriority = 6;

struct BalancerConfig
{
  /// Time in which a cold or reinstated target reaches its full share.
  Duration rampTime = std::chrono::seconds(10);
  /// A target is ejected when its latency exceeds the median by this factor.
  double ejectRatio = 3;
  /// An ejected target is reinstated after recoveryTrials consecutive trials
  /// below this multiple of the median latency.
  double recoveryRatio = 2;
  uint32_t recoveryTrials = 3;
  Duration trialInterval = std::chrono::seconds(1);
  /// At most one in this many picks is a trial, so that trials of slow targets
  /// do not affect the p99 latency.
  uint32_t picksPerTrial = 200;
  /// Samples required before a target can be ejected.
  uint64_t minSamples = 3;
  /// The local target is not preferred above this share of its slots.
  double localLoadLimit = 0.7;
  /// The local target is not preferred if its score exceeds that of the best
  /// other target drawn by this factor.
  double maxLocalScoreRatio = 2;
};

struct PickOptions
{
  /// Targets that were already tried; never picked.
  std::span<const DaemonId> exclude{};
  schema::Kind kind = schema::Kind::kLookup;
  uint32_t priority = 0;
  /// Restricts the pick to targets of the local failure domain.
  bool localDomainOnly = false;
  /// Prefers the local target when its load allows it.
  bool preferLocal = true;
  /// Whether the pick may be a trial request. Should be false for orders.
  bool allowTrial = true;
  /// Byte budget of the inter-region network. If null, targets in the other
  /// region are not picked.
  InterRegionBudget* interRegionBudget = nullptr;
  /// Expected bytes of the call on the inter-region network.
  uint64_t interRegionBytes = 0;
};

struct PickResult
{
  std::shared_ptr<const Target> target;
  /// Whether this is a trial request to an ejected target.
  bool trial = false;
};

/// Update and Evaluate must be called on the control thread only; all other
/// methods are thread-safe.
class Balancer
{
public:
  explicit Balancer(BalancerConfig aConfig = {});

  /// Replaces the candidates, which must be distinct. Keeps the statistics and
  /// ejections of daemons that remain (same name and incarnation).
  void Update(std::span<const Candidate> aCandidates, TimePoint aNow);

  /// Ejects slow targets of the local region, at most a third of the targets of
  /// each locality, and reinstates recovered targets. Must be called every 100
  /// ms.
  void Evaluate(TimePoint aNow);

  /// Picks a target. Returns nullopt if every target is draining or excluded,
  /// or if the remaining ones are in the other region and the request may not
  /// use the inter-region network. Deducts the bytes from the inter-region
  /// budget if a target in the other region is picked. The caller owns aRng.
  std::optional<PickResult> Pick(TimePoint aNow,
                                 Rng& aRng,
                                 const PickOptions& aOptions) const;

  /// Returns the current state of a target, or nullptr if it is not a
  /// candidate.
  std::shared_ptr<const Target> Find(const DaemonId& aId) const;

  /// OnAttemptStarted must be called when the attempt is sent, and
  /// OnAttemptFinished once when it ends. aOk is false if the target failed;
  /// rejections for overload do not count as failures of the target.
  void OnAttemptStarted(const PickResult& aPicked) const;
  void OnAttemptFinished(const PickResult& aPicked,
                         Duration aLatency,
                         bool aOk,
                         TimePoint aNow);

  /// Must be called instead of OnAttemptFinished if the attempt says nothing
  /// about the target, for instance because the caller cancelled it.
  void OnAttemptAbandoned(const PickResult& aPicked) const;

  /// Records the load (0 to 1 and above) that a target reported.
  void RecordReportedLoad(const DaemonId& aId,
                          double aLoad,
                          TimePoint aNow) const;

  /// Returns all candidates, for status output.
  std::vector<std::shared_ptr<const Target>> Targets() const;
  size_t EjectedCount() const;
  size_t CandidateCount() const;
  /// Returns the memory used per candidate in bytes, without the strings in
  /// Candidate.
  static size_t BytesPerCandidate();

private:
  using TargetPtr = std::shared_ptr<const Target>;

  struct Tier
  {
    std::vector<TargetPtr> active;
    std::vector<TargetPtr> ejected;
  };
  struct Snapshot
  {
    std::array<Tier, kLocalityCount> tiers;
    std::vector<TargetPtr> all;
    TargetPtr local;
    size_t ejected = 0;
  };
  struct TargetState
  {
    Candidate candidate;
    std::shared_ptr<TargetStats> stats;
    TimePoint rampStart;
    bool ejected = false;
    /// Number of samples when the target was added or reinstated.
    uint64_t samplesAtReset = 0;
  };

  static bool IsSlower(const TargetState* aLeft, const TargetState* aRight);
  std::vector<TargetState*> StatesOf(Locality aLocality);
  void UpdateMedian(const std::vector<TargetState*>& aStates,
                    Locality aLocality);
  void ReinstateRecovered(const std::vector<TargetState*>& aStates,
                          TimePoint aNow) const;
  void DecayIdleLatencies(const std::vector<TargetState*>& aStates,
                          TimePoint aNow) const;
  void EjectSlowTargets(const std::vector<TargetState*>& aStates) const;
  void EnforceEjectionLimit(const std::vector<TargetState*>& aStates,
                            TimePoint aNow) const;
  void Reinstate(TargetState& aState, TimePoint aNow) const;
  double MedianLatencyNs(const Candidate& aCandidate) const;
  void Publish();

  std::optional<PickResult> PickTrial(const Snapshot& aSnapshot,
                                      TimePoint aNow,
                                      Rng& aRng,
                                      const PickOptions& aOptions) const;
  TargetPtr PickActive(const Snapshot& aSnapshot,
                       size_t aTier,
                       TimePoint aNow,
                       Rng& aRng,
                       const PickOptions& aOptions) const;
  TargetPtr DrawTarget(const std::vector<TargetPtr>& aTargets,
                       const Target* aOther,
                       TimePoint aNow,
                       Rng& aRng,
                       const PickOptions& aOptions) const;
  bool ShouldPreferLocal(const Target& aLocal,
                         const Target* aAlternative,
                         TimePoint aNow,
                         Rng& aRng,
                         const PickOptions& aOptions) const;
  double RampShare(const Target& aTarget, TimePoint aNow) const;

  const BalancerConfig m_config;
  /// Keyed by DaemonId::ToString().
  std::map<std::string, TargetState> m_states;
  std::atomic<std::shared_ptr<const Snapshot>> m_snapshot;
  /// Median latency per locality, because targets in the other region have a
  /// longer round trip but are not slower.
  std::array<std::atomic<double>, kLocalityCount> m_medianNs;
  mutable std::atomic<TimePoint> m_nextTrial{ TimePoint{} };
};

} // namespace wagtailbend::routing
