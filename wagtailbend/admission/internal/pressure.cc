#include "wagtailbend/admission/internal/pressure.h"

#include <algorithm>

#include "wagtailbend/schema/schema.h"

namespace wagtailbend::admission::internal {
namespace {

constexpr Duration kWindow = std::chrono::milliseconds(50);
// A first step of the largest size made the threshold of a nested target swing:
// queued calls of low priority expire, which counts as overload, also while the
// queue is close to its target.
constexpr double kFirstStep = 0.05;
constexpr double kLargestStep = 0.25;
// Priorities per second of drain time, for its distance from the target in one
// window and for its change. The queue integrates the excess of arrivals, so
// with a whole load at one priority at 3x overload (gain 3) the loop is s^2 +
// 12 s + 12, and with a tenth of that s^2 + 1.2 s + 1.2: damped in both cases,
// and slower than the 50 ms in which replies tell the threshold.
constexpr double kDistanceGain = 0.2;
constexpr double kChangeGain = 4.0;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

double
Pressure::Step(Duration aDrain, bool aIdle)
{
  if (aIdle) {
    m_streak = std::min(m_streak, 0) - 1;
  } else if (m_overloaded && aDrain > m_target) {
    m_streak = std::max(m_streak, 0) + 1;
  } else {
    m_streak = 0;
    return std::clamp(kDistanceGain * Seconds(aDrain - m_target) +
                        kChangeGain * Seconds(aDrain - m_drainBefore),
                      -kLargestStep,
                      kLargestStep);
  }
  return std::clamp(kFirstStep * m_streak, -kLargestStep, kLargestStep);
}

void
Pressure::Roll(Duration aDrain, bool aIdle, TimePoint aNow)
{
  if (aNow - m_windowStart < kWindow) {
    return;
  }
  // Windows without any event were idle.
  const auto windows = static_cast<double>((aNow - m_windowStart) / kWindow);
  const double step =
    Step(aDrain, aIdle) - kLargestStep * (aIdle ? windows - 1 : 0);
  m_threshold =
    std::clamp<double>(m_threshold + step, 0.0, schema::kMaxPriority);
  m_windowStart = aNow;
  m_drainBefore = aDrain;
  m_overloaded = false;
}

} // namespace wagtailbend::admission::internal
