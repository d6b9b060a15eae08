// Chooses the target VM for an attempt.
//
//   std::optional<size_t> chosen = ChooseTarget(candidates, requirements, rng);
//
// Targets differ in speed, which changes over time, and lie in failure domains
// at different distances. The candidate with the lowest cost is chosen: its
// expected response time as a fraction of the latency objective, plus a cost of
// the distance, because all traffic between regions shares a narrow network
// that is billed by volume. A faster target in the other region is therefore
// used only if those in the same region are slower by a considerable fraction
// of the objective.

#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "wagtailbend/base/rng.h"
#include "wagtailbend/base/time.h"

namespace wagtailbend::placement {

/// Distance of a target from this daemon.
enum class Distance : uint8_t
{
  /// The target on the same VM as this daemon.
  kLocalTarget,
  kSameFailureDomain,
  kSameRegion,
  kOtherRegion,
};

/// A target to choose from, as far as this daemon knows its state.
struct Candidate
{
  Distance distance = Distance::kLocalTarget;
  Duration roundTrip{};
  /// The load as last reported, or an estimate.
  uint32_t slots = 1;
  uint32_t running = 0;
  Duration expectedWait{};
  /// Mean time that requests of the route take there; zero if unknown.
  Duration meanRunTime{};
  /// Time since the load was reported.
  Duration reportAge{};
  /// Attempts sent there by this daemon since the report.
  uint32_t sentSinceReport = 0;
  /// Requests per second that this daemon may expect of a target that names a
  /// limit for all callers together; 0: it names none.
  double rateShare = 0;
  /// Share of recent requests that the target failed or rejected.
  double failureShare = 0;
  /// The target has started recently and is still slow.
  bool cold = false;
  /// The daemon of the target is about to stop.
  bool stopping = false;

  bool operator==(const Candidate&) const = default;
};

/// What an attempt requires of its target.
struct AttemptRequirements
{
  /// Latency objective of the route. Precondition: > 0.
  Duration objective = std::chrono::seconds(1);
  /// Time left before the deadline.
  Duration remaining{};
  /// The response is large.
  bool bulk = false;

  bool operator==(const AttemptRequirements&) const = default;
};

/// Returns the expected time until a response arrives, including round trip and
/// queue. aDefaultRunTime is used if the run time is unknown.
Duration
ExpectedResponseTime(const Candidate& aCandidate, Duration aDefaultRunTime);

/// Returns the index of the candidate with the lowest cost, or nullopt if there
/// are no candidates. A small random part of the cost keeps daemons with the
/// same view from all choosing the same target. The caller owns aRng.
std::optional<size_t>
ChooseTarget(std::span<const Candidate> aCandidates,
             const AttemptRequirements& aRequirements,
             Rng& aRng);

} // namespace wagtailbend::placement
