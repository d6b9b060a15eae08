// What replies told this daemon about the admission thresholds of targets, so
// that work which a target would reject is rejected at the entry.
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

/// Returns the value of `wb-threshold`, with two decimals. Thread-safe.
std::string
FormatThreshold(double aThreshold);

/// Parses a value of `wb-threshold`; nullopt unless a number from 0 to 9.
/// Thread-safe.
std::optional<double>
ParseThreshold(std::string_view aText);

/// Thread-safe. Lookups take a shared lock on one of 16 shards; an exclusive
/// one is taken only when a target is seen for the first time.
class ThresholdTable
{
public:
  /// Records the threshold that a reply of aTarget carried.
  void Update(std::string_view aService,
              std::string_view aTarget,
              double aThreshold,
              TimePoint aNow);

  /// Threshold of one target: as told for 500 ms, then falling to 0 within
  /// 1.5 s, so that a target nobody calls becomes usable again. 0 if unknown.
  double OfTarget(std::string_view aService,
                  std::string_view aTarget,
                  TimePoint aNow) const;

  /// Lowest threshold of the service's targets that replied within 10 s: what
  /// every one of them would reject. 0 if none is known.
  double OfService(std::string_view aService, TimePoint aNow) const;

  /// Whether a request may be sent to some target of aService. Orders and
  /// nested calls always may; the target decides on them. Of the requests below
  /// the threshold one in 50 passes as a probe, whose reply tells the current
  /// threshold.
  bool AllowsService(std::string_view aService,
                     schema::Kind aKind,
                     uint32_t aPriority,
                     bool aNested,
                     TimePoint aNow,
                     Rng& aRng) const;

  /// The same for one selected target.
  bool AllowsTarget(std::string_view aService,
                    std::string_view aTarget,
                    schema::Kind aKind,
                    uint32_t aPriority,
                    bool aNested,
                    TimePoint aNow,
                    Rng& aRng) const;

private:
  struct Cell
  {
    std::atomic<double> threshold{ 0 };
    std::atomic<int64_t> updatedNs{ 0 };
  };
  using Targets = std::map<std::string, std::unique_ptr<Cell>, std::less<>>;
  struct alignas(64) Shard
  {
    mutable std::shared_mutex mutex;
    std::map<std::string, Targets, std::less<>> services;
  };
  static constexpr size_t kShardCount = 16;

  static void Write(Cell& aCell, double aThreshold, TimePoint aNow);
  static double Read(const Cell& aCell, TimePoint aNow);
  static void DropStale(Targets& aTargets, TimePoint aNow);
  Shard& ShardOf(std::string_view aService);
  const Shard& ShardOf(std::string_view aService) const;

  std::array<Shard, kShardCount> m_shards;
};

} // namespace wagtailbend::admission
