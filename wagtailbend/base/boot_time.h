// A clock that keeps running while the VM is suspended.
//
//   const TimePoint deadline = BootNow() + remaining;

#pragma once

#include <ctime>

#include "wagtailbend/base/time.h"

namespace wagtailbend {

/// Returns the time since boot, including time in suspension (CLOCK_BOOTTIME).
/// MonotonicNow stops during a suspension, so a deadline on that clock would
/// expire late. Values of the two clocks must not be mixed. Thread-safe.
inline TimePoint
BootNow()
{
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

} // namespace wagtailbend
