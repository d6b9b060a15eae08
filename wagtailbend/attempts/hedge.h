// Decides when a second attempt of a slow idempotent lookup is sent beside the
// first one.
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

/// Moving p95 of one method's latency in 96 logarithmic buckets, each 2^(1/4)
/// wide from 10 us. Thread-safe without locks; old samples are halved away.
class LatencyQuantile
{
public:
  void Record(Duration aLatency);
  /// Returns the upper edge of the p95 bucket, or nullopt before 100 samples.
  std::optional<Duration> P95() const;

private:
  static constexpr size_t kBuckets = 96;
  std::array<std::atomic<uint32_t>, kBuckets> m_counts{};
  std::atomic<uint32_t> m_total{ 0 };
};

/// Thread-safe without locks other than the ledger's. The set of methods is
/// fixed at construction; a new configuration makes a new policy.
class HedgePolicy
{
public:
  explicit HedgePolicy(const schema::Schema& aSchema);

  /// Counts a first attempt for the ratio.
  void RecordCall(TimePoint aNow) { m_ratio.RecordCall(aNow); }

  /// Records the latency of a complete response. Other methods than idempotent
  /// lookups are ignored.
  void RecordLatency(std::string_view aPath, Duration aLatency);

  /// Returns after what time a hedge is worth sending, or nullopt if the method
  /// is no idempotent lookup or its latency is not known yet.
  std::optional<Duration> Delay(std::string_view aPath) const;

  /// Pays for a hedge if the method may be hedged, aElapsed has reached the
  /// learned p95, and both the ratio and the ledger allow it.
  std::optional<AttemptGrant> TryHedge(std::string_view aPath,
                                       Duration aElapsed,
                                       AttemptLedger& aLedger,
                                       TimePoint aNow);

private:
  struct Entry
  {
    CallCost cost;
    LatencyQuantile latency;
  };
  /// Idempotent lookups only.
  std::map<std::string, Entry, std::less<>> m_methods;
  RatioLimiter m_ratio{ kHedgeRatioPercent, kHedgeAllowance };
};

} // namespace wagtailbend::attempts
