// Request log lines of the traffic thread, rate-limited by kind.

#pragma once

#include "wagtailbend/exchange/request_dispatcher.h"
#include "wagtailbend/mesh/frame_traffic.h"
#include "wagtailbend/observability/event_rate_limiter.h"

namespace wagtailbend::node {

/// Not thread-safe.
class TrafficLog
{
public:
  /// Logs a completed request. Failed requests and requests with a response of
  /// their target have separate rate limits.
  void LogRequest(const exchange::RequestSummary& aSummary, TimePoint aNow);
  /// Logs an attempt that ended because the target sent bytes that are no
  /// acceptable response.
  void LogInvalidResponse(const exchange::Attempt& aAttempt,
                          const http1::NoResponse& aFailure,
                          TimePoint aNow);
  /// Logs an attempt whose connection was lost after the request was sent.
  void LogLostAttempt(const exchange::Attempt& aAttempt,
                      bool aKeptConnection,
                      TimePoint aNow);
  /// Logs a decision on a request that was running when a target crashed.
  void LogSuspect(std::string_view aEvent,
                  const exchange::Attempt& aAttempt,
                  TimePoint aNow);
  /// Logs the numbers of suppressed lines, at most once per second.
  void LogSuppressedCounts(TimePoint aNow);
  /// Logs the frames sent to other regions since the last such line, at most
  /// once in 5 seconds.
  void LogPeerTraffic(const mesh::FrameTraffic& aTraffic, TimePoint aNow);

private:
  /// In lines per second. A line costs about 10 us, so that both limits
  /// together stay below 0.1% of a core.
  observability::EventRateLimiter m_respondedLimiter{ 5 };
  observability::EventRateLimiter m_failedLimiter{ 40 };
  observability::EventRateLimiter m_invalidResponseLimiter{ 5 };
  observability::EventRateLimiter m_lostLimiter{ 5 };
  observability::EventRateLimiter m_suspectLimiter{ 5 };
  TimePoint m_suppressedLoggedAt{};
  mesh::FrameCounts m_loggedFrames{};
  TimePoint m_trafficLoggedAt{};
};

} // namespace wagtailbend::node
