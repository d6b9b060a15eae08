// The plan of a load run: phases with arrival rates, a mix of methods, and the
// arrival times of requests.
//
//   Result<std::vector<Phase>> phases = ParsePhases("base:5:1,over:3:3");
//   Result<std::vector<MixEntry>> mix =
//     ParseMix("association.Balances/Check=6,association.Payouts/Order=1",
//     schema);

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "wagtailbend/base/result.h"
#include "wagtailbend/base/rng.h"
#include "wagtailbend/base/time.h"
#include "wagtailbend/schema/schema.h"

namespace wagtailbend::load {

/// A part of a load run with a constant arrival rate.
struct Phase
{
  std::string name;
  Duration length{};
  /// Arrival rate as a multiple of the base rate.
  double rateFactor = 1.0;

  bool operator==(const Phase&) const = default;
};

/// A method and its share of the requests.
struct MixEntry
{
  schema::Method method;
  /// Relative to the sum of all weights of the mix.
  double weight = 1.0;

  bool operator==(const MixEntry&) const = default;
};

/// One request to be sent.
struct Arrival
{
  /// Time since the start of the run.
  Duration at{};
  /// Index into the mix.
  size_t mixIndex = 0;

  bool operator==(const Arrival&) const = default;
};

/// Parses "name:seconds:factor,...". On failure the error kind is
/// kInvalidRequest. Thread-safe.
Result<std::vector<Phase>>
ParsePhases(std::string_view aText);

/// Parses "package.Service/Method=weight,...". The default weight is 1. On
/// failure the error kind is kInvalidRequest. Thread-safe.
Result<std::vector<MixEntry>>
ParseMix(std::string_view aText, const schema::Schema& aSchema);

/// Returns open-loop Poisson arrivals in order of time. The rate does not
/// depend on responses, because a closed loop would send less under overload
/// and hide it. Preconditions: aRate (requests per second) > 0, aMix is not
/// empty.
std::vector<Arrival>
PlanArrivals(const std::vector<Phase>& aPhases,
             const std::vector<MixEntry>& aMix,
             double aRate,
             Rng& aRng);

} // namespace wagtailbend::load
