// Continues the caller's trace, or starts one, with a span for this hop.
//
//   chain.Add(std::make_unique<TraceFilter>(&exporter, 10'000));

#pragma once

#include "wagtailbend/filters/filter.h"
#include "wagtailbend/observability/trace.h"

namespace wagtailbend::filters {

/// Replaces RequestContext::traceParent by the span of this hop, which callees
/// receive, and exports the span of a sampled trace when the request ends.
class TraceFilter final : public Filter
{
public:
  /// aSink may be null: spans are not exported. It outlives the filter.
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
