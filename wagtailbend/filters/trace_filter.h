// Adds a span for this hop to the caller's trace, or starts a new trace.
//
//   chain.Add(std::make_unique<TraceFilter>(&exporter, 10'000));

#pragma once

#include "wagtailbend/filters/filter.h"
#include "wagtailbend/observability/trace.h"

namespace wagtailbend::filters {

/// Replaces RequestContext::traceParent with the span of this hop, which is
/// sent to callees. Exports the span when the request ends if the trace is
/// sampled.
class TraceFilter final : public Filter
{
public:
  /// aSink: destination of the spans. If null, spans are not exported;
  /// otherwise it must outlive the filter.
  TraceFilter(observability::SpanSink* aSink, uint32_t aSamplePerMillion)
    : m_sink(aSink)
    , m_samplePerMillion(aSamplePerMillion)
  {
  }

  std::optional<Error> OnRequest(RequestContext& aContext,
                                 TimePoint aNow) override;
  void OnResponse(RequestContext& aContext,
                  const Outcome& aOutcome,
                  TimePoint aNow) override;

private:
  observability::SpanSink* m_sink;
  uint32_t m_samplePerMillion;
};

} // namespace wagtailbend::filters
