// The priority threshold of one target, moved by overload.
//
// Not thread-safe: guarded by the lock of the target's Admission.

#pragma once

#include <cstdint>

#include "wagtailbend/base/rng.h"
#include "wagtailbend/base/time.h"

namespace wagtailbend::admission {

/// Returns whether a threshold rejects a priority. Priorities a full step below
/// aThreshold are always rejected; of the priority that it falls into, the
/// fraction that it exceeds is. Not thread-safe: the caller owns aRng.
inline bool
IsBelowThreshold(uint32_t aPriority, double aThreshold, Rng& aRng)
{
  const double excess = aThreshold - static_cast<double>(aPriority);
  return excess > 0 && (excess >= 1 || UniformUnit(aRng) < excess);
}

namespace internal {

/// Rises by half a priority in each 50 ms window in which requests were
/// rejected because of the queue or the queue was never short, and falls by a
/// quarter in every other one. Rejections by the threshold itself do not raise
/// it, or it would not come down under steady excess load.
class Pressure
{
public:
  double Threshold() const { return m_threshold; }

  /// Reports that a request was rejected because of the queue's state.
  void OnOverload() { m_overloaded = true; }

  /// Closes the windows that ended before aNow. Call it at every change of the
  /// queue, before the change.
  void Roll(bool aQueueShort, TimePoint aNow);

private:
  double m_threshold = 0;
  TimePoint m_windowStart;
  bool m_overloaded = false;
  bool m_wasShort = true;
};

} // namespace internal
} // namespace wagtailbend::admission
