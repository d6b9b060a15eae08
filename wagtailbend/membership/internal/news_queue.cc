#include "wagtailbend/membership/internal/news_queue.h"

#include <vector>

namespace wagtailbend::membership::internal {
namespace {

// After a few updates that do not fit the datagram counts as full.
constexpr int kMaxRefused = 3;
// Above any number of sends.
constexpr uint32_t kOrdinary = 1U << 20U;

} // namespace

void
NewsQueue::Put(const std::string& aKey, bool aUrgent)
{
  const uint32_t rank = aUrgent ? 0 : kOrdinary;
  const auto [entry, added] = m_ranks.try_emplace(aKey, rank);
  if (!added) {
    m_order.erase({ entry->second, aKey });
    entry->second = rank;
  }
  m_order.emplace(rank, aKey);
}

void
NewsQueue::Take(uint32_t aMaxSends,
                const std::function<Visit(const std::string&)>& aVisit)
{
  std::vector<std::pair<uint32_t, std::string>> taken;
  int refused = 0;
  for (auto item = m_order.begin();
       item != m_order.end() && refused < kMaxRefused;) {
    const Visit visit = aVisit(item->second);
    if (visit == Visit::kNoRoom) {
      ++refused;
      ++item;
      continue;
    }
    if (visit == Visit::kSent && item->first % kOrdinary + 1 < aMaxSends) {
      taken.emplace_back(item->first + 1, item->second);
    } else {
      m_ranks.erase(item->second);
    }
    item = m_order.erase(item);
  }
  for (auto& item : taken) {
    m_ranks[item.second] = item.first;
    m_order.insert(std::move(item));
  }
}

} // namespace wagtailbend::membership::internal
