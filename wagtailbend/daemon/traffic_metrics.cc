#include "wagtailbend/daemon/traffic_metrics.h"

#include <fmt/format.h>

namespace wagtailbend::daemon {
namespace {

constexpr const char* kOriginNames[] = { "customer", "peer", "target" };
// In the order of schema::Kind.
constexpr const char* kClassNames[] = { "lookup", "bulk", "order" };

} // namespace

TrafficMetrics::TrafficMetrics()
  : completed(
      registry.AddCounter("wb_completed_total", "Requests answered in full."))
  , attempts(registry.AddCounter("wb_attempts_total", "Attempts started."))
  , retries(registry.AddCounter("wb_retries_total", "Retries among them."))
  , hedges(registry.AddCounter("wb_hedges_total", "Hedges among them."))
  , mismatches(registry.AddCounter("wb_answer_mismatches_total",
                                   "Responses with the ids of others."))
{
  for (size_t i = 0; i < kOriginCount; ++i) {
    const char* origin = kOriginNames[i];
    m_requests[i] = &registry.AddCounter(
      fmt::format("wb_requests_total{{origin=\"{}\"}}", origin),
      "Requests received.");
    registry.AddGauge(
      fmt::format("wb_in_flight{{origin=\"{}\"}}", origin),
      "Requests that have not ended.",
      [this, i] { return static_cast<double>(inFlight[i].load()); });
    for (size_t kind = 0; kind < kErrorKindCount; ++kind) {
      m_errors[i][kind] = &registry.AddCounter(
        fmt::format("wb_errors_total{{origin=\"{}\",kind=\"{}\"}}",
                    origin,
                    ErrorResponseFor(static_cast<ErrorKind>(kind)).name),
        "Requests that ended with an error.");
    }
  }
  for (size_t i = 0; i < kWorkClasses; ++i) {
    m_latency[i] = &registry.AddHistogram(
      fmt::format("wb_latency_seconds{{class=\"{}\"}}", kClassNames[i]),
      "Time from arrival to a complete response.");
    m_queueTime[i] = &registry.AddHistogram(
      fmt::format("wb_queue_seconds{{class=\"{}\"}}", kClassNames[i]),
      "Time in the admission queue of requests that waited.");
  }
}

void
TrafficMetrics::Observe(const IngressGate& aGate)
{
  using State = admission::AdmissionState;
  const auto add =
    [&](const char* aName, const char* aHelp, double (*aRead)(const State&)) {
      registry.AddGauge(
        aName, aHelp, [&aGate, aRead] { return aRead(aGate.State()); });
    };
  add("wb_admission_limit",
      "Learned concurrency limit of the target.",
      [](const State& aState) -> double { return aState.limit; });
  add("wb_admission_in_flight",
      "Requests that run at the target.",
      [](const State& aState) -> double { return aState.inFlight; });
  add("wb_admission_queued",
      "Requests that wait for a slot.",
      [](const State& aState) { return static_cast<double>(aState.queued); });
  add("wb_admission_threshold",
      "Priority below which the target rejects.",
      [](const State& aState) { return aState.threshold; });
}

void
TrafficMetrics::OnArrival(filters::Origin aOrigin)
{
  const auto origin = static_cast<size_t>(aOrigin);
  inFlight[origin].fetch_add(1);
  m_requests[origin]->Add(1);
}

void
TrafficMetrics::OnEnd(const filters::RequestContext& aContext,
                      const filters::Outcome& aOutcome,
                      TimePoint aNow)
{
  if (aOutcome.error) {
    const auto kind = static_cast<size_t>(aOutcome.error->kind);
    m_errors[static_cast<size_t>(aContext.origin)][kind]->Add(1);
  } else {
    completed.Add(1);
  }
  if (!aContext.method) {
    return;
  }
  const auto work = static_cast<size_t>(aContext.method->kind);
  if (!aOutcome.error) {
    m_latency[work]->Record(aNow - aContext.arrival);
  }
  if (aContext.queueTime > Duration{}) {
    m_queueTime[work]->Record(aContext.queueTime);
  }
}

int64_t
TrafficMetrics::InFlight() const
{
  int64_t sum = 0;
  for (const auto& count : inFlight) {
    sum += count.load();
  }
  return sum;
}

} // namespace wagtailbend::daemon
