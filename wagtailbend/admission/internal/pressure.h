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

/// Controls the time that the queue would take to drain towards a target, in
/// windows of 50 ms. Between an idle target and a full queue the threshold
/// moves with the drain time's distance from its target and with its change:
/// with fixed steps it swung by a whole priority and a sixth of the capacity
/// was lost. In consecutive windows with rejections because of a long queue it
/// rises, and in consecutive idle windows it falls, by steps that grow, so that
/// the priorities that no request has are crossed fast. Rejections by the
/// threshold itself do not raise it, or it would not come down under steady
/// excess load.
class Pressure
{
public:
  /// aTarget: drain time of the queue to aim at.
  explicit Pressure(Duration aTarget)
    : m_target(aTarget)
  {
  }

  double Threshold() const { return m_threshold; }

  /// Reports that a request was rejected because of the queue's state.
  void OnOverload() { m_overloaded = true; }

  /// Closes the windows that ended before aNow. Call it at every change of the
  /// queue, before the change. aIdle: a slot is free and the queue is empty.
  void Roll(Duration aDrain, bool aIdle, TimePoint aNow);

private:
  double Step(Duration aDrain, bool aIdle);

  Duration m_target;
  double m_threshold = 0;
  TimePoint m_windowStart;
  Duration m_drainBefore{};
  bool m_overloaded = false;
  /// Consecutive overloaded windows, or idle ones if negative.
  int m_streak = 0;
};

} // namespace internal
} // namespace wagtailbend::admission
