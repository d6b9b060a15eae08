// Log lines of the traffic thread, bounded per second and kind.

#pragma once

#include "wagtailbend/exchange/entry.h"
#include "wagtailbend/observability/event_limiter.h"

namespace wagtailbend::node {

/// Not thread-safe.
class TrafficLog
{
public:
  /// Writes a line for a request that did not get its target's answer, and for
  /// a sample of the others.
  void RequestEnded(const exchange::RequestEnd& aEnd, TimePoint aNow);
  /// Writes how many lines were left out, once a second at most.
  void Summarize(TimePoint aNow);

private:
  /// Lines per second. A line costs about 10 us, so that both together stay
  /// below 0.1% of a core.
  observability::EventLimiter m_answered{ 5 };
  observability::EventLimiter m_failed{ 40 };
  TimePoint m_summarizedAt{};
};

} // namespace wagtailbend::node
