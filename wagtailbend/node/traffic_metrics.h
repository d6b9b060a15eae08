// Request, target and link metrics of the traffic thread.

#pragma once

#include <array>
#include <atomic>

#include "wagtailbend/exchange/attempt.h"
#include "wagtailbend/exchange/request_dispatcher.h"
#include "wagtailbend/exchange/target_gateway.h"
#include "wagtailbend/http1/server.h"
#include "wagtailbend/mesh/frame_traffic.h"
#include "wagtailbend/observability/metrics.h"

namespace wagtailbend::node {

/// Written by the traffic thread, read by any thread.
class TrafficMetrics
{
public:
  explicit TrafficMetrics(observability::MetricsRegistry& aRegistry);

  /// Records a completed request.
  void Record(const exchange::RequestSummary& aSummary);
  /// Updates the gauges of the local target and of the links.
  void Sample(const exchange::LoadReport& aReport,
              const exchange::GatewayCounts& aCounts,
              size_t aOpenRequests,
              size_t aLinksUp,
              size_t aMembers);
  /// Updates the gauges of the frames sent to peers.
  void SampleTraffic(const mesh::FrameTraffic& aTraffic);
  /// Updates the gauges of the connections of clients.
  void SampleClients(const http1::ServerCounts& aCounts);

private:
  using FrameGauges =
    std::array<std::atomic<double>, std::tuple_size_v<mesh::FrameCounts>>;

  void AddFrameGauges(const char* aRegion, FrameGauges& aBytes);

  observability::MetricsRegistry& m_registry;
  observability::DurationHistogram& m_clientLatency;
  observability::DurationHistogram& m_nestedLatency;
  std::atomic<double> m_running{ 0 };
  std::atomic<double> m_queued{ 0 };
  std::atomic<double> m_slots{ 0 };
  std::atomic<double> m_expectedWaitMs{ 0 };
  std::array<std::atomic<double>, gate::kPriorityClasses> m_admissionLevels{};
  std::atomic<double> m_failureShare{ 0 };
  std::atomic<double> m_openRequests{ 0 };
  std::atomic<double> m_linksUp{ 0 };
  std::atomic<double> m_members{ 0 };
  std::atomic<double> m_sent{ 0 };
  std::atomic<double> m_rejectedByTarget{ 0 };
  std::atomic<double> m_unknownOutcomes{ 0 };
  std::atomic<double> m_lost{ 0 };
  std::atomic<double> m_invalidResponses{ 0 };
  std::atomic<double> m_connects{ 0 };
  std::atomic<double> m_unsentBytes{ 0 };
  std::atomic<double> m_closedSlowReaders{ 0 };
  FrameGauges m_sameRegionBytes{};
  FrameGauges m_otherRegionBytes{};
};

} // namespace wagtailbend::node
