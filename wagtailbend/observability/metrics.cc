#include "wagtailbend/observability/metrics.h"

#include <fmt/format.h>

namespace wagtailbend::observability {
namespace {

constexpr double kLowestSeconds = 1e-6;
constexpr double kHighestSeconds = 100.0;
// 8 powers of ten with 12 bins each.
constexpr unsigned kBinCount = 8 * 12;
constexpr std::array<double, 4> kExportedQuantiles = { 0.5, 0.9, 0.99, 0.999 };

// Returns the metric name without its labels.
std::string_view
BaseName(std::string_view aName)
{
  return aName.substr(0, aName.find('{'));
}

// Appends aSuffix to the metric name and aLabel to its labels. Adds a label
// list if there is none; an empty aLabel adds no label.
std::string
WithLabel(std::string_view aName,
          std::string_view aSuffix,
          std::string_view aLabel)
{
  const size_t brace = aName.find('{');
  if (brace == std::string_view::npos) {
    return fmt::format("{}{}{}",
                       aName,
                       aSuffix,
                       aLabel.empty() ? "" : fmt::format("{{{}}}", aLabel));
  }
  const std::string_view labels =
    aName.substr(brace + 1, aName.size() - brace - 2);
  return fmt::format("{}{}{{{}{}{}}}",
                     aName.substr(0, brace),
                     aSuffix,
                     labels,
                     aLabel.empty() ? "" : ",",
                     aLabel);
}

// Assigns shards to threads in turn, so that threads seldom write to the same
// cache line.
size_t
ThreadShard(size_t aCount)
{
  static std::atomic<size_t> nextThread{ 0 };
  thread_local const size_t shard = nextThread.fetch_add(1);
  return shard % aCount;
}

} // namespace

void
Counter::Add(uint64_t aAmount)
{
  m_shards[ThreadShard(kShardCount)].value.fetch_add(aAmount,
                                                     std::memory_order_relaxed);
}

uint64_t
Counter::Value() const
{
  uint64_t total = 0;
  for (const Shard& shard : m_shards) {
    total += shard.value.load(std::memory_order_relaxed);
  }
  return total;
}

DurationHistogram::DurationHistogram()
  : m_histogram(
      std::make_tuple(Axis(kBinCount, kLowestSeconds, kHighestSeconds)),
      Storage())
{
}

void
DurationHistogram::Record(Duration aDuration)
{
  m_histogram(std::chrono::duration<double>(aDuration).count());
}

uint64_t
DurationHistogram::Count() const
{
  uint64_t total = 0;
  for (auto&& bin : boost::histogram::indexed(
         m_histogram, boost::histogram::coverage::all)) {
    total += static_cast<uint64_t>(*bin);
  }
  return total;
}

Duration
DurationHistogram::Quantile(double aQuantile) const
{
  const uint64_t total = Count();
  if (total == 0) {
    return Duration::zero();
  }
  const double targetCount = aQuantile * static_cast<double>(total);
  double cumulativeCount = 0;
  double upperEdge = kHighestSeconds;
  for (auto&& bin : boost::histogram::indexed(
         m_histogram, boost::histogram::coverage::all)) {
    cumulativeCount += static_cast<double>(static_cast<uint64_t>(*bin));
    if (cumulativeCount >= targetCount) {
      upperEdge = std::min(bin.bin().upper(), kHighestSeconds);
      break;
    }
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(upperEdge));
}

Counter&
MetricsRegistry::AddCounter(std::string_view aName, std::string_view aHelp)
{
  const std::lock_guard lock(m_mutex);
  Metric& metric = m_metrics[std::string(aName)];
  if (!metric.counter) {
    metric.help = aHelp;
    metric.counter = std::make_unique<Counter>();
  }
  return *metric.counter;
}

DurationHistogram&
MetricsRegistry::AddHistogram(std::string_view aName, std::string_view aHelp)
{
  const std::lock_guard lock(m_mutex);
  Metric& metric = m_metrics[std::string(aName)];
  if (!metric.histogram) {
    metric.help = aHelp;
    metric.histogram = std::make_unique<DurationHistogram>();
  }
  return *metric.histogram;
}

void
MetricsRegistry::AddGauge(std::string_view aName,
                          std::string_view aHelp,
                          std::function<double()> aRead)
{
  const std::lock_guard lock(m_mutex);
  Metric& metric = m_metrics[std::string(aName)];
  metric.help = aHelp;
  metric.gauge = std::move(aRead);
}

std::string
MetricsRegistry::Text() const
{
  const std::lock_guard lock(m_mutex);
  std::string text;
  std::string_view previousBaseName;
  for (const auto& [name, metric] : m_metrics) {
    const char* type = metric.counter ? "counter"
                       : metric.gauge ? "gauge"
                                      : "summary";
    if (BaseName(name) != previousBaseName) {
      previousBaseName = BaseName(name);
      text += fmt::format("# HELP {0} {1}\n# TYPE {0} {2}\n",
                          previousBaseName,
                          metric.help,
                          type);
    }
    if (metric.counter) {
      text += fmt::format("{} {}\n", name, metric.counter->Value());
      continue;
    }
    if (metric.gauge) {
      text += fmt::format("{} {}\n", name, metric.gauge());
      continue;
    }
    for (const double quantile : kExportedQuantiles) {
      const auto label = fmt::format("quantile=\"{}\"", quantile);
      const double seconds =
        std::chrono::duration<double>(metric.histogram->Quantile(quantile))
          .count();
      text += fmt::format("{} {:.6g}\n", WithLabel(name, "", label), seconds);
    }
    text += fmt::format(
      "{} {}\n", WithLabel(name, "_count", ""), metric.histogram->Count());
  }
  return text;
}

} // namespace wagtailbend::observability
