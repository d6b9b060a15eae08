// Adaptive concurrency limit of one target.
//
// Not thread-safe: guarded by the lock of the target's Admission.

#pragma once

#include <cstdint>

#include "wagtailbend/base/time.h"

namespace wagtailbend::admission::internal {

/// Decreases while latency is above twice the baseline, and increases in steps
/// of a twentieth of the slots. If a decrease does not lower the latency,
/// concurrency is not the cause (for example, a downstream service is slow).
/// The limit then increases again and is not decreased for some seconds,
/// because a lower limit would only reduce throughput.
class ConcurrencyLimit
{
public:
  /// The limit starts at aSlots, which is also its upper bound. Precondition:
  /// aSlots > 0.
  explicit ConcurrencyLimit(uint32_t aSlots);

  uint32_t Current() const { return static_cast<uint32_t>(m_limit); }

  /// Records the latency of one run relative to its method's baseline, and the
  /// number of requests in flight when it ended, including itself. Returns true
  /// if the limit increased.
  bool Record(double aRatio, uint32_t aInFlight, TimePoint aNow);

private:
  bool CloseWindow(TimePoint aNow);
  bool Increase();
  void Decrease(double aRatio, TimePoint aNow);

  double m_slots;
  double m_minLimit;
  double m_limit;
  double m_windowRatioSum = 0;
  uint32_t m_windowRuns = 0;
  uint32_t m_windowPeakInFlight = 0;
  TimePoint m_windowStart;
  /// Limit and latency ratio when the current series of decreases began; 0 if
  /// there is none.
  double m_limitBeforeDecrease = 0;
  double m_ratioBeforeDecrease = 0;
  /// The limit is not decreased before this time.
  TimePoint m_noDecreaseUntil;
};

} // namespace wagtailbend::admission::internal
