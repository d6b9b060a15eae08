#include "wagtailbend/admission/threshold_table.h"

#include <algorithm>
#include <charconv>
#include <mutex>

#include <fmt/format.h>

#include "wagtailbend/admission/internal/threshold_controller.h"

namespace wagtailbend::admission {
namespace {

constexpr Duration kHoldTime = std::chrono::milliseconds(500);
constexpr Duration kDecayTime = std::chrono::milliseconds(1500);
// A target that sent no response for this long is ignored for its service: it
// may have exited, and its decayed threshold would admit all requests.
constexpr Duration kExpiryTime = std::chrono::seconds(10);
constexpr uint64_t kRequestsPerProbe = 50;

Duration
Age(int64_t aUpdatedNs, TimePoint aNow)
{
  return aNow.time_since_epoch() - Duration(aUpdatedNs);
}

bool
Allows(double aThreshold,
       schema::Kind aKind,
       uint32_t aPriority,
       bool aNested,
       Rng& aRng)
{
  if (aNested || aKind == schema::Kind::kOrder) {
    return true;
  }
  return !ThresholdRejects(aPriority, aThreshold, aRng) ||
         UniformBelow(aRng, kRequestsPerProbe) == 0;
}

} // namespace

std::string
FormatThreshold(double aThreshold)
{
  return fmt::format("{:.2f}", aThreshold);
}

std::optional<double>
ParseThreshold(std::string_view aText)
{
  double value = 0;
  const char* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, value);
  // The negated comparison also rejects NaN.
  if (error != std::errc{} || rest != end ||
      !(value >= 0 && value <= schema::kMaxPriority)) {
    return std::nullopt;
  }
  return value;
}

ThresholdTable::Shard&
ThresholdTable::ShardFor(std::string_view aService)
{
  return m_shards[std::hash<std::string_view>{}(aService) % kShardCount];
}

const ThresholdTable::Shard&
ThresholdTable::ShardFor(std::string_view aService) const
{
  return m_shards[std::hash<std::string_view>{}(aService) % kShardCount];
}

void
ThresholdTable::StoreThreshold(ThresholdEntry& aCell,
                               double aThreshold,
                               TimePoint aNow)
{
  aCell.threshold.store(aThreshold, std::memory_order_relaxed);
  aCell.updatedNs.store(aNow.time_since_epoch().count(),
                        std::memory_order_relaxed);
}

double
ThresholdTable::DecayedThreshold(const ThresholdEntry& aCell, TimePoint aNow)
{
  const Duration age =
    Age(aCell.updatedNs.load(std::memory_order_relaxed), aNow);
  const double threshold = aCell.threshold.load(std::memory_order_relaxed);
  if (age <= kHoldTime) {
    return threshold;
  }
  const double decayed = std::chrono::duration<double>(age - kHoldTime) /
                         std::chrono::duration<double>(kDecayTime);
  return threshold * std::max(0.0, 1.0 - decayed);
}

void
ThresholdTable::EraseStale(TargetMap& aTargets, TimePoint aNow)
{
  std::erase_if(aTargets, [&](const auto& aEntry) {
    return Age(aEntry.second->updatedNs.load(), aNow) > kExpiryTime;
  });
}

void
ThresholdTable::Update(std::string_view aService,
                       std::string_view aTarget,
                       double aThreshold,
                       TimePoint aNow)
{
  Shard& shard = ShardFor(aService);
  {
    const std::shared_lock lock(shard.mutex);
    const auto service = shard.services.find(aService);
    if (service != shard.services.end()) {
      const auto target = service->second.find(aTarget);
      if (target != service->second.end()) {
        StoreThreshold(*target->second, aThreshold, aNow);
        return;
      }
    }
  }
  const std::unique_lock lock(shard.mutex);
  TargetMap& targets = shard.services[std::string(aService)];
  EraseStale(targets, aNow);
  std::unique_ptr<ThresholdEntry>& entry = targets[std::string(aTarget)];
  if (entry == nullptr) {
    entry = std::make_unique<ThresholdEntry>();
  }
  StoreThreshold(*entry, aThreshold, aNow);
}

double
ThresholdTable::TargetThreshold(std::string_view aService,
                                std::string_view aTarget,
                                TimePoint aNow) const
{
  const Shard& shard = ShardFor(aService);
  const std::shared_lock lock(shard.mutex);
  const auto service = shard.services.find(aService);
  if (service == shard.services.end()) {
    return 0;
  }
  const auto target = service->second.find(aTarget);
  return target == service->second.end()
           ? 0
           : DecayedThreshold(*target->second, aNow);
}

double
ThresholdTable::ServiceThreshold(std::string_view aService,
                                 TimePoint aNow) const
{
  const Shard& shard = ShardFor(aService);
  const std::shared_lock lock(shard.mutex);
  const auto service = shard.services.find(aService);
  if (service == shard.services.end()) {
    return 0;
  }
  std::optional<double> lowest;
  for (const auto& [name, entry] : service->second) {
    if (Age(entry->updatedNs.load(std::memory_order_relaxed), aNow) >
        kExpiryTime) {
      continue;
    }
    const double threshold = DecayedThreshold(*entry, aNow);
    lowest = std::min(lowest.value_or(threshold), threshold);
  }
  return lowest.value_or(0);
}

bool
ThresholdTable::AllowsService(std::string_view aService,
                              schema::Kind aKind,
                              uint32_t aPriority,
                              bool aNested,
                              TimePoint aNow,
                              Rng& aRng) const
{
  return Allows(
    ServiceThreshold(aService, aNow), aKind, aPriority, aNested, aRng);
}

bool
ThresholdTable::AllowsTarget(std::string_view aService,
                             std::string_view aTarget,
                             schema::Kind aKind,
                             uint32_t aPriority,
                             bool aNested,
                             TimePoint aNow,
                             Rng& aRng) const
{
  return Allows(
    TargetThreshold(aService, aTarget, aNow), aKind, aPriority, aNested, aRng);
}

} // namespace wagtailbend::admission
