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
#include "wagtailbend/daemon/open_work.h"
#include "wagtailbend/daemon/order_parts.h"
#include "wagtailbend/daemon/peer_transport.h"
#include "wagtailbend/daemon/quarantine_guard.h"
#include "wagtailbend/daemon/routing_snapshot.h"
#include "wagtailbend/daemon/target_chooser.h"
#include "wagtailbend/daemon/traffic_metrics.h"
#include "wagtailbend/filters/filter.h"

namespace wagtailbend::daemon {

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
                                     attempts::kMinRetriesPerWindow };
  std::unique_ptr<TargetChooser> chooser;
  TrafficEvents* events = nullptr;
  /// Null: orders are passed on like other calls.
  OrderParts* orders = nullptr;
  QuarantineGuard* quarantine = nullptr;
  Duration progressBound{};
  TrafficMetrics counters;
  /// Last, so that it is destroyed first.
  OpenWork open;
};

} // namespace wagtailbend::daemon
