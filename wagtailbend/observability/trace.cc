#include "wagtailbend/observability/trace.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace wagtailbend::observability {
namespace {

using Json = nlohmann::json;

constexpr uint64_t kMillion = 1'000'000;
// "00-" 32 digits "-" 16 digits "-" 2 digits
constexpr size_t kTraceparentLength = 55;
constexpr int kOtlpSpanKindServer = 2;
constexpr int kOtlpStatusError = 2;

uint64_t
NonZero(Rng& aRng)
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
  context.traceId = { aRng(), NonZero(aRng) };
  context.spanId = NonZero(aRng);
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
  // Two digits padded to sixteen reuse the strict parser.
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
  child.spanId = NonZero(aRng);
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
  // Invalid UTF-8 in an attribute must not abort the export.
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

} // namespace wagtailbend::observability
