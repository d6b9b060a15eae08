// This daemon's share of the bytes on the inter-region network.
//
//   if (budget.TryTake(TrafficClass::kOrder, bytes, now)) { Send(); }
//   budget.OnRoundTrip(roundTrip, now);

#pragma once

#include <atomic>
#include <cstdint>

#include "wagtailbend/base/time.h"

namespace wagtailbend::routing {

/// Priority class on the inter-region network: orders come first, bulk requests
/// last.
enum class TrafficClass : uint8_t
{
  kOrder,
  kLookup,
  kBulk,
};

struct InterRegionBudgetConfig
{
  /// Capacity of the inter-region network for all daemons, in bytes per second.
  double networkRate = 30e6 / 8;
  /// Initial and minimum rate of this daemon, in bytes per second.
  double initialRate = 30e6 / 8 / 100;
  double minRate = 30e6 / 8 / 2000;
  /// Depth of the token bucket, as time at the current rate.
  Duration burst = std::chrono::milliseconds(200);
  /// Queueing delay above which the rate decreases.
  Duration targetDelay = std::chrono::milliseconds(10);
  /// The rate changes at most once per interval.
  Duration interval = std::chrono::milliseconds(100);
  /// Additive increase per interval, as a fraction of networkRate.
  double increase = 0.0005;
  /// Multiplicative decrease per interval.
  double decrease = 0.7;
};

/// Token bucket whose rate adapts to the queueing delay of the inter-region
/// network (additive increase, multiplicative decrease). TryTake, Charge and
/// Rate are thread-safe and lock-free; OnRoundTrip must be called on the
/// control thread only.
class InterRegionBudget
{
public:
  InterRegionBudget(InterRegionBudgetConfig aConfig, TimePoint aNow);

  /// Takes aBytes and returns true if the bucket holds enough for the class:
  /// lookups leave 30% of the bucket to orders, bulk requests 70% to orders and
  /// lookups. The bytes taken in a time t are at most (t + burst) times the
  /// highest rate in it.
  bool TryTake(TrafficClass aClass, uint64_t aBytes, TimePoint aNow);

  /// Takes aBytes that were already transferred, for instance those of a
  /// response. TryTake then fails until the bucket has recovered.
  void Charge(uint64_t aBytes, TimePoint aNow);

  /// Records a measured round trip over the inter-region network. The queueing
  /// delay is its excess over the shortest round trip of the last minute.
  void OnRoundTrip(Duration aRoundTrip, TimePoint aNow);

  /// Returns the rate of this daemon in bytes per second.
  double Rate() const { return m_rate.load(std::memory_order_relaxed); }

private:
  void UpdateBaseRoundTrip(Duration aRoundTrip, TimePoint aNow);

  const InterRegionBudgetConfig m_config;
  std::atomic<double> m_rate;
  /// Time at which the bucket is full again.
  std::atomic<TimePoint> m_fullAt;
  Duration m_baseRoundTrip = Duration::max();
  Duration m_nextBaseRoundTrip = Duration::max();
  Duration m_maxQueueingDelay{};
  TimePoint m_baseWindowEnd;
  TimePoint m_nextAdjustment;
};

} // namespace wagtailbend::routing
