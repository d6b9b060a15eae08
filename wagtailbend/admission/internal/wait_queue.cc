#include "wagtailbend/admission/internal/wait_queue.h"

#include <algorithm>
#include <numeric>

#include "wagtailbend/schema/schema.h"

namespace wagtailbend::admission::internal {

uint32_t
RankOf(bool aOrder, bool aNested, uint32_t aPriority)
{
  constexpr uint32_t kPriorityCount = schema::kMaxPriority + 1;
  static_assert(3 * kPriorityCount == kRankCount);
  const uint32_t group = aOrder ? 0 : (aNested ? 1 : 2);
  return group * kPriorityCount + schema::kMaxPriority -
         std::min(aPriority, schema::kMaxPriority);
}

void
WaitQueue::Insert(const QueueKey& aKey, const QueueEntry& aEntry)
{
  m_entries.emplace(aKey, aEntry);
  m_expiries.emplace(aEntry.expiry, aKey);
  m_countByRank[aKey.rank]++;
}

std::optional<QueueEntry>
WaitQueue::Remove(const QueueKey& aKey)
{
  const auto found = m_entries.find(aKey);
  if (found == m_entries.end()) {
    return std::nullopt;
  }
  const QueueEntry entry = found->second;
  m_entries.erase(found);
  m_expiries.erase({ entry.expiry, aKey });
  m_countByRank[aKey.rank]--;
  return entry;
}

std::optional<QueueEntry>
WaitQueue::PopExpired(TimePoint aNow)
{
  if (m_expiries.empty() || m_expiries.begin()->first > aNow) {
    return std::nullopt;
  }
  return Remove(QueueKey(m_expiries.begin()->second));
}

std::optional<TimePoint>
WaitQueue::NextExpiry() const
{
  if (m_expiries.empty()) {
    return std::nullopt;
  }
  return m_expiries.begin()->first;
}

size_t
WaitQueue::CountUpToRank(uint32_t aRank) const
{
  return std::accumulate(
    m_countByRank.begin(), m_countByRank.begin() + aRank + 1, size_t{ 0 });
}

} // namespace wagtailbend::admission::internal
