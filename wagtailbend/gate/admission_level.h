// Admission levels: the share of new customer requests of each priority class
// that a service has capacity for.
//
//   levels.RecordArrival(priorityClass, /*aRejected=*/true);
//   levels.Update(now);                   // every kLevelUpdatePeriod
//   Publish(levels.Level(priorityClass)); // callers reject ranks above it
//
// For overload of a service deep in the call graph. Without an admission level
// its calls compete independently, and a customer request that makes ten calls
// almost never gets all ten. When callers instead reject a share of customer
// requests on arrival, chosen by rank, the capacity suffices for all calls of
// the admitted requests.

#pragma once

#include <array>
#include <cstdint>

#include "wagtailbend/base/time.h"

namespace wagtailbend::gate {

/// Number of priority classes. Larger priorities belong to the last class.
inline constexpr size_t kPriorityClasses = 4;

/// Time between two updates of the levels. Longer than the 60 ms after which an
/// update takes effect at callers in the other region, so that each update sees
/// the effect of the previous one.
inline constexpr Duration kLevelUpdatePeriod = std::chrono::milliseconds(100);

/// Lower bound of a level. The requests still admitted reveal when capacity
/// becomes available again.
inline constexpr double kMinAdmissionLevel = 0.03;

/// Returns the priority class of a priority. Thread-safe.
constexpr size_t
PriorityClassOf(uint32_t aPriority)
{
  return aPriority < kPriorityClasses ? aPriority : kPriorityClasses - 1;
}

/// Once per period, raises the level of each class by a factor and a constant,
/// or lowers it by a factor that depends on its share of rejections. Not
/// thread-safe.
class AdmissionLevels
{
public:
  AdmissionLevels() { m_levels.fill(1.0); }

  /// Counts an arriving request; aRejected if it could not be admitted.
  void RecordArrival(size_t aClass, bool aRejected);
  /// Counts a request that was queued on arrival and rejected later.
  void RecordDropped(size_t aClass);

  /// Updates the levels if a period has passed since the last update.
  void Update(TimePoint aNow);

  double Level(size_t aClass) const { return m_levels[aClass]; }

private:
  struct RequestCounts
  {
    uint32_t arrived = 0;
    uint32_t rejected = 0;
  };

  std::array<double, kPriorityClasses> m_levels;
  std::array<RequestCounts, kPriorityClasses> m_counts{};
  TimePoint m_updatedAt{};
};

} // namespace wagtailbend::gate
