#include "wagtailbend/filters/trace_filter.h"

#include <chrono>

#include <fmt/format.h>

namespace wagtailbend::filters {
namespace {

using observability::TraceContext;

int64_t
UnixNanos()
{
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

std::optional<Error>
TraceFilter::OnRequest(RequestContext& aContext, TimePoint /*aNow*/)
{
  std::optional<TraceContext> caller =
    TraceContext::Parse(aContext.traceParent);
  if (caller) {
    aContext.parentSpanId = caller->spanId;
    aContext.trace = caller->Child(ThreadRng());
  } else {
    aContext.trace = TraceContext::NewRoot(ThreadRng(), m_samplePerMillion);
  }
  aContext.traceParent = aContext.trace.ToString();
  return std::nullopt;
}

void
TraceFilter::OnResponse(RequestContext& aContext,
                        const Outcome& aOutcome,
                        TimePoint aNow)
{
  if (!m_sink || !aContext.trace.sampled) {
    return;
  }
  observability::Span span;
  span.context = aContext.trace;
  span.parentSpanId = aContext.parentSpanId;
  span.name = aContext.method->path;
  span.endUnixNanos = UnixNanos();
  span.startUnixNanos = span.endUnixNanos - (aNow - aContext.arrival).count();
  span.failed = aOutcome.error.has_value();
  span.attributes = {
    { "wb.request_id", aContext.requestId.ToString() },
    { "wb.attempts", fmt::format("{}", aContext.attemptsStarted) },
    { "wb.queue_ms",
      fmt::format("{:.3f}", ToFractionalMilliseconds(aContext.queueTime)) },
  };
  if (aOutcome.error) {
    span.attributes.emplace_back("wb.error",
                                 ErrorResponseFor(aOutcome.error->kind).name);
  }
  m_sink->Export(std::move(span));
}

} // namespace wagtailbend::filters
