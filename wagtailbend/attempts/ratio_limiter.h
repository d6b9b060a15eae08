// Limits retries and hedges to a share of a daemon's calls over the last 10 s.
// It complements the attempt ledger: the ledger bounds each request, the ratio
// bounds the daemon's average.
//
//   RatioLimiter retries(kRetryRatioPercent, kMinRetriesPerWindow);
//   retries.RecordCall(now);
//   if (retries.TryAcquire(now)) { ... }

#pragma once

#include <array>
#include <atomic>
#include <cstdint>

#include "wagtailbend/base/time.h"

namespace wagtailbend::attempts {

inline constexpr uint32_t kRetryRatioPercent = 10;
inline constexpr uint32_t kHedgeRatioPercent = 5;
/// Retries and hedges that are allowed in each window regardless of the number
/// of calls. Without this minimum a daemon with few calls could never retry,
/// and customers of such a daemon send a request only once.
inline constexpr uint32_t kMinRetriesPerWindow = 10;
inline constexpr uint32_t kMinHedgesPerWindow = 5;

/// Thread-safe without locks. Two TryAcquire calls that race across a second
/// boundary may together exceed the ratio by one.
class RatioLimiter
{
public:
  /// aMinPerWindow: retries or hedges in 10 s that are allowed at any call
  /// rate.
  RatioLimiter(uint32_t aPercent, uint32_t aMinPerWindow);

  /// Counts a first attempt. Retries and hedges do not count as calls.
  void RecordCall(TimePoint aNow);

  /// Returns true and counts one retry or hedge if the share then does not
  /// exceed the ratio, or the window then holds no more than the minimum.
  /// aFraction: part of both limits that this caller may use, 0 to 1.
  bool TryAcquire(TimePoint aNow, double aFraction = 1.0);

  /// Counts a retry that is sent without a preceding TryAcquire.
  void RecordUncheckedRetry(TimePoint aNow);

private:
  struct WindowTotals
  {
    uint64_t calls = 0;
    uint64_t extraAttempts = 0;
  };
  WindowTotals SumWindow(uint32_t aSecond) const;
  /// Counts one retry or hedge if aIsAllowed returns true.
  template<typename Predicate>
  bool TryAddExtraAttempt(uint32_t aSecond, const Predicate& aIsAllowed);

  static constexpr uint32_t kWindowSeconds = 10;

  uint32_t m_percent;
  uint32_t m_minPerWindow;
  /// One word per second: the second (24 bits), calls (20 bits), retries and
  /// hedges (20 bits).
  std::array<std::atomic<uint64_t>, kWindowSeconds> m_buckets{};
};

} // namespace wagtailbend::attempts
