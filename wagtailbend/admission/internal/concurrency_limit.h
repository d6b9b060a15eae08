// The learned concurrency limit of one target.
//
// Not thread-safe: guarded by the lock of the target's Admission.

#pragma once

#include <cstdint>

#include "wagtailbend/base/time.h"

namespace wagtailbend::admission::internal {

/// Falls while latency is above twice the baseline, and reopens in steps of a
/// twentieth of the slots. If falling does not lower the latency, concurrency
/// is not its cause (for example, a slow service below); the limit then reopens
/// and does not fall again for some seconds, because a lower limit would only
/// lose throughput.
class ConcurrencyLimit
{
public:
  /// Starts at aSlots, which is also the upper bound. Precondition: aSlots > 0.
  explicit ConcurrencyLimit(uint32_t aSlots);

  uint32_t Current() const { return static_cast<uint32_t>(m_limit); }

  /// Takes the latency of one run relative to its method's baseline, and the
  /// requests that were in flight when it ended, itself included. Returns true
  /// if the limit rose.
  bool Record(double aRatio, uint32_t aInFlight, TimePoint aNow);

private:
  bool CloseWindow(TimePoint aNow);
  bool Reopen();
  void Reduce(double aRatio, TimePoint aNow);

  double m_slots;
  double m_floor;
  double m_limit;
  double m_windowSum = 0;
  uint32_t m_windowRuns = 0;
  uint32_t m_windowPeak = 0;
  TimePoint m_windowStart;
  /// Limit and latency ratio when the limit began to fall; 0 while it does not.
  double m_limitBefore = 0;
  double m_ratioBefore = 0;
  TimePoint m_holdUntil;
};

} // namespace wagtailbend::admission::internal
