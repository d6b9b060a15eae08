// Counters, gauges and histograms, exported in the Prometheus text format.
//
//   MetricsRegistry registry;
//   Counter& calls = registry.AddCounter("wb_calls_total", "Calls received.");
//   calls.Add(1);
//   std::string text = registry.Text();

#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include <boost/histogram.hpp>

#include "wagtailbend/base/time.h"

namespace wagtailbend::observability {

/// A monotonically increasing counter. Thread-safe; sharded by thread, one
/// cache line per shard, to avoid contention.
class Counter
{
public:
  void Add(uint64_t aAmount);
  uint64_t Value() const;

private:
  static constexpr size_t kShardCount = 16;
  struct alignas(64) Shard
  {
    std::atomic<uint64_t> value{ 0 };
  };
  std::array<Shard, kShardCount> m_shards;
};

/// A histogram of durations from 1 microsecond to 100 seconds with logarithmic
/// bins, 12 per power of ten (each upper edge is 21% above the lower one).
/// Thread-safe.
class DurationHistogram
{
public:
  DurationHistogram();
  void Record(Duration aDuration);
  uint64_t Count() const;
  /// Returns the upper edge of the bin that holds the quantile, at most 100
  /// seconds, or zero if there are no values. Precondition: 0 < aQuantile <= 1.
  Duration Quantile(double aQuantile) const;

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using Storage = boost::histogram::dense_storage<
    boost::histogram::accumulators::thread_safe<uint64_t>>;

  boost::histogram::histogram<std::tuple<Axis>, Storage> m_histogram;
};

/// Owns all metrics of a process. Thread-safe. Returned references stay valid
/// for the lifetime of the registry.
class MetricsRegistry
{
public:
  /// Returns the counter with that name and creates it if there is none. The
  /// name may include labels: `wb_errors_total{kind="overloaded"}`.
  Counter& AddCounter(std::string_view aName, std::string_view aHelp);
  /// As AddCounter, for a histogram of durations in seconds.
  DurationHistogram& AddHistogram(std::string_view aName,
                                  std::string_view aHelp);
  /// Adds or replaces a gauge. Text() calls aRead with the registry locked;
  /// aRead must be thread-safe and must not use the registry.
  void AddGauge(std::string_view aName,
                std::string_view aHelp,
                std::function<double()> aRead);

  /// Returns all metrics in the Prometheus text format, sorted by name.
  std::string Text() const;

private:
  struct Metric
  {
    std::string help;
    std::unique_ptr<Counter> counter;
    std::unique_ptr<DurationHistogram> histogram;
    std::function<double()> gauge;
  };

  mutable std::mutex m_mutex;
  std::map<std::string, Metric, std::less<>> m_metrics;
};

} // namespace wagtailbend::observability
