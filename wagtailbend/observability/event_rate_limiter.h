// Limits the rate of log lines for one kind of event.
//
//   EventRateLimiter limiter(20);      // at most 20 lines per second
//   if (limiter.Admit(now)) { Event("request")....Info(); }
//   limiter.TakeSuppressed();      // number for a summary line

#pragma once

#include <cstdint>
#include <utility>

#include "wagtailbend/base/time.h"

namespace wagtailbend::observability {

/// Not thread-safe.
class EventRateLimiter
{
public:
  explicit EventRateLimiter(uint32_t aMaxPerSecond)
    : m_maxPerSecond(aMaxPerSecond)
  {
  }

  /// Returns true if another line may be written in the current one-second
  /// window. Otherwise counts the line as suppressed and returns false.
  bool Admit(TimePoint aNow)
  {
    if (aNow - m_windowStart >= std::chrono::seconds(1)) {
      m_windowStart = aNow;
      m_windowCount = 0;
    }
    if (m_windowCount < m_maxPerSecond) {
      ++m_windowCount;
      return true;
    }
    ++m_suppressed;
    return false;
  }

  /// Returns the number of lines suppressed since the last call.
  uint64_t TakeSuppressed() { return std::exchange(m_suppressed, 0); }

private:
  uint32_t m_maxPerSecond;
  TimePoint m_windowStart{};
  uint32_t m_windowCount = 0;
  uint64_t m_suppressed = 0;
};

} // namespace wagtailbend::observability
