// What all requests of one daemon share.

#pragma once

#include <array>
#include <atomic>
#include <memory>
#include <vector>

#include "wagtailbend/admission/threshold_table.h"
#include "wagtailbend/attempts/ratio_limiter.h"
#include "wagtailbend/attempts/registry.h"
#include "wagtailbend/daemon/ingress_gate.h"
#include "wagtailbend/daemon/peer_transport.h"
#include "wagtailbend/daemon/policies.h"
#include "wagtailbend/daemon/quarantine_guard.h"
#include "wagtailbend/daemon/routing_snapshot.h"
#include "wagtailbend/filters/filter.h"

namespace wagtailbend::daemon {

inline constexpr size_t kOriginCount = 3;

/// Counters of the request path, read by the metrics page.
struct TrafficCounters
{
  std::array<std::atomic<int64_t>, kOriginCount> inFlight{};
  std::array<std::atomic<uint64_t>, kOriginCount> requests{};
  std::atomic<uint64_t> completed{ 0 };
  std::atomic<uint64_t> attempts{ 0 };
  std::atomic<uint64_t> retries{ 0 };
  std::atomic<uint64_t> hedges{ 0 };
  std::atomic<uint64_t> mismatches{ 0 };
  std::array<std::atomic<uint64_t>, kErrorKindCount> errors{};

  int64_t InFlight() const
  {
    int64_t sum = 0;
    for (const auto& count : inFlight) {
      sum += count.load();
    }
    return sum;
  }
};

/// Tells the control thread what the traffic threads observe. Thread-safe,
/// must not block.
class TrafficEvents
{
public:
  virtual ~TrafficEvents() = default;

  /// aDestination refused a connection.
  virtual void OnUnreachable(const Destination& aDestination) = 0;
};

/// Shared by all requests; immutable apart from counters and the thread-safe
/// objects it refers to. Lives longer than the gRPC servers.
struct Traffic
{
  SnapshotHolder snapshots;
  std::unique_ptr<PeerTransport> transport;
  /// By Origin.
  std::array<filters::FilterChain, kOriginCount> chains;
  /// In front of the own target.
  IngressGate gate;
  /// The requests that the own target runs.
  attempts::RequestRegistry registry;
  admission::ThresholdTable thresholds;
  attempts::RatioLimiter retryRatio{ attempts::kRetryRatioPercent,
                                     attempts::kRetryAllowance };
  std::unique_ptr<TargetChooser> chooser;
  TrafficEvents* events = nullptr;
  QuarantineGuard* quarantine = nullptr;
  Duration progressBound{};
  TrafficCounters counters;
};

} // namespace wagtailbend::daemon
