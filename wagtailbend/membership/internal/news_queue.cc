#include "wagtailbend/membership/internal/news_queue.h"

#include <vector>

namespace wagtailbend::membership::internal {
namespace {

// After a few updates that do not fit the datagram counts as full.
constexpr int kMaxRefused = 3;

} // namespace

void
NewsQueue::Put(const std::string& aKey)
{
  const auto [entry, added] = m_sends.try_emplace(aKey, 0);
  if (!added) {
    m_order.erase({ entry->second, aKey });
    entry->second = 0;
  }
  m_order.emplace(0, aKey);
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
    if (visit == Visit::kSent && item->first + 1 < aMaxSends) {
      taken.emplace_back(item->first + 1, item->second);
    } else {
      m_sends.erase(item->second);
    }
    item = m_order.erase(item);
  }
  for (auto& item : taken) {
    m_sends[item.second] = item.first;
    m_order.insert(std::move(item));
  }
}

} // namespace wagtailbend::membership::internal
