// W3C trace context and OTLP spans, one span per hop.
//
//   auto context = TraceContext::Parse(header).value_or(
//     TraceContext::NewRoot(rng, samplePerMillion));
//   TraceContext child = context.Child(rng);
//   metadata["traceparent"] = child.ToString();

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wagtailbend/base/ids.h"
#include "wagtailbend/base/rng.h"

namespace wagtailbend::observability {

/// The identity of a span, as carried in `traceparent` (W3C Trace Context,
/// version 00).
struct TraceContext
{
  RequestId traceId;
  uint64_t spanId = 0;
  bool sampled = false;

  /// Starts a new trace, sampled with a probability of aSamplePerMillion / 1e6.
  /// Not thread-safe: the caller owns aRng.
  static TraceContext NewRoot(Rng& aRng, uint32_t aSamplePerMillion);
  /// Returns nullopt if aText is malformed or an ID is zero. Thread-safe.
  static std::optional<TraceContext> Parse(std::string_view aText);
  /// Returns a context in the same trace with a new span ID. Not thread-safe:
  /// the caller owns aRng.
  TraceContext Child(Rng& aRng) const;
  /// Returns the `traceparent` header field value.
  std::string ToString() const;

  bool operator==(const TraceContext&) const = default;
};

/// A completed span.
struct Span
{
  TraceContext context;
  uint64_t parentSpanId = 0;
  std::string name;
  /// Nanoseconds since the Unix epoch.
  int64_t startUnixNanos = 0;
  int64_t endUnixNanos = 0;
  bool failed = false;
  std::vector<std::pair<std::string, std::string>> attributes;

  bool operator==(const Span&) const = default;
};

/// Receives completed spans of sampled traces. Implementations are thread-safe
/// and never block.
class SpanSink
{
public:
  virtual ~SpanSink() = default;
  virtual void Export(Span aSpan) = 0;
};

/// Returns the OTLP/HTTP JSON body (ExportTraceServiceRequest) for aSpans.
/// Thread-safe.
std::string
EncodeOtlpJson(std::string_view aServiceName, const std::vector<Span>& aSpans);

} // namespace wagtailbend::observability
