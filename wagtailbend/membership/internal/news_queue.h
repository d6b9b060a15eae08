// Keys of updates to be piggybacked, least-sent first, each a limited number
// of times.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace wagtailbend::membership::internal {

class NewsQueue
{
public:
  enum class Visit : uint8_t
  {
    kSent,
    kNoRoom,
    kGone,
  };

  /// Queues aKey, or restarts its count if it is queued. Urgent keys come
  /// before all others.
  void Put(const std::string& aKey, bool aUrgent = false);
  /// Offers the keys in order until aVisit has refused kMaxRefused of them.
  /// A key that was sent aMaxSends times, or is gone, is dropped.
  void Take(uint32_t aMaxSends,
            const std::function<Visit(const std::string&)>& aVisit);
  bool IsEmpty() const { return m_order.empty(); }

private:
  /// Rank of each key: the number of sends, plus kOrdinary if not urgent.
  std::map<std::string, uint32_t> m_ranks;
  std::set<std::pair<uint32_t, std::string>> m_order;
};

} // namespace wagtailbend::membership::internal
