// Admission thresholds of targets, as reported in their responses. The daemon
// uses them to reject requests that a target would reject before sending them.
//
//   table.Update("a.Stock", "10.0.0.7:7001", *ParseThreshold(header), now);
//   if (!table.AllowsService("a.Stock", kind, priority, nested, now, rng)) ...

#pragma once

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <shared_mutex>
#include <string>
#include <string_view>

#include "wagtailbend/base/rng.h"
#include "wagtailbend/base/time.h"
#include "wagtailbend/schema/schema.h"

namespace wagtailbend::admission {

/// Formats a value of `wb-threshold` with two decimals. Thread-safe.
std::string
FormatThreshold(double aThreshold);

/// Parses a value of `wb-threshold`. Returns nullopt unless it is a number from
/// 0 to 9. Thread-safe.
std::optional<double>
ParseThreshold(std::string_view aText);

/// Thread-safe. Lookups take a shared lock on one of 16 shards; an exclusive
/// lock is taken only when a target is seen for the first time.
class ThresholdTable
{
public:
  /// Records the threshold that a response of aTarget carried.
  void Update(std::string_view aService,
              std::string_view aTarget,
              double aThreshold,
              TimePoint aNow);

  /// Returns the threshold of one target, or 0 if unknown. The reported value
  /// holds for 500 ms and then decays linearly to 0 within 1.5 s, so that a
  /// target that receives no requests becomes usable again.
  double TargetThreshold(std::string_view aService,
                         std::string_view aTarget,
                         TimePoint aNow) const;

  /// Returns the lowest threshold among the service's targets that responded
  /// within 10 s, below which every one of them rejects requests. 0 if none is
  /// known.
  double ServiceThreshold(std::string_view aService, TimePoint aNow) const;

  /// Returns whether a request may be sent to any target of aService. Always
  /// true for orders and nested calls, which the target itself decides on. One
  /// in 50 requests below the threshold passes as a probe, whose response
  /// carries the current threshold.
  bool AllowsService(std::string_view aService,
                     schema::Kind aKind,
                     uint32_t aPriority,
                     bool aNested,
                     TimePoint aNow,
                     Rng& aRng) const;

  /// Like AllowsService, for one selected target.
  bool AllowsTarget(std::string_view aService,
                    std::string_view aTarget,
                    schema::Kind aKind,
                    uint32_t aPriority,
                    bool aNested,
                    TimePoint aNow,
                    Rng& aRng) const;

private:
  struct ThresholdEntry
  {
    std::atomic<double> threshold{ 0 };
    std::atomic<int64_t> updatedNs{ 0 };
  };
  using TargetMap =
    std::map<std::string, std::unique_ptr<ThresholdEntry>, std::less<>>;
  struct alignas(64) Shard
  {
    mutable std::shared_mutex mutex;
    std::map<std::string, TargetMap, std::less<>> services;
  };
  static constexpr size_t kShardCount = 16;

  static void StoreThreshold(ThresholdEntry& aCell,
                             double aThreshold,
                             TimePoint aNow);
  static double DecayedThreshold(const ThresholdEntry& aCell, TimePoint aNow);
  static void EraseStale(TargetMap& aTargets, TimePoint aNow);
  Shard& ShardFor(std::string_view aService);
  const Shard& ShardFor(std::string_view aService) const;

  std::array<Shard, kShardCount> m_shards;
};

} // namespace wagtailbend::admission
