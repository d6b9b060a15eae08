#include "wagtailbend/filters/trace_filter.h"

#include <vector>

#include <gtest/gtest.h>

namespace wagtailbend::filters {
namespace {

using observability::TraceContext;

class RecordingSink final : public observability::SpanSink
{
public:
  void Export(observability::Span aSpan) override
  {
    spans.push_back(std::move(aSpan));
  }

  std::vector<observability::Span> spans;
};

class TraceFilterTest : public ::testing::Test
{
protected:
  TraceFilterTest()
  {
    m_method.path = "/s/M";
    m_context.method = &m_method;
  }

  schema::Method m_method;
  RequestContext m_context;
  RecordingSink m_sink;
};

// Guards against traces that are not continued at a hop, and against a hop that
// reports its caller's span as its own.
TEST_F(TraceFilterTest, ContinuesTheCallersTrace)
{
  Rng rng(1);
  TraceContext caller = TraceContext::NewRoot(rng, 1'000'000);
  m_context.traceParent = caller.ToString();
  TraceFilter filter(&m_sink, 0);
  TimePoint now{ std::chrono::seconds(5) };
  m_context.arrival = now;
  ASSERT_FALSE(filter.OnRequest(m_context, now).has_value());
  auto propagated = TraceContext::Parse(m_context.traceParent);
  ASSERT_TRUE(propagated.has_value());
  EXPECT_EQ(propagated->traceId, caller.traceId);
  EXPECT_NE(propagated->spanId, caller.spanId);
  filter.OnResponse(m_context,
                    Outcome{ Error{ ErrorKind::kOverloaded, "" } },
                    now + std::chrono::milliseconds(3));
  ASSERT_EQ(m_sink.spans.size(), 1U);
  const observability::Span& span = m_sink.spans[0];
  EXPECT_EQ(span.context, *propagated);
  EXPECT_EQ(span.parentSpanId, caller.spanId);
  EXPECT_EQ(span.endUnixNanos - span.startUnixNanos, 3'000'000);
  EXPECT_TRUE(span.failed);
}

// Guards against the export of spans of traces that are not sampled.
TEST_F(TraceFilterTest, StartsAnUnsampledTrace)
{
  m_context.traceParent = "not a trace";
  TraceFilter filter(&m_sink, 0);
  filter.OnRequest(m_context, TimePoint{});
  EXPECT_TRUE(TraceContext::Parse(m_context.traceParent).has_value());
  filter.OnResponse(m_context, Outcome{}, TimePoint{});
  EXPECT_TRUE(m_sink.spans.empty());
}

} // namespace
} // namespace wagtailbend::filters
