// Counters, gauges and histograms, printed as text for scraping.
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

/// A count that only grows. Thread-safe; threads add to separate cache lines.
class Counter
{
public:
  void Add(uint64_t aAmount);
  uint64_t Value() const;

private:
  static constexpr size_t kShards = 16;
  struct alignas(64) Shard
  {
    std::atomic<uint64_t> value{ 0 };
  };
  std::array<Shard, kShards> m_shards;
};

/// A distribution of durations from 1 microsecond to 100 seconds in
/// logarithmic bins, 12 per factor of ten (a bin spans 21%). Thread-safe.
class DurationHistogram
{
public:
  DurationHistogram();
  void Record(Duration aDuration);
  uint64_t Count() const;
  /// Returns the upper edge of the bin that holds the given share of the
  /// values, or zero if there are none. Precondition: 0 < aShare <= 1.
  Duration Quantile(double aShare) const;

private:
  using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;
  using Storage = boost::histogram::dense_storage<
    boost::histogram::accumulators::thread_safe<uint64_t>>;

  boost::histogram::histogram<std::tuple<Axis>, Storage> m_histogram;
};

/// Owns all metrics of a process. Adding and printing are thread-safe;
/// references stay valid as long as the registry.
class MetricsRegistry
{
public:
  /// Returns the counter of that name, which may hold labels, for example
  /// `wb_errors_total{kind="overloaded"}`. Adds it if it is new.
  Counter& AddCounter(std::string_view aName, std::string_view aHelp);
  DurationHistogram& AddHistogram(std::string_view aName,
                                  std::string_view aHelp);
  /// aRead is called from Text() and must be thread-safe.
  void AddGauge(std::string_view aName,
                std::string_view aHelp,
                std::function<double()> aRead);

  /// Returns all metrics in the Prometheus text format, sorted by name.
  std::string Text() const;

private:
  struct Entry
  {
    std::string help;
    std::unique_ptr<Counter> counter;
    std::unique_ptr<DurationHistogram> histogram;
    std::function<double()> gauge;
  };

  mutable std::mutex m_mutex;
  std::map<std::string, Entry, std::less<>> m_entries;
};

} // namespace wagtailbend::observability
