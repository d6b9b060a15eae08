// Bounds the log lines of one kind of event.
//
//   EventLimiter limiter(20);      // lines per second
//   if (limiter.Admit(now)) { Event("request")....Info(); }
//   limiter.TakeSuppressed();      // for a summary line

#pragma once

#include <cstdint>
#include <utility>

#include "wagtailbend/base/time.h"

namespace wagtailbend::observability {

/// Not thread-safe.
class EventLimiter
{
public:
  explicit EventLimiter(uint32_t aPerSecond)
    : m_perSecond(aPerSecond)
  {
  }

  /// Returns true if another line may be written in the current second.
  bool Admit(TimePoint aNow)
  {
    if (aNow - m_since >= std::chrono::seconds(1)) {
      m_since = aNow;
      m_count = 0;
    }
    if (m_count < m_perSecond) {
      ++m_count;
      return true;
    }
    ++m_suppressed;
    return false;
  }

  /// Returns the lines left out since the last call.
  uint64_t TakeSuppressed() { return std::exchange(m_suppressed, 0); }

private:
  uint32_t m_perSecond;
  TimePoint m_since{};
  uint32_t m_count = 0;
  uint64_t m_suppressed = 0;
};

} // namespace wagtailbend::observability
