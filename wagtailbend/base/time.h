// Time types shared by all modules. Decision logic receives the current time
// as an argument and never reads a clock itself.
//
//   Duration timeout = std::chrono::milliseconds(40);
//   TimePoint deadline = aNow + timeout;

#pragma once

#include <chrono>
#include <cstdint>

namespace wagtailbend {

using Duration = std::chrono::nanoseconds;

/// A point in time on the monotonic clock of this process. Not comparable
/// across processes.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Returns the current monotonic time. Thread-safe.
inline TimePoint
MonotonicNow()
{
  return std::chrono::time_point_cast<Duration>(
    std::chrono::steady_clock::now());
}

/// Returns milliseconds since the Unix epoch. Used to order successive
/// processes that have the same name. Thread-safe.
inline uint64_t
UnixMilliseconds()
{
  return static_cast<uint64_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch())
      .count());
}

/// Converts to whole milliseconds, rounding toward zero.
constexpr int64_t
ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration)
    .count();
}

/// Converts to fractional milliseconds.
constexpr double
ToFractionalMilliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

/// Multiplies a duration, rounding toward zero.
constexpr Duration
Scale(Duration aDuration, double aFactor)
{
  return Duration(
    static_cast<int64_t>(static_cast<double>(aDuration.count()) * aFactor));
}

} // namespace wagtailbend
