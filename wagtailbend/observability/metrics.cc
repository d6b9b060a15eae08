#include "wagtailbend/observability/metrics.h"

#include <fmt/format.h>

namespace wagtailbend::observability {
namespace {

constexpr double kLowestSeconds = 1e-6;
constexpr double kHighestSeconds = 100.0;
constexpr unsigned kBins = 8 * 12;
constexpr std::array<double, 4> kPrintedQuantiles = { 0.5, 0.9, 0.99, 0.999 };

std::string_view
BaseName(std::string_view aName)
{
  return aName.substr(0, aName.find('{'));
}

// Inserts a label before the closing brace, or adds a label list.
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
  m_shards[ThreadShard(kShards)].value.fetch_add(aAmount,
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
  : m_histogram(std::make_tuple(Axis(kBins, kLowestSeconds, kHighestSeconds)),
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
DurationHistogram::Quantile(double aShare) const
{
  const uint64_t total = Count();
  if (total == 0) {
    return Duration::zero();
  }
  const double wanted = aShare * static_cast<double>(total);
  double seen = 0;
  double edge = kHighestSeconds;
  for (auto&& bin : boost::histogram::indexed(
         m_histogram, boost::histogram::coverage::all)) {
    seen += static_cast<double>(static_cast<uint64_t>(*bin));
    if (seen >= wanted) {
      edge = std::min(bin.bin().upper(), kHighestSeconds);
      break;
    }
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(edge));
}

Counter&
MetricsRegistry::AddCounter(std::string_view aName, std::string_view aHelp)
{
  const std::lock_guard lock(m_mutex);
  Entry& entry = m_entries[std::string(aName)];
  if (!entry.counter) {
    entry.help = aHelp;
    entry.counter = std::make_unique<Counter>();
  }
  return *entry.counter;
}

DurationHistogram&
MetricsRegistry::AddHistogram(std::string_view aName, std::string_view aHelp)
{
  const std::lock_guard lock(m_mutex);
  Entry& entry = m_entries[std::string(aName)];
  if (!entry.histogram) {
    entry.help = aHelp;
    entry.histogram = std::make_unique<DurationHistogram>();
  }
  return *entry.histogram;
}

void
MetricsRegistry::AddGauge(std::string_view aName,
                          std::string_view aHelp,
                          std::function<double()> aRead)
{
  const std::lock_guard lock(m_mutex);
  Entry& entry = m_entries[std::string(aName)];
  entry.help = aHelp;
  entry.gauge = std::move(aRead);
}

std::string
MetricsRegistry::Text() const
{
  const std::lock_guard lock(m_mutex);
  std::string text;
  std::string_view previous;
  for (const auto& [name, entry] : m_entries) {
    const char* type = entry.counter ? "counter"
                       : entry.gauge ? "gauge"
                                     : "summary";
    if (BaseName(name) != previous) {
      previous = BaseName(name);
      text += fmt::format(
        "# HELP {0} {1}\n# TYPE {0} {2}\n", previous, entry.help, type);
    }
    if (entry.counter) {
      text += fmt::format("{} {}\n", name, entry.counter->Value());
      continue;
    }
    if (entry.gauge) {
      text += fmt::format("{} {}\n", name, entry.gauge());
      continue;
    }
    for (const double share : kPrintedQuantiles) {
      const auto label = fmt::format("quantile=\"{}\"", share);
      const double seconds =
        std::chrono::duration<double>(entry.histogram->Quantile(share)).count();
      text += fmt::format("{} {:.6g}\n", WithLabel(name, "", label), seconds);
    }
    text += fmt::format(
      "{} {}\n", WithLabel(name, "_count", ""), entry.histogram->Count());
  }
  return text;
}

} // namespace wagtailbend::observability
