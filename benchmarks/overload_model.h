// Virtual-time model of one target, or of a target that calls a second one,
// under open-loop load: either behind Admission, or behind the baseline (no
// admission control, one shared FIFO queue, retries at each hop).

#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "wagtailbend/base/time.h"
#include "wagtailbend/schema/schema.h"

namespace wagtailbend::benchmarks {

/// One class of requests. Service times are uniform within 50% of the mean.
struct Load
{
  std::string method;
  schema::Kind kind = schema::Kind::kLookup;
  uint32_t priority = 0;
  Duration deadline{};
  Duration meanService{};
  /// Requests per second as a function of the time since the start.
  std::function<double(Duration)> rate;
};

struct Scenario
{
  uint32_t slots = 100;
  /// Requests that the target really runs side by side; with more in service
  /// the service times of those that start grow in proportion. 0: no limit.
  uint32_t parallelism = 0;
  bool reservesOrderSlots = true;
  std::vector<Load> loads;
  /// Factor on service times as a function of the time since the start.
  std::function<double(Duration)> slowdown = [](Duration) { return 1.0; };
  Duration length{};
  bool baseline = false;
  /// With a chain, each request first runs kFrontService at a front target with
  /// four times the slots, which then calls the target above.
  bool chain = false;
  uint64_t seed = 1;
};

inline constexpr Duration kFrontService = std::chrono::milliseconds(2);

/// What one customer saw. Times are since the start.
struct Outcome
{
  size_t load = 0;
  Duration arrival{};
  /// Time of the answer, or of the deadline if there was none.
  Duration end{};
  /// A complete response arrived before the deadline.
  bool answered = false;
};

struct RunResult
{
  std::vector<Outcome> outcomes;
  /// Most attempts, over all hops, that one customer request caused.
  uint32_t maxAttempts = 0;
};

/// Deterministic for a given scenario.
RunResult
Run(const Scenario& aScenario);

} // namespace wagtailbend::benchmarks
