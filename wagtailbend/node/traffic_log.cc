#include "wagtailbend/node/traffic_log.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "wagtailbend/base/ids.h"
#include "wagtailbend/observability/event_log.h"

namespace wagtailbend::node {

namespace {

constexpr Duration kTrafficLogInterval = std::chrono::seconds(5);

/// Returns the rejections as "ADDRESS REASON, ADDRESS REASON".
std::string
FormatRejections(const std::vector<exchange::Rejection>& aRejections)
{
  std::string text;
  for (const exchange::Rejection& rejection : aRejections) {
    text += fmt::format(
      "{}{} {}", text.empty() ? "" : ", ", rejection.address, rejection.reason);
  }
  return text;
}

} // namespace

void
TrafficLog::LogRequest(const exchange::RequestSummary& aSummary, TimePoint aNow)
{
  const bool failed = aSummary.error.has_value() || aSummary.status >= 500;
  if (!(failed ? m_failedLimiter : m_respondedLimiter).Admit(aNow)) {
    return;
  }
  observability::Event event(failed ? "request_failed" : "request_answered");
  event.Add("request", aSummary.requestId)
    .Add("path", aSummary.path)
    .Add("route", aSummary.route)
    .Add("service", aSummary.service)
    .Add("status", aSummary.status)
    .Add("origin", aSummary.nested ? "target" : "client")
    .Add("took_ms", ToMilliseconds(aSummary.duration))
    .Add("targets", fmt::format("{}", fmt::join(aSummary.targets, ",")))
    .Add("rejections", aSummary.rejections.size())
    .Add("returned", aSummary.isRetryAfterRejection ? "true" : "false")
    .Add("rank", aSummary.rank)
    .Add("admit_level", fmt::format("{:.2f}", aSummary.admissionLevel))
    .Add("config", aSummary.configVersion);
  if (!aSummary.rejections.empty()) {
    event.Add("rejected_by", FormatRejections(aSummary.rejections));
  }
  if (aSummary.error) {
    event.Add("error", ErrorResponseFor(*aSummary.error).name)
      .Add("reason",
           aSummary.clientDisconnected ? "client closed its connection"
                                       : aSummary.detail);
  }
  event.Info();
}

void
TrafficLog::LogInvalidResponse(const exchange::Attempt& aAttempt,
                               const http1::NoResponse& aFailure,
                               TimePoint aNow)
{
  if (!m_invalidResponseLimiter.Admit(aNow)) {
    return;
  }
  observability::Event("target_invalid_response")
    .Add("request", aAttempt.requestId)
    .Add("route", aAttempt.route)
    .Add("reason", http1::ToString(aFailure.reason))
    .Add("received_bytes", aFailure.receivedBytes)
    .Warn();
}

void
TrafficLog::LogLostAttempt(const exchange::Attempt& aAttempt,
                           bool aKeptConnection,
                           TimePoint aNow)
{
  if (!m_lostLimiter.Admit(aNow)) {
    return;
  }
  observability::Event("attempt_lost")
    .Add("request", aAttempt.requestId)
    .Add("path", aAttempt.message->target)
    .Add("fingerprint", ToHex(aAttempt.fingerprint))
    .Add("connection", aKeptConnection ? "kept" : "new")
    .Info();
}

void
TrafficLog::LogSuspect(std::string_view aEvent,
                       const exchange::Attempt& aAttempt,
                       TimePoint aNow)
{
  if (!m_suspectLimiter.Admit(aNow)) {
    return;
  }
  observability::Event(aEvent)
    .Add("request", aAttempt.requestId)
    .Add("path", aAttempt.message->target)
    .Add("route", aAttempt.route)
    .Add("fingerprint", ToHex(aAttempt.fingerprint))
    .Warn();
}

void
TrafficLog::LogSuppressedCounts(TimePoint aNow)
{
  if (aNow - m_suppressedLoggedAt < std::chrono::seconds(1)) {
    return;
  }
  m_suppressedLoggedAt = aNow;
  const uint64_t responded = m_respondedLimiter.TakeSuppressed();
  const uint64_t failed = m_failedLimiter.TakeSuppressed();
  const uint64_t invalid = m_invalidResponseLimiter.TakeSuppressed();
  const uint64_t lost = m_lostLimiter.TakeSuppressed();
  const uint64_t suspects = m_suspectLimiter.TakeSuppressed();
  if (responded + failed + invalid + lost + suspects == 0) {
    return;
  }
  observability::Event("request_lines_left_out")
    .Add("answered", responded)
    .Add("failed", failed)
    .Add("invalid", invalid)
    .Add("lost", lost)
    .Add("suspects", suspects)
    .Info();
}

void
TrafficLog::LogPeerTraffic(const mesh::FrameTraffic& aTraffic, TimePoint aNow)
{
  if (aNow - m_trafficLoggedAt < kTrafficLogInterval) {
    return;
  }
  m_trafficLoggedAt = aNow;
  observability::Event event("sent_to_other_regions");
  for (size_t kind = 1; kind < m_loggedFrames.size(); ++kind) {
    const mesh::FrameCount& now = aTraffic.otherRegion[kind];
    const mesh::FrameCount& logged = m_loggedFrames[kind];
    if (now == logged) {
      continue;
    }
    event.Add(mesh::FrameKindName(kind),
              fmt::format(
                "{}/{}", now.frames - logged.frames, now.bytes - logged.bytes));
  }
  if (m_loggedFrames != aTraffic.otherRegion) {
    event.Info();
  }
  m_loggedFrames = aTraffic.otherRegion;
}

} // namespace wagtailbend::node
