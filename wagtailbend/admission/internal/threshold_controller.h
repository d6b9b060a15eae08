// Controls the priority threshold of one target.
//
// Not thread-safe: guarded by the lock of the target's Admission.

#pragma once

#include <cstdint>

#include "wagtailbend/base/rng.h"
#include "wagtailbend/base/time.h"

namespace wagtailbend::admission {

/// Returns whether aThreshold rejects a request of aPriority. Priorities at
/// least 1 below aThreshold are always rejected. If aThreshold exceeds a
/// priority by a fraction, that fraction of its requests is rejected at random.
/// Not thread-safe: the caller owns aRng.
inline bool
ThresholdRejects(uint32_t aPriority, double aThreshold, Rng& aRng)
{
  const double excess = aThreshold - static_cast<double>(aPriority);
  return excess > 0 && (excess >= 1 || UniformUnit(aRng) < excess);
}

namespace internal {

/// Keeps the time that the queue would take to drain near a target, in windows
/// of 50 ms.
///
/// Between an idle target and a full queue the threshold is set by a PI
/// controller: it changes with the drain time's distance from its target and
/// with the change of the drain time. With fixed steps the threshold oscillated
/// by a whole priority, which lost a sixth of the capacity.
///
/// In consecutive windows with rejections because of a long queue the threshold
/// rises, and in consecutive idle windows it falls, in growing steps, so that
/// priorities that no request has are passed quickly. Rejections by the
/// threshold itself do not raise it; otherwise it would never fall under steady
/// overload.
class ThresholdController
{
public:
  /// aTargetDrainTime: target drain time of the queue.
  explicit ThresholdController(Duration aTargetDrainTime)
    : m_targetDrainTime(aTargetDrainTime)
  {
  }

  double Threshold() const { return m_threshold; }

  /// Records that a request was rejected because of the queue's state.
  void RecordOverload() { m_overloaded = true; }

  /// Closes the windows that ended before aNow. Must be called before every
  /// change of the queue. aDrainTime: estimated drain time of the queue. aIdle:
  /// a slot is free and the queue is empty.
  void Update(Duration aDrainTime, bool aIdle, TimePoint aNow);

private:
  double ComputeStep(Duration aDrainTime, bool aIdle);

  Duration m_targetDrainTime;
  double m_threshold = 0;
  TimePoint m_windowStart;
  Duration m_previousDrainTime{};
  bool m_overloaded = false;
  /// Number of consecutive overloaded windows, or of idle ones if negative.
  int m_consecutiveWindows = 0;
};

} // namespace internal
} // namespace wagtailbend::admission
