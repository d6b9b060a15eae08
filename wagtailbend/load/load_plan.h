// What a load run sends: phases of arrival rates and a mix of methods.
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

struct Phase
{
  std::string name;
  Duration length{};
  /// Multiple of the base rate.
  double factor = 1.0;

  bool operator==(const Phase&) const = default;
};

struct MixEntry
{
  schema::Method method;
  double weight = 1.0;

  bool operator==(const MixEntry&) const = default;
};

/// One request to be sent, at aAt after the start of the run.
struct Arrival
{
  Duration at{};
  /// Index into the mix.
  size_t entry = 0;

  bool operator==(const Arrival&) const = default;
};

/// Parses "name:seconds:factor,...". Error kind kInvalidRequest. Thread-safe.
Result<std::vector<Phase>>
ParsePhases(std::string_view aText);

/// Parses "package.Service/Method=weight,...". Error kind kInvalidRequest.
/// Thread-safe.
Result<std::vector<MixEntry>>
ParseMix(std::string_view aText, const schema::Schema& aSchema);

/// Returns open-loop Poisson arrivals in order of time. The rate does not
/// depend on responses, so that overload is not hidden. Preconditions: aRate
/// (requests per second) > 0, aMix is not empty.
std::vector<Arrival>
PlanArrivals(const std::vector<Phase>& aPhases,
             const std::vector<MixEntry>& aMix,
             double aRate,
             Rng& aRng);

} // namespace wagtailbend::load
