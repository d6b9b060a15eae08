#include "wagtailbend/admission/internal/concurrency_limit.h"

#include <algorithm>

namespace wagtailbend::admission::internal {
namespace {

constexpr Duration kWindow = std::chrono::milliseconds(50);
constexpr uint32_t kMinWindowRuns = 8;
// The limit decreases above twice the baseline: without overload, the mean of a
// window of eight varying runs stays below it.
constexpr double kMaxLatencyRatio = 2.0;
constexpr double kMinDecreaseFactor = 0.7;
constexpr double kMinLimitShare = 0.2;
constexpr double kIncreaseShare = 0.05;
// If the limit has fallen to this share of its value before the decreases, but
// the latency ratio is still above kImprovedRatio times its value before,
// concurrency is not the cause.
constexpr double kIneffectiveShare = 0.5;
constexpr double kImprovedRatio = 0.8;
constexpr Duration kHoldTime = std::chrono::seconds(5);

} // namespace

ConcurrencyLimit::ConcurrencyLimit(uint32_t aSlots)
  : m_slots(aSlots)
  , m_minLimit(std::min(m_slots, std::max(2.0, m_slots * kMinLimitShare)))
  , m_limit(aSlots)
{
}

bool
ConcurrencyLimit::Record(double aRatio, uint32_t aInFlight, TimePoint aNow)
{
  if (m_windowRuns == 0) {
    m_windowStart = aNow;
  }
  m_windowRatioSum += aRatio;
  m_windowRuns++;
  m_windowPeakInFlight = std::max(m_windowPeakInFlight, aInFlight);
  // A window spans at least half as many runs as the limit, so that it measures
  // the effect of the limit in force.
  const uint32_t minRuns = std::max(kMinWindowRuns, Current() / 2);
  if (m_windowRuns < minRuns || aNow - m_windowStart < kWindow) {
    return false;
  }
  return CloseWindow(aNow);
}

bool
ConcurrencyLimit::CloseWindow(TimePoint aNow)
{
  const double ratio = m_windowRatioSum / m_windowRuns;
  const bool limitReached = m_windowPeakInFlight >= Current();
  m_windowRatioSum = 0;
  m_windowRuns = 0;
  m_windowPeakInFlight = 0;
  if (ratio > kMaxLatencyRatio && aNow >= m_noDecreaseUntil) {
    Decrease(ratio, aNow);
    return false;
  }
  m_limitBeforeDecrease = 0;
  return limitReached && Increase();
}

bool
ConcurrencyLimit::Increase()
{
  const uint32_t previousLimit = Current();
  m_limit =
    std::min(m_slots, m_limit + std::max(1.0, m_slots * kIncreaseShare));
  return Current() > previousLimit;
}

void
ConcurrencyLimit::Decrease(double aRatio, TimePoint aNow)
{
  if (m_limitBeforeDecrease <= 0) {
    m_limitBeforeDecrease = m_limit;
    m_ratioBeforeDecrease = aRatio;
  }
  const bool decreasedEnough =
    m_limit <= std::max(m_minLimit, m_limitBeforeDecrease * kIneffectiveShare);
  if (decreasedEnough && aRatio > m_ratioBeforeDecrease * kImprovedRatio) {
    m_noDecreaseUntil = aNow + kHoldTime;
    m_limitBeforeDecrease = 0;
    return;
  }
  m_limit =
    std::max(m_minLimit,
             m_limit * std::max(kMinDecreaseFactor, kMaxLatencyRatio / aRatio));
}

} // namespace wagtailbend::admission::internal
