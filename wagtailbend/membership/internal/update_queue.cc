#include "wagtailbend/membership/internal/update_queue.h"

#include <vector>

namespace wagtailbend::membership::internal {
namespace {

// After this many updates that do not fit, the datagram is considered full.
constexpr int kMaxRejectedKeys = 3;
// Added to the rank of keys that are not urgent. Greater than any send count.
constexpr uint32_t kNonUrgentRank = 1U << 20U;

} // namespace

void
UpdateQueue::Put(const std::string& aKey, bool aUrgent)
{
  const uint32_t rank = aUrgent ? 0 : kNonUrgentRank;
  const auto [entry, added] = m_ranks.try_emplace(aKey, rank);
  if (!added) {
    m_keysByRank.erase({ entry->second, aKey });
    entry->second = rank;
  }
  m_keysByRank.emplace(rank, aKey);
}

void
UpdateQueue::SendKeys(
  uint32_t aMaxSends,
  const std::function<SendResult(const std::string&)>& aSend)
{
  std::vector<std::pair<uint32_t, std::string>> requeued;
  int rejected = 0;
  for (auto item = m_keysByRank.begin();
       item != m_keysByRank.end() && rejected < kMaxRejectedKeys;) {
    const SendResult result = aSend(item->second);
    if (result == SendResult::kDoesNotFit) {
      ++rejected;
      ++item;
      continue;
    }
    if (result == SendResult::kSent &&
        item->first % kNonUrgentRank + 1 < aMaxSends) {
      requeued.emplace_back(item->first + 1, item->second);
    } else {
      m_ranks.erase(item->second);
    }
    item = m_keysByRank.erase(item);
  }
  for (auto& item : requeued) {
    m_ranks[item.second] = item.first;
    m_keysByRank.insert(std::move(item));
  }
}

} // namespace wagtailbend::membership::internal
