#include "wagtailbend/admission/internal/long_request_share.h"

#include <algorithm>
#include <utility>

namespace wagtailbend::admission::internal {
namespace {

constexpr double kMaxShare = 0.25;
// Lets one bulk request run on a target with 16 slots.
constexpr double kMinShare = 1.0 / 16;
constexpr Duration kWindow = std::chrono::milliseconds(50);
// The mean of 64 runs that vary by 50% has a standard deviation of 0.036, too
// little to reach kSlowdownRatio by chance.
constexpr uint32_t kWindowRuns = 64;
constexpr double kSlowdownRatio = 1.15;
constexpr double kNoSlowdownRatio = 1.05;
constexpr double kDecreaseFactor = 0.8;
constexpr double kIncreaseStep = 1.0 / 64;
constexpr Duration kIncreaseInterval = std::chrono::seconds(1);
constexpr Duration kHoldTime = std::chrono::seconds(10);

} // namespace

uint32_t
LongRequestShare::Cap(uint32_t aLimit) const
{
  return std::max(1U, static_cast<uint32_t>(aLimit * m_share));
}

void
LongRequestShare::Record(double aRatio,
                         uint32_t aLongInFlight,
                         uint32_t aLimit,
                         TimePoint aNow)
{
  if (m_windowRuns == 0) {
    m_windowStart = aNow;
  }
  m_windowRatioSum += aRatio;
  m_windowRuns++;
  if (m_windowRuns >= kWindowRuns && aNow - m_windowStart >= kWindow) {
    CloseWindow(aLongInFlight, aLimit, aNow);
  }
}

void
LongRequestShare::CloseWindow(uint32_t aLongInFlight,
                              uint32_t aLimit,
                              TimePoint aNow)
{
  const double ratio =
    std::exchange(m_windowRatioSum, 0) / std::exchange(m_windowRuns, 0);
  if (ratio > kSlowdownRatio) {
    m_lastIncrease = aNow;
    if (aLongInFlight > 0 && aNow >= m_noDecreaseUntil) {
      Decrease(aLongInFlight, aLimit, aNow);
    }
    return;
  }
  if (ratio < kNoSlowdownRatio && aNow - m_lastIncrease >= kIncreaseInterval) {
    m_lastIncrease = aNow;
    m_share = std::min(kMaxShare, m_share + kIncreaseStep);
  }
}

void
LongRequestShare::Decrease(uint32_t aLongInFlight,
                           uint32_t aLimit,
                           TimePoint aNow)
{
  if (aLongInFlight > Cap(aLimit)) {
    // The previous decrease has not taken effect yet.
    return;
  }
  if (m_share <= kMinShare) {
    m_share = kMaxShare;
    m_noDecreaseUntil = aNow + kHoldTime;
    return;
  }
  m_share =
    std::max(kMinShare,
             kDecreaseFactor *
               std::min(m_share, static_cast<double>(aLongInFlight) / aLimit));
}

} // namespace wagtailbend::admission::internal
