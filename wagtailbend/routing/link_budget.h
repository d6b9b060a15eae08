// This daemon's share of the bytes on the link between regions.
//
//   if (budget.TryTake(LinkClass::kOrder, bytes, now)) { Send(); }
//   budget.OnRoundTrip(roundTrip, now);

#pragma once

#include <atomic>
#include <cstdint>

#include "wagtailbend/base/time.h"

namespace wagtailbend::routing {

/// Orders come first, bulk work last.
enum class LinkClass : uint8_t
{
  kOrder,
  kLookup,
  kBulk,
};

struct LinkBudgetConfig
{
  /// Capacity of the link for all daemons, bytes per second.
  double linkRate = 30e6 / 8;
  /// First share of this daemon, and the least it falls to.
  double initialRate = 30e6 / 8 / 100;
  double minRate = 30e6 / 8 / 2000;
  /// Depth of the bucket in time at the present rate.
  Duration burst = std::chrono::milliseconds(200);
  /// Queueing delay above which the share falls.
  Duration targetDelay = std::chrono::milliseconds(10);
  /// The share changes at most once per interval.
  Duration interval = std::chrono::milliseconds(100);
  /// Added per interval, as a part of linkRate.
  double increase = 0.0005;
  double decrease = 0.7;
};

/// Token bucket whose rate follows the queueing delay of the link (additive
/// increase, multiplicative decrease). TryTake and Rate are thread-safe and
/// lock-free; OnRoundTrip runs on the control thread.
class LinkBudget
{
public:
  LinkBudget(LinkBudgetConfig aConfig, TimePoint aNow);

  /// Takes aBytes if the bucket holds enough for the class: a lookup leaves 30%
  /// of the bucket to orders, bulk work 70% to the others. The bytes taken in a
  /// time t are at most (t + burst) times the highest rate in it.
  bool TryTake(LinkClass aClass, uint64_t aBytes, TimePoint aNow);

  /// Takes aBytes that have crossed the link already, for instance those of a
  /// response; TryTake then waits until they are paid for.
  void Charge(uint64_t aBytes, TimePoint aNow);

  /// Reports a measured round trip over the link. The queueing delay is its
  /// excess over the smallest one of the last minute.
  void OnRoundTrip(Duration aRoundTrip, TimePoint aNow);

  /// Bytes per second of this daemon.
  double Rate() const { return m_rate.load(std::memory_order_relaxed); }

private:
  void TrackBase(Duration aRoundTrip, TimePoint aNow);

  const LinkBudgetConfig m_config;
  std::atomic<double> m_rate;
  /// Time at which the bucket is full again.
  std::atomic<TimePoint> m_fullAt;
  Duration m_base = Duration::max();
  Duration m_nextBase = Duration::max();
  Duration m_worst{};
  TimePoint m_baseUntil;
  TimePoint m_adaptAt;
};

} // namespace wagtailbend::routing
