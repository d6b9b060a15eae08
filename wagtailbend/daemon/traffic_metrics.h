// The metrics of the request path.
//
//   TrafficMetrics metrics;
//   metrics.attempts.Add(1);
//   std::string text = metrics.registry.Text();

#pragma once

#include <array>
#include <atomic>

#include "wagtailbend/daemon/ingress_gate.h"
#include "wagtailbend/filters/request_context.h"
#include "wagtailbend/observability/metrics.h"

namespace wagtailbend::daemon {

inline constexpr size_t kOriginCount = 3;

/// Thread-safe.
class TrafficMetrics
{
public:
  TrafficMetrics();
  TrafficMetrics(const TrafficMetrics&) = delete;
  TrafficMetrics& operator=(const TrafficMetrics&) = delete;

  /// Adds the state of aGate, which must live as long as the metrics are read.
  void Observe(const IngressGate& aGate);

  void OnArrival(filters::Origin aOrigin);
  /// Counts a request that has ended. aContext.method may be null.
  void OnEnd(const filters::RequestContext& aContext,
             const filters::Outcome& aOutcome,
             TimePoint aNow);
  /// Requests that have arrived and not ended.
  int64_t InFlight() const;

  observability::MetricsRegistry registry;
  /// By Origin.
  std::array<std::atomic<int64_t>, kOriginCount> inFlight{};
  observability::Counter& completed;
  observability::Counter& attempts;
  observability::Counter& retries;
  observability::Counter& hedges;
  observability::Counter& mismatches;

private:
  using Counter = observability::Counter;
  using Histogram = observability::DurationHistogram;
  // Lookup, bulk and order.
  static constexpr size_t kWorkClasses = 3;

  std::array<Counter*, kOriginCount> m_requests{};
  std::array<std::array<Counter*, kErrorKindCount>, kOriginCount> m_errors{};
  std::array<Histogram*, kWorkClasses> m_latency{};
  std::array<Histogram*, kWorkClasses> m_queueTime{};
};

} // namespace wagtailbend::daemon
