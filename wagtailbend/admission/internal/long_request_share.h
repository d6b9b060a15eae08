// Limits the share of a target's concurrency that long requests may use.
//
//   LongRequestShare share;
//   share.Record(1.3, longInFlight, limit, now);
//   share.Cap(limit);

#pragma once

#include <cstdint>

#include "wagtailbend/base/time.h"

namespace wagtailbend::admission::internal {

/// Handles long requests on a target that processes fewer requests concurrently
/// than it declares. They slow short requests by a third to a half, which is
/// too little for the concurrency limit to decrease.
///
/// The share starts at a quarter. It decreases while short requests are slower
/// than their baseline and earlier decreases have taken effect, which takes
/// time because running requests are not aborted. It increases while short
/// requests run at their baseline. If the smallest share does not help, long
/// requests are not the cause: the share returns to a quarter and stays there
/// for some seconds.
///
/// Not thread-safe: guarded by the lock of the target's Admission.
class LongRequestShare
{
public:
  /// Returns how many of aLimit concurrent requests may be long, at least 1.
  uint32_t Cap(uint32_t aLimit) const;

  /// Records the latency of one short run relative to its method's baseline,
  /// the number of long requests in flight when it ended, and the limit in
  /// force.
  void Record(double aRatio,
              uint32_t aLongInFlight,
              uint32_t aLimit,
              TimePoint aNow);

private:
  void CloseWindow(uint32_t aLongInFlight, uint32_t aLimit, TimePoint aNow);
  void Decrease(uint32_t aLongInFlight, uint32_t aLimit, TimePoint aNow);

  double m_share = 0.25;
  double m_windowRatioSum = 0;
  uint32_t m_windowRuns = 0;
  TimePoint m_windowStart;
  TimePoint m_lastIncrease;
  /// The share is not decreased before this time.
  TimePoint m_noDecreaseUntil;
};

} // namespace wagtailbend::admission::internal
