#include "wagtailbend/admission/internal/concurrency_limit.h"

#include <algorithm>

namespace wagtailbend::admission::internal {
namespace {

constexpr Duration kWindow = std::chrono::milliseconds(50);
constexpr uint32_t kMinimumRuns = 8;
// Twice the baseline: the mean of a window of eight varied runs stays below it
// without overload.
constexpr double kTolerance = 2.0;
constexpr double kStrongestCut = 0.7;
constexpr double kFloorShare = 0.2;
constexpr double kReopenShare = 0.05;
constexpr double kTrialShare = 0.5;
constexpr double kImprovement = 0.8;
constexpr Duration kHold = std::chrono::seconds(5);

} // namespace

ConcurrencyLimit::ConcurrencyLimit(uint32_t aSlots)
  : m_slots(aSlots)
  , m_floor(std::min(m_slots, std::max(2.0, m_slots * kFloorShare)))
  , m_limit(aSlots)
{
}

bool
ConcurrencyLimit::Record(double aRatio, uint32_t aInFlight, TimePoint aNow)
{
  if (m_windowRuns == 0) {
    m_windowStart = aNow;
  }
  m_windowSum += aRatio;
  m_windowRuns++;
  m_windowPeak = std::max(m_windowPeak, aInFlight);
  // A window spans at least one turnover of half the slots in use, so that it
  // sees the effect of the limit that was in force.
  const uint32_t needed = std::max(kMinimumRuns, Current() / 2);
  if (m_windowRuns < needed || aNow - m_windowStart < kWindow) {
    return false;
  }
  return CloseWindow(aNow);
}

bool
ConcurrencyLimit::CloseWindow(TimePoint aNow)
{
  const double ratio = m_windowSum / m_windowRuns;
  const bool limiting = m_windowPeak >= Current();
  m_windowSum = 0;
  m_windowRuns = 0;
  m_windowPeak = 0;
  if (ratio > kTolerance && aNow >= m_holdUntil) {
    Reduce(ratio, aNow);
    return false;
  }
  m_limitBefore = 0;
  return limiting && Reopen();
}

bool
ConcurrencyLimit::Reopen()
{
  const uint32_t before = Current();
  m_limit = std::min(m_slots, m_limit + std::max(1.0, m_slots * kReopenShare));
  return Current() > before;
}

void
ConcurrencyLimit::Reduce(double aRatio, TimePoint aNow)
{
  if (m_limitBefore <= 0) {
    m_limitBefore = m_limit;
    m_ratioBefore = aRatio;
  }
  const bool tried = m_limit <= std::max(m_floor, m_limitBefore * kTrialShare);
  if (tried && aRatio > m_ratioBefore * kImprovement) {
    m_holdUntil = aNow + kHold;
    m_limitBefore = 0;
    return;
  }
  m_limit =
    std::max(m_floor, m_limit * std::max(kStrongestCut, kTolerance / aRatio));
}

} // namespace wagtailbend::admission::internal
