// Decides when to send a hedge, a second concurrent attempt of a slow
// idempotent lookup.
//
//   HedgePolicy hedges(schema);
//   hedges.RecordLatency(path, latency);
//   std::optional<Duration> delay = hedges.Delay(path); // arm a timer
//   std::optional<AttemptGrant> grant =
//     hedges.TryHedge(path, elapsed, ledger, now);

#pragma once

#include <array>
#include <atomic>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "wagtailbend/attempts/ledger.h"
#include "wagtailbend/attempts/ratio_limiter.h"
#include "wagtailbend/schema/schema.h"

namespace wagtailbend::attempts {

/// Estimates the recent p95 latency of one method with 96 logarithmic buckets,
/// each a factor of 2^(1/4) wide, starting at 10 us. Old samples decay by
/// repeated halving. Thread-safe without locks.
class LatencyQuantile
{
public:
  void Record(Duration aLatency);
  /// Returns the upper bound of the p95 bucket, or nullopt before 100 samples.
  std::optional<Duration> P95() const;

private:
  static constexpr size_t kBuckets = 96;
  std::array<std::atomic<uint32_t>, kBuckets> m_counts{};
  std::atomic<uint32_t> m_total{ 0 };
};

/// Thread-safe; takes no lock except the ledger's. The set of methods is fixed
/// at construction; a new configuration needs a new policy.
class HedgePolicy
{
public:
  explicit HedgePolicy(const schema::Schema& aSchema);

  /// Counts a first attempt towards the hedge ratio.
  void RecordCall(TimePoint aNow) { m_ratioLimiter.RecordCall(aNow); }

  /// Records the latency of a complete response. Ignores methods that are not
  /// idempotent lookups.
  void RecordLatency(std::string_view aPath, Duration aLatency);

  /// Returns the delay after which a hedge is sent, or nullopt if the method is
  /// not an idempotent lookup or its latency is not known yet.
  std::optional<Duration> Delay(std::string_view aPath) const;

  /// Deducts a hedge from aLedger if the method may be hedged, aElapsed has
  /// reached its p95, and both the ratio and the ledger allow it.
  std::optional<AttemptGrant> TryHedge(std::string_view aPath,
                                       Duration aElapsed,
                                       AttemptLedger& aLedger,
                                       TimePoint aNow);

private:
  struct HedgedMethod
  {
    CallCost cost;
    LatencyQuantile latency;
  };
  /// Idempotent lookups only.
  std::map<std::string, HedgedMethod, std::less<>> m_methods;
  RatioLimiter m_ratioLimiter{ kHedgeRatioPercent, kMinHedgesPerWindow };
};

} // namespace wagtailbend::attempts
