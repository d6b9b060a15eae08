// The share of new customer requests of each priority class that a service has
// room for.
//
//   levels.Count(aClass, /*aRejected=*/true);
//   levels.Roll(now);              // every kLevelPeriod
//   Publish(levels.Level(aClass)); // callers reject ranks above it at once
//
// Answers the load in which a service deep in the call graph has less capacity
// than its callers ask for. Without a level every call competes on its own, and
// a customer request that makes ten calls almost never gets all ten. Callers
// that reject a share of customer requests at the entry, chosen by rank, leave
// room for all calls of the others.

#pragma once

#include <array>
#include <cstdint>

#include "wagtailbend/base/time.h"

namespace wagtailbend::gate {

/// Priority classes; a larger priority belongs to the last class.
inline constexpr size_t kClasses = 4;

/// Time between two changes of a level. Long enough for the effect of the last
/// change to come back from callers in the other region (60 ms).
inline constexpr Duration kLevelPeriod = std::chrono::milliseconds(100);

/// A level never falls below this share, which probes for free capacity.
inline constexpr double kMinLevel = 0.03;

/// Returns the class of a priority. Thread-safe.
constexpr size_t
ClassOf(uint32_t aPriority)
{
  return aPriority < kClasses ? aPriority : kClasses - 1;
}

/// Additive increase, multiplicative decrease, once per period. Not
/// thread-safe.
class AdmitLevels
{
public:
  AdmitLevels() { m_levels.fill(1.0); }

  /// Counts a request that arrived. aRejected: it did not fit.
  void Count(size_t aClass, bool aRejected);
  /// Counts a request that was taken earlier and did not fit after all.
  void CountDropped(size_t aClass);

  /// Moves the levels if a period has passed since the last move.
  void Roll(TimePoint aNow);

  double Level(size_t aClass) const { return m_levels[aClass]; }

private:
  struct Tally
  {
    uint32_t arrived = 0;
    uint32_t rejected = 0;
  };

  std::array<double, kClasses> m_levels;
  std::array<Tally, kClasses> m_tallies{};
  TimePoint m_rolledAt{};
};

} // namespace wagtailbend::gate
