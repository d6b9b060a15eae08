// Request log lines of the traffic thread, rate-limited by kind.

#pragma once

#include "wagtailbend/exchange/entry.h"
#include "wagtailbend/observability/event_limiter.h"

namespace wagtailbend::node {

/// Not thread-safe.
class TrafficLog
{
public:
  /// Logs a completed request. Failed requests and requests with a response of
  /// their target have separate rate limits.
  void LogRequest(const exchange::RequestEnd& aSummary, TimePoint aNow);
  /// Logs the numbers of suppressed lines, at most once per second.
  void LogSuppressedCounts(TimePoint aNow);

private:
  /// In lines per second. A line costs about 10 us, so that both limits
  /// together stay below 0.1% of a core.
  observability::EventLimiter m_respondedLimiter{ 5 };
  observability::EventLimiter m_failedLimiter{ 40 };
  TimePoint m_suppressedLoggedAt{};
};

} // namespace wagtailbend::node
