#include "wagtailbend/attempts/hedge.h"

#include <algorithm>
#include <cmath>

namespace wagtailbend::attempts {
namespace {

constexpr double kFirstBucketNs = 10'000.0;
constexpr double kBucketsPerDoubling = 4.0;
// With fewer samples the p95 would depend on fewer than five responses.
constexpr uint32_t kMinSamples = 100;
// All buckets are halved at this count, so that the p95 adapts to a change of
// the latency within a few thousand responses.
constexpr uint32_t kHalvingCount = 4096;

} // namespace

void
LatencyQuantile::Record(Duration aLatency)
{
  const double ratio = static_cast<double>(aLatency.count()) / kFirstBucketNs;
  const double position =
    ratio <= 1.0 ? 0.0 : std::ceil(std::log2(ratio) * kBucketsPerDoubling);
  const size_t index = std::min(static_cast<size_t>(position), kBuckets - 1);
  m_counts[index].fetch_add(1, std::memory_order_relaxed);
  if (m_total.fetch_add(1, std::memory_order_relaxed) + 1 != kHalvingCount) {
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
  if (total < kMinSamples) {
    return std::nullopt;
  }
  uint64_t cumulative = 0;
  size_t index = 0;
  for (; index + 1 < kBuckets; index++) {
    cumulative += m_counts[index].load(std::memory_order_relaxed);
    if (cumulative * 100 >= total * 95) {
      break;
    }
  }
  const double upperBoundNs =
    kFirstBucketNs *
    std::exp2(static_cast<double>(index) / kBucketsPerDoubling);
  return Duration(static_cast<int64_t>(upperBoundNs));
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
  if (grant && !m_ratioLimiter.TryAcquire(aNow)) {
    aLedger.CancelUnsent(*grant);
    return std::nullopt;
  }
  return grant;
}

} // namespace wagtailbend::attempts
