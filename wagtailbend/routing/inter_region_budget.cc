#include "wagtailbend/routing/inter_region_budget.h"

#include <algorithm>
#include <array>
#include <utility>

namespace wagtailbend::routing {
namespace {

// Share of the bucket that each class may use, indexed by TrafficClass.
constexpr std::array<double, 3> kClassShare{ 1.0, 0.7, 0.3 };
constexpr Duration kBaseRoundTripWindow = std::chrono::seconds(60);

} // namespace

InterRegionBudget::InterRegionBudget(InterRegionBudgetConfig aConfig,
                                     TimePoint aNow)
  : m_config(aConfig)
  , m_rate(aConfig.initialRate)
  , m_fullAt(aNow)
  , m_baseWindowEnd(aNow + kBaseRoundTripWindow)
  , m_nextAdjustment(aNow + aConfig.interval)
{
}

bool
InterRegionBudget::TryTake(TrafficClass aClass, uint64_t aBytes, TimePoint aNow)
{
  const Duration transferTime(
    static_cast<int64_t>(static_cast<double>(aBytes) / Rate() * 1e9));
  const Duration depth(
    static_cast<int64_t>(static_cast<double>(m_config.burst.count()) *
                         kClassShare[static_cast<size_t>(aClass)]));
  TimePoint fullAt = m_fullAt.load(std::memory_order_relaxed);
  while (true) {
    const TimePoint next = std::max(fullAt, aNow) + transferTime;
    if (next - aNow > depth) {
      return false;
    }
    if (m_fullAt.compare_exchange_weak(
          fullAt, next, std::memory_order_relaxed)) {
      return true;
    }
  }
}

void
InterRegionBudget::Charge(uint64_t aBytes, TimePoint aNow)
{
  const Duration transferTime(
    static_cast<int64_t>(static_cast<double>(aBytes) / Rate() * 1e9));
  TimePoint fullAt = m_fullAt.load(std::memory_order_relaxed);
  while (!m_fullAt.compare_exchange_weak(
    fullAt, std::max(fullAt, aNow) + transferTime, std::memory_order_relaxed)) {
  }
}

void
InterRegionBudget::OnRoundTrip(Duration aRoundTrip, TimePoint aNow)
{
  UpdateBaseRoundTrip(aRoundTrip, aNow);
  m_maxQueueingDelay =
    std::max(m_maxQueueingDelay, aRoundTrip - m_baseRoundTrip);
  if (aNow < m_nextAdjustment) {
    return;
  }
  m_nextAdjustment = aNow + m_config.interval;
  const Duration worst = std::exchange(m_maxQueueingDelay, Duration::zero());
  const double rate = worst > m_config.targetDelay
                        ? Rate() * m_config.decrease
                        : Rate() + m_config.networkRate * m_config.increase;
  m_rate.store(std::clamp(rate, m_config.minRate, m_config.networkRate),
               std::memory_order_relaxed);
}

void
InterRegionBudget::UpdateBaseRoundTrip(Duration aRoundTrip, TimePoint aNow)
{
  if (aNow >= m_baseWindowEnd) {
    m_baseWindowEnd = aNow + kBaseRoundTripWindow;
    m_baseRoundTrip = std::exchange(m_nextBaseRoundTrip, Duration::max());
  }
  m_baseRoundTrip = std::min(m_baseRoundTrip, aRoundTrip);
  m_nextBaseRoundTrip = std::min(m_nextBaseRoundTrip, aRoundTrip);
}

} // namespace wagtailbend::routing
