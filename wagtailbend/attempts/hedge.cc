#include "wagtailbend/attempts/hedge.h"

#include <algorithm>
#include <cmath>

namespace wagtailbend::attempts {
namespace {

constexpr double kFirstEdgeNs = 10'000.0;
constexpr double kBucketsPerDoubling = 4.0;
// Below this many samples p95 rests on fewer than five responses.
constexpr uint32_t kMinimumSamples = 100;
// At this count all buckets are halved, so that p95 follows a change of the
// latency within some thousand responses.
constexpr uint32_t kHalveAt = 4096;

} // namespace

void
LatencyQuantile::Record(Duration aLatency)
{
  const double ratio = static_cast<double>(aLatency.count()) / kFirstEdgeNs;
  const double position =
    ratio <= 1.0 ? 0.0 : std::ceil(std::log2(ratio) * kBucketsPerDoubling);
  const size_t index = std::min(static_cast<size_t>(position), kBuckets - 1);
  m_counts[index].fetch_add(1, std::memory_order_relaxed);
  if (m_total.fetch_add(1, std::memory_order_relaxed) + 1 != kHalveAt) {
    return;
  }
  uint32_t removed = 0;
  for (auto& count : m_counts) {
    const uint32_t half = count.load(std::memory_order_relaxed) / 2;
    count.fetch_sub(half, std::memory_order_relaxed);
    removed += half;
  }
  m_total.fetch_sub(removed, std::memory_order_relaxed);
}

std::optional<Duration>
LatencyQuantile::P95() const
{
  uint64_t total = 0;
  for (const auto& count : m_counts) {
    total += count.load(std::memory_order_relaxed);
  }
  if (total < kMinimumSamples) {
    return std::nullopt;
  }
  uint64_t seen = 0;
  size_t index = 0;
  for (; index + 1 < kBuckets; index++) {
    seen += m_counts[index].load(std::memory_order_relaxed);
    if (seen * 100 >= total * 95) {
      break;
    }
  }
  const double edge =
    kFirstEdgeNs * std::exp2(static_cast<double>(index) / kBucketsPerDoubling);
  return Duration(static_cast<int64_t>(edge));
}

HedgePolicy::HedgePolicy(const schema::Schema& aSchema)
{
  for (const auto& [path, method] : aSchema.Methods()) {
    if (method.kind != schema::Kind::kLookup || !method.idempotent) {
      continue;
    }
    m_methods[path].cost = CostOf(method);
  }
}

void
HedgePolicy::RecordLatency(std::string_view aPath, Duration aLatency)
{
  const auto found = m_methods.find(aPath);
  if (found != m_methods.end()) {
    found->second.latency.Record(aLatency);
  }
}

std::optional<Duration>
HedgePolicy::Delay(std::string_view aPath) const
{
  const auto found = m_methods.find(aPath);
  if (found == m_methods.end()) {
    return std::nullopt;
  }
  return found->second.latency.P95();
}

std::optional<AttemptGrant>
HedgePolicy::TryHedge(std::string_view aPath,
                      Duration aElapsed,
                      AttemptLedger& aLedger,
                      TimePoint aNow)
{
  const std::optional<Duration> delay = Delay(aPath);
  if (!delay || aElapsed < *delay) {
    return std::nullopt;
  }
  std::optional<AttemptGrant> grant =
    aLedger.StartRetry(m_methods.find(aPath)->second.cost);
  if (grant && !m_ratio.TryTake(aNow)) {
    aLedger.CancelUnsent(*grant);
    return std::nullopt;
  }
  return grant;
}

} // namespace wagtailbend::attempts
