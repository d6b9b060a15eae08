#include "wagtailbend/node/traffic_metrics.h"

#include <fmt/format.h>

namespace wagtailbend::node {

TrafficMetrics::TrafficMetrics(observability::MetricsRegistry& aRegistry)
  : m_registry(aRegistry)
  , m_clientLatency(
      aRegistry.AddHistogram("wb_client_latency_seconds",
                             "Arrival to answer of clients' requests."))
  , m_nestedLatency(
      aRegistry.AddHistogram("wb_nested_latency_seconds",
                             "Arrival to answer of the target's calls."))
{
  struct Gauge
  {
    const char* name;
    const char* help;
    std::atomic<double>* value;
  };
  const Gauge gauges[] = {
    { "wb_target_running", "Requests that run at the target.", &m_running },
    { "wb_target_queued", "Requests that wait for the target.", &m_queued },
    { "wb_target_slots", "Requests that the target may run.", &m_slots },
    { "wb_target_wait_ms",
      "Expected wait of a new request.",
      &m_expectedWaitMs },
    { "wb_target_failure_share",
      "Share of runs that failed lately.",
      &m_failureShare },
    { "wb_target_sent", "Requests sent to the target.", &m_sent },
    { "wb_target_rejected",
      "Requests that the target rejected.",
      &m_rejectedByTarget },
    { "wb_target_unknown",
      "Requests with unknown outcome.",
      &m_unknownOutcomes },
    { "wb_target_lost",
      "Times that a connection was lost after the request was sent.",
      &m_lost },
    { "wb_target_invalid_responses",
      "Attempts that ended because of invalid response bytes.",
      &m_invalidResponses },
    { "wb_target_connects", "Connections opened to the target.", &m_connects },
    { "wb_open_requests", "Requests not answered yet.", &m_openRequests },
    { "wb_client_unsent_bytes",
      "Responses that clients have not read completely.",
      &m_unsentBytes },
    { "wb_client_slow_readers_closed",
      "Connections closed because slow readers took up too much memory.",
      &m_closedSlowReaders },
    { "wb_links_up", "Links to other daemons.", &m_linksUp },
    { "wb_members", "Other daemons known.", &m_members },
  };
  for (const Gauge& gauge : gauges) {
    aRegistry.AddGauge(
      gauge.name, gauge.help, [value = gauge.value] { return value->load(); });
  }
  for (size_t i = 0; i < gate::kPriorityClasses; ++i) {
    aRegistry.AddGauge(fmt::format("wb_admit_level{{class=\"{}\"}}", i),
                       "Share of new requests that there is room for.",
                       [this, i] { return m_admissionLevels[i].load(); });
  }
  AddFrameGauges("same", m_sameRegionBytes);
  AddFrameGauges("other", m_otherRegionBytes);
}

void
TrafficMetrics::AddFrameGauges(const char* aRegion, FrameGauges& aBytes)
{
  for (size_t kind = 1; kind < aBytes.size(); ++kind) {
    m_registry.AddGauge(
      fmt::format("wb_peer_sent_bytes{{region=\"{}\",kind=\"{}\"}}",
                  aRegion,
                  mesh::FrameKindName(kind)),
      "Bytes of frames sent to other daemons.",
      [&aBytes, kind] { return aBytes[kind].load(); });
  }
}

void
TrafficMetrics::SampleClients(const http1::ServerCounts& aCounts)
{
  m_unsentBytes = static_cast<double>(aCounts.unsentBytes);
  m_closedSlowReaders = static_cast<double>(aCounts.closedSlowReaders);
}

void
TrafficMetrics::SampleTraffic(const mesh::FrameTraffic& aTraffic)
{
  for (size_t kind = 1; kind < aTraffic.sameRegion.size(); ++kind) {
    m_sameRegionBytes[kind] =
      static_cast<double>(aTraffic.sameRegion[kind].bytes);
    m_otherRegionBytes[kind] =
      static_cast<double>(aTraffic.otherRegion[kind].bytes);
  }
}

void
TrafficMetrics::Record(const exchange::RequestSummary& aSummary)
{
  const char* origin = aSummary.nested ? "target" : "client";
  m_registry
    .AddCounter(fmt::format("wb_answers_total{{origin=\"{}\",status=\"{}\"}}",
                            origin,
                            aSummary.status),
                "Answers by status; status 0: the client had gone.")
    .Add(1);
  if (aSummary.error) {
    m_registry
      .AddCounter(fmt::format("wb_request_errors_total{{origin=\"{}\","
                              "kind=\"{}\"}}",
                              origin,
                              ErrorResponseFor(*aSummary.error).name),
                  "Requests that ended with an error kind.")
      .Add(1);
  }
  (aSummary.nested ? m_nestedLatency : m_clientLatency)
    .Record(aSummary.duration);
}

void
TrafficMetrics::Sample(const exchange::LoadReport& aReport,
                       const exchange::GatewayCounts& aCounts,
                       size_t aOpenRequests,
                       size_t aLinksUp,
                       size_t aMembers)
{
  m_running = aReport.running;
  m_queued = aReport.queued;
  m_slots = aReport.slots;
  m_expectedWaitMs = ToFractionalMilliseconds(aReport.expectedWait);
  for (size_t i = 0; i < gate::kPriorityClasses; ++i) {
    m_admissionLevels[i] = aReport.admissionLevels[i];
  }
  m_failureShare = aReport.failureShare;
  m_openRequests = static_cast<double>(aOpenRequests);
  m_linksUp = static_cast<double>(aLinksUp);
  m_members = static_cast<double>(aMembers);
  m_sent = static_cast<double>(aCounts.sent);
  m_rejectedByTarget = static_cast<double>(aCounts.rejectedByTarget);
  m_unknownOutcomes = static_cast<double>(aCounts.unknown);
  m_lost = static_cast<double>(aCounts.lost);
  m_invalidResponses = static_cast<double>(aCounts.invalidResponses);
  m_connects = static_cast<double>(aCounts.connects);
}

} // namespace wagtailbend::node
