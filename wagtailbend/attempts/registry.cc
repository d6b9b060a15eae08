#include "wagtailbend/attempts/registry.h"

namespace wagtailbend::attempts {

size_t
RequestRegistry::ShardIndex(const RequestId& aId)
{
  // The map within a shard hashes with the low bits of the xor of both words,
  // so the shard is selected by other bits.
  return static_cast<size_t>(aId.high >> 32) % kShardCount;
}

std::shared_ptr<RunningRequest>
RequestRegistry::Start(const RequestId& aId,
                       uint32_t aBudget,
                       const std::vector<CallCost>& aCalls,
                       TimePoint aDeadline,
                       uint32_t aPriority)
{
  auto request =
    std::make_shared<RunningRequest>(aBudget, aCalls, aDeadline, aPriority);
  Shard& shard = m_shards[ShardIndex(aId)];
  const std::lock_guard lock(shard.mutex);
  Entry& entry = shard.entries[aId];
  entry.runs++;
  if (entry.request == nullptr) {
    entry.request = std::move(request);
  } else {
    entry.request->ledger.AddBudget(aBudget);
  }
  return entry.request;
}

std::shared_ptr<RunningRequest>
RequestRegistry::Find(const RequestId& aId) const
{
  const Shard& shard = m_shards[ShardIndex(aId)];
  const std::lock_guard lock(shard.mutex);
  const auto found = shard.entries.find(aId);
  return found == shard.entries.end() ? nullptr : found->second.request;
}

uint32_t
RequestRegistry::Finish(const RequestId& aId)
{
  std::shared_ptr<RunningRequest> last;
  {
    Shard& shard = m_shards[ShardIndex(aId)];
    const std::lock_guard lock(shard.mutex);
    const auto found = shard.entries.find(aId);
    if (found == shard.entries.end() || --found->second.runs > 0) {
      return 0;
    }
    last = std::move(found->second.request);
    shard.entries.erase(found);
  }
  return last->ledger.Close();
}

size_t
RequestRegistry::Size() const
{
  size_t total = 0;
  for (const Shard& shard : m_shards) {
    const std::lock_guard lock(shard.mutex);
    total += shard.entries.size();
  }
  return total;
}

} // namespace wagtailbend::attempts
