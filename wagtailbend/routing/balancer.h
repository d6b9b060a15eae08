// Chooses the target of each attempt for one service.
//
//   balancer.Update(candidates, now);              // control thread
//   auto picked = balancer.Pick(now, rng, { .exclude = tried });
//   balancer.Started(*picked);
//   balancer.Finished(*picked, latency, /*aOk=*/true, now);

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
#include "wagtailbend/routing/link_budget.h"
#include "wagtailbend/routing/target.h"
#include "wagtailbend/schema/schema.h"

namespace wagtailbend::routing {

/// Lookups of at least this priority may use the link between regions.
inline constexpr uint32_t kCrossRegionMinPriority = 6;

struct BalancerConfig
{
  /// Time in which a cold or returning target reaches its full share.
  Duration rampTime = std::chrono::seconds(10);
  /// A target is ejected when its latency is this many times the median.
  double ejectRatio = 3;
  /// An ejected target returns after trials below this many times the median.
  double returnRatio = 2;
  uint32_t returnTrials = 3;
  Duration trialInterval = std::chrono::seconds(1);
  /// At most one in this many picks is a trial, so that trials of slow targets
  /// stay outside the 99th percentile.
  uint32_t picksPerTrial = 200;
  /// Samples needed before a target can be ejected.
  uint64_t minSamples = 3;
  /// The own target is not preferred above this share of its slots.
  double selfLoadLimit = 0.7;
  /// The own target is not preferred if its score is this many times that of
  /// the best other target drawn.
  double selfAdvantage = 2;
};

struct PickOptions
{
  /// Targets that were tried before; never picked.
  std::span<const DaemonId> exclude{};
  schema::Kind kind = schema::Kind::kLookup;
  uint32_t priority = 0;
  /// Only targets of the own failure domain.
  bool ownDomainOnly = false;
  /// Prefer the own target when its load allows.
  bool preferSelf = true;
  /// Orders should not be used as trial requests.
  bool allowTrial = true;
  /// Budget of the link between regions; without it the link is not used.
  LinkBudget* link = nullptr;
  /// Expected bytes of the call on the link.
  uint64_t linkBytes = 0;
};

struct Picked
{
  std::shared_ptr<const Target> target;
  /// A trial request to an ejected target.
  bool trial = false;
};

/// Update and Evaluate run on the control thread, the rest on any thread.
class Balancer
{
public:
  explicit Balancer(BalancerConfig aConfig = {});

  /// Replaces the candidates. Statistics and ejections of daemons that remain
  /// (same name and incarnation) are kept. Candidates must be distinct.
  void Update(std::span<const Candidate> aCandidates, TimePoint aNow);

  /// Ejects stragglers of the own region, at most a third of the targets of
  /// each locality, and returns recovered targets. Call each 100 ms.
  void Evaluate(TimePoint aNow);

  /// Returns nullopt if there is no target that is neither draining nor
  /// excluded, or only in the other region and the work may not use the link.
  /// Bytes of the link are taken if a target there is picked. The caller owns
  /// aRng.
  std::optional<Picked> Pick(TimePoint aNow,
                             Rng& aRng,
                             const PickOptions& aOptions) const;

  /// Returns the present state of a target, or nullptr.
  std::shared_ptr<const Target> Find(const DaemonId& aId) const;

  /// Call when the attempt is sent, and once when it ended. aOk is false if the
  /// target failed; rejections for overload are no failures of the target.
  void Started(const Picked& aPicked) const;
  void Finished(const Picked& aPicked,
                Duration aLatency,
                bool aOk,
                TimePoint aNow);

  /// Call instead of Finished if the attempt says nothing about the target, for
  /// instance because the caller cancelled it.
  void Abandoned(const Picked& aPicked) const;

  /// Stores the load (0 to 1 and above) that a target reported.
  void Hint(const DaemonId& aId, double aLoad, TimePoint aNow) const;

  /// All candidates, for status output.
  std::vector<std::shared_ptr<const Target>> Targets() const;
  size_t EjectedCount() const;
  size_t CandidateCount() const;
  /// Bytes held per candidate, without the texts in Candidate.
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
    TargetPtr self;
    size_t ejected = 0;
  };
  struct State
  {
    Candidate candidate;
    std::shared_ptr<TargetStats> stats;
    TimePoint rampFrom;
    bool ejected = false;
    /// Samples when the target came or returned.
    uint64_t samplesBefore = 0;
  };

  static bool IsSlower(const State* aLeft, const State* aRight);
  std::vector<State*> StatesOf(Locality aLocality);
  void UpdateMedian(const std::vector<State*>& aStates, Locality aLocality);
  void ReturnRecovered(const std::vector<State*>& aStates,
                       TimePoint aNow) const;
  void AgeLatencies(const std::vector<State*>& aStates, TimePoint aNow) const;
  void EjectStragglers(const std::vector<State*>& aStates) const;
  void EnforceCap(const std::vector<State*>& aStates, TimePoint aNow) const;
  void Return(State& aState, TimePoint aNow) const;
  double MedianOf(const Candidate& aCandidate) const;
  void Publish();

  std::optional<Picked> PickTrial(const Snapshot& aSnapshot,
                                  TimePoint aNow,
                                  Rng& aRng,
                                  const PickOptions& aOptions) const;
  TargetPtr PickActive(const Snapshot& aSnapshot,
                       size_t aTier,
                       TimePoint aNow,
                       Rng& aRng,
                       const PickOptions& aOptions) const;
  TargetPtr Draw(const std::vector<TargetPtr>& aTargets,
                 const Target* aOther,
                 TimePoint aNow,
                 Rng& aRng,
                 const PickOptions& aOptions) const;
  bool SelfAllowed(const Target& aSelf,
                   const Target* aRival,
                   TimePoint aNow,
                   Rng& aRng,
                   const PickOptions& aOptions) const;
  double Ramp(const Target& aTarget, TimePoint aNow) const;

  const BalancerConfig m_config;
  /// By DaemonId in text form.
  std::map<std::string, State> m_states;
  std::atomic<std::shared_ptr<const Snapshot>> m_snapshot;
  /// Median latency per locality: the other region is farther, not slower.
  std::array<std::atomic<double>, kLocalityCount> m_medianNs;
  mutable std::atomic<TimePoint> m_nextTrial{ TimePoint{} };
};

} // namespace wagtailbend::routing
