#include "wagtailbend/observability/trace.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace wagtailbend::observability {
namespace {

using Json = nlohmann::json;

constexpr uint64_t kMillion = 1'000'000;
// "00-", 32-digit trace ID, "-", 16-digit span ID, "-", 2-digit flags.
constexpr size_t kTraceparentLength = 55;
constexpr int kOtlpSpanKindServer = 2;
constexpr int kOtlpStatusError = 2;

uint64_t
RandomNonZero(Rng& aRng)
{
  const uint64_t value = aRng();
  return value == 0 ? 1 : value;
}

Json
Attribute(const std::string& aKey, const std::string& aValue)
{
  return { { "key", aKey }, { "value", { { "stringValue", aValue } } } };
}

Json
EncodeSpan(const Span& aSpan)
{
  Json attributes = Json::array();
  for (const auto& [key, value] : aSpan.attributes) {
    attributes.push_back(Attribute(key, value));
  }
  Json json = {
    { "traceId", aSpan.context.traceId.ToString() },
    { "spanId", ToHex(aSpan.context.spanId) },
    { "name", aSpan.name },
    { "kind", kOtlpSpanKindServer },
    { "startTimeUnixNano", fmt::format("{}", aSpan.startUnixNanos) },
    { "endTimeUnixNano", fmt::format("{}", aSpan.endUnixNanos) },
    { "attributes", std::move(attributes) },
  };
  if (aSpan.parentSpanId != 0) {
    json["parentSpanId"] = ToHex(aSpan.parentSpanId);
  }
  if (aSpan.failed) {
    json["status"] = { { "code", kOtlpStatusError } };
  }
  return json;
}

} // namespace

TraceContext
TraceContext::NewRoot(Rng& aRng, uint32_t aSamplePerMillion)
{
  TraceContext context;
  context.traceId = { aRng(), RandomNonZero(aRng) };
  context.spanId = RandomNonZero(aRng);
  context.sampled = UniformBelow(aRng, kMillion) < aSamplePerMillion;
  return context;
}

std::optional<TraceContext>
TraceContext::Parse(std::string_view aText)
{
  if (aText.size() != kTraceparentLength || !aText.starts_with("00-") ||
      aText[35] != '-' || aText[52] != '-') {
    return std::nullopt;
  }
  const auto traceId = RequestId::Parse(aText.substr(3, 32));
  const auto spanId = ParseHex(aText.substr(36, 16));
  // ParseHex requires 16 digits, so the two flag digits are padded with zeros.
  const auto flags =
    ParseHex(std::string(14, '0') + std::string(aText.substr(53)));
  if (!traceId || !spanId || !flags || *spanId == 0 ||
      *traceId == RequestId{}) {
    return std::nullopt;
  }
  return TraceContext{ *traceId, *spanId, (*flags & 1) != 0 };
}

TraceContext
TraceContext::Child(Rng& aRng) const
{
  TraceContext child = *this;
  child.spanId = RandomNonZero(aRng);
  return child;
}

std::string
TraceContext::ToString() const
{
  return fmt::format(
    "00-{}-{}-{}", traceId.ToString(), ToHex(spanId), sampled ? "01" : "00");
}

std::string
EncodeOtlpJson(std::string_view aServiceName, const std::vector<Span>& aSpans)
{
  Json spans = Json::array();
  for (const Span& span : aSpans) {
    spans.push_back(EncodeSpan(span));
  }
  const Json scope = { { "scope", { { "name", "wagtailbend" } } },
                       { "spans", std::move(spans) } };
  const Json resource = {
    { "resource",
      { { "attributes",
          Json::array(
            { Attribute("service.name", std::string(aServiceName)) }) } } },
    { "scopeSpans", Json::array({ scope }) },
  };
  const Json body = { { "resourceSpans", Json::array({ resource }) } };
  // Replaces invalid UTF-8 in attributes; by default dump() would throw, which
  // would abort the export.
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace wagtailbend::observability
