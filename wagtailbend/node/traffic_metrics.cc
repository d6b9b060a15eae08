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
  struct Row
  {
    const char* name;
    const char* help;
    std::atomic<double>* value;
  };
  const Row rows[] = {
    { "wb_target_running", "Requests that run at the target.", &m_running },
    { "wb_target_queued", "Requests that wait for the target.", &m_queued },
    { "wb_target_slots", "Requests that the target may run.", &m_slots },
    { "wb_target_wait_ms", "Expected wait of a new request.", &m_waitMs },
    { "wb_target_failure_share",
      "Share of runs that failed lately.",
      &m_failureShare },
    { "wb_target_sent", "Requests sent to the target.", &m_sent },
    { "wb_target_rejected",
      "Requests that the target rejected.",
      &m_rejectedByTarget },
    { "wb_target_unknown", "Requests with unknown outcome.", &m_unknown },
    { "wb_target_connects", "Connections opened to the target.", &m_connects },
    { "wb_open_requests", "Requests not answered yet.", &m_openRequests },
    { "wb_links_up", "Links to other daemons.", &m_linksUp },
    { "wb_members", "Other daemons known.", &m_members },
  };
  for (const Row& row : rows) {
    aRegistry.AddGauge(
      row.name, row.help, [value = row.value] { return value->load(); });
  }
  for (size_t i = 0; i < gate::kClasses; ++i) {
    aRegistry.AddGauge(fmt::format("wb_admit_level{{class=\"{}\"}}", i),
                       "Share of new requests that there is room for.",
                       [this, i] { return m_admit[i].load(); });
  }
}

void
TrafficMetrics::Record(const exchange::RequestEnd& aEnd)
{
  const char* origin = aEnd.nested ? "target" : "client";
  m_registry
    .AddCounter(fmt::format("wb_answers_total{{origin=\"{}\",status=\"{}\"}}",
                            origin,
                            aEnd.status),
                "Answers by status; status 0: the client had gone.")
    .Add(1);
  if (aEnd.error) {
    m_registry
      .AddCounter(fmt::format("wb_request_errors_total{{origin=\"{}\","
                              "kind=\"{}\"}}",
                              origin,
                              AnswerFor(*aEnd.error).name),
                  "Requests that ended with an error kind.")
      .Add(1);
  }
  (aEnd.nested ? m_nestedLatency : m_clientLatency).Record(aEnd.took);
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
  m_waitMs = ToFractionalMilliseconds(aReport.wait);
  for (size_t i = 0; i < gate::kClasses; ++i) {
    m_admit[i] = aReport.admit[i];
  }
  m_failureShare = aReport.failureShare;
  m_openRequests = static_cast<double>(aOpenRequests);
  m_linksUp = static_cast<double>(aLinksUp);
  m_members = static_cast<double>(aMembers);
  m_sent = static_cast<double>(aCounts.sent);
  m_rejectedByTarget = static_cast<double>(aCounts.rejectedByTarget);
  m_unknown = static_cast<double>(aCounts.unknown);
  m_connects = static_cast<double>(aCounts.connects);
}

} // namespace wagtailbend::node
