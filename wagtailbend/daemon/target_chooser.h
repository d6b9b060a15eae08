// The choice of the target of each attempt, as the request path sees it.
//
//   const Destination* destination =
//     chooser->Choose(context, snapshot, tried, now, rng);

#pragma once

#include <optional>
#include <span>

#include "wagtailbend/base/rng.h"
#include "wagtailbend/daemon/routing_snapshot.h"
#include "wagtailbend/filters/request_context.h"

namespace wagtailbend::daemon {

/// How one attempt ended, for the chooser's statistics.
struct AttemptResult
{
  std::optional<ErrorKind> error;
  Duration latency{};
  /// Value of `wb-threshold` on the reply, empty if missing.
  std::string_view threshold;
  uint64_t requestBytes = 0;
  uint64_t responseBytes = 0;
  /// The latency depends on the length of the response.
  bool streamed = false;
};

/// Selects the target of each attempt. Thread-safe.
class TargetChooser
{
public:
  virtual ~TargetChooser() = default;

  /// Returns a destination in aSnapshot, or nullptr. aTried lists the daemons
  /// of earlier attempts of the request.
  virtual const Destination* Choose(const filters::RequestContext& aContext,
                                    const RoutingSnapshot& aSnapshot,
                                    std::span<const DaemonId> aTried,
                                    TimePoint aNow,
                                    Rng& aRng) = 0;
  /// Called once for each attempt before it begins.
  virtual void OnStart(const Destination& aDestination, TimePoint aNow) = 0;
  /// Called once for each started attempt.
  virtual void OnEnd(const Destination& aDestination,
                     const AttemptResult& aResult,
                     TimePoint aNow) = 0;
};

} // namespace wagtailbend::daemon
