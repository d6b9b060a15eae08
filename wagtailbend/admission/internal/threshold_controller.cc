#include "wagtailbend/admission/internal/threshold_controller.h"

#include <algorithm>

#include "wagtailbend/schema/schema.h"

namespace wagtailbend::admission::internal {
namespace {

constexpr Duration kWindow = std::chrono::milliseconds(50);
// Starting with the maximum step made the threshold of a nested target
// oscillate: queued calls of low priority expire, which counts as overload even
// while the queue is close to its target drain time.
constexpr double kInitialStep = 0.05;
constexpr double kMaxStep = 0.25;
// Gains in priorities per second of drain time: the integral gain applies to
// the distance from the target in each window, the proportional gain to the
// change of the drain time. The queue integrates the excess of arrivals, so
// with the entire load at one priority at 3x overload (gain 3) the
// characteristic polynomial is s^2 + 12 s + 12, and with a tenth of that load
// s^2 + 1.2 s + 1.2. The loop is damped in both cases, and slower than the 50
// ms in which responses propagate the threshold.
constexpr double kIntegralGain = 0.2;
constexpr double kProportionalGain = 4.0;

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

double
ThresholdController::ComputeStep(Duration aDrainTime, bool aIdle)
{
  if (aIdle) {
    m_consecutiveWindows = std::min(m_consecutiveWindows, 0) - 1;
  } else if (m_overloaded && aDrainTime > m_targetDrainTime) {
    m_consecutiveWindows = std::max(m_consecutiveWindows, 0) + 1;
  } else {
    m_consecutiveWindows = 0;
    return std::clamp(kIntegralGain * Seconds(aDrainTime - m_targetDrainTime) +
                        kProportionalGain *
                          Seconds(aDrainTime - m_previousDrainTime),
                      -kMaxStep,
                      kMaxStep);
  }
  return std::clamp(kInitialStep * m_consecutiveWindows, -kMaxStep, kMaxStep);
}

void
ThresholdController::Update(Duration aDrainTime, bool aIdle, TimePoint aNow)
{
  if (aNow - m_windowStart < kWindow) {
    return;
  }
  // Windows without any event count as idle.
  const auto elapsedWindows =
    static_cast<double>((aNow - m_windowStart) / kWindow);
  const double step = ComputeStep(aDrainTime, aIdle) -
                      kMaxStep * (aIdle ? elapsedWindows - 1 : 0);
  m_threshold =
    std::clamp<double>(m_threshold + step, 0.0, schema::kMaxPriority);
  m_windowStart = aNow;
  m_previousDrainTime = aDrainTime;
  m_overloaded = false;
}

} // namespace wagtailbend::admission::internal
