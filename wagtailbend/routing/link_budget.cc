#include "wagtailbend/routing/link_budget.h"

#include <algorithm>
#include <array>
#include <utility>

namespace wagtailbend::routing {
namespace {

// Part of the bucket that each class may use, indexed by LinkClass.
constexpr std::array<double, 3> kClassShare{ 1.0, 0.7, 0.3 };
constexpr Duration kBaseWindow = std::chrono::seconds(60);

} // namespace

LinkBudget::LinkBudget(LinkBudgetConfig aConfig, TimePoint aNow)
  : m_config(aConfig)
  , m_rate(aConfig.initialRate)
  , m_fullAt(aNow)
  , m_baseUntil(aNow + kBaseWindow)
  , m_adaptAt(aNow + aConfig.interval)
{
}

bool
LinkBudget::TryTake(LinkClass aClass, uint64_t aBytes, TimePoint aNow)
{
  const Duration cost(
    static_cast<int64_t>(static_cast<double>(aBytes) / Rate() * 1e9));
  const Duration depth(
    static_cast<int64_t>(static_cast<double>(m_config.burst.count()) *
                         kClassShare[static_cast<size_t>(aClass)]));
  TimePoint fullAt = m_fullAt.load(std::memory_order_relaxed);
  while (true) {
    const TimePoint next = std::max(fullAt, aNow) + cost;
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
LinkBudget::Charge(uint64_t aBytes, TimePoint aNow)
{
  const Duration cost(
    static_cast<int64_t>(static_cast<double>(aBytes) / Rate() * 1e9));
  TimePoint fullAt = m_fullAt.load(std::memory_order_relaxed);
  while (!m_fullAt.compare_exchange_weak(
    fullAt, std::max(fullAt, aNow) + cost, std::memory_order_relaxed)) {
  }
}

void
LinkBudget::OnRoundTrip(Duration aRoundTrip, TimePoint aNow)
{
  TrackBase(aRoundTrip, aNow);
  m_worst = std::max(m_worst, aRoundTrip - m_base);
  if (aNow < m_adaptAt) {
    return;
  }
  m_adaptAt = aNow + m_config.interval;
  const Duration worst = std::exchange(m_worst, Duration::zero());
  const double rate = worst > m_config.targetDelay
                        ? Rate() * m_config.decrease
                        : Rate() + m_config.linkRate * m_config.increase;
  m_rate.store(std::clamp(rate, m_config.minRate, m_config.linkRate),
               std::memory_order_relaxed);
}

void
LinkBudget::TrackBase(Duration aRoundTrip, TimePoint aNow)
{
  if (aNow >= m_baseUntil) {
    m_baseUntil = aNow + kBaseWindow;
    m_base = std::exchange(m_nextBase, Duration::max());
  }
  m_base = std::min(m_base, aRoundTrip);
  m_nextBase = std::min(m_nextBase, aRoundTrip);
}

} // namespace wagtailbend::routing
