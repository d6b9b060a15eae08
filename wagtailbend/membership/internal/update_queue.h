// Queue of the keys of updates to piggyback on datagrams. Keys that were sent
// least come first, and each is sent a limited number of times.

#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace wagtailbend::membership::internal {

class UpdateQueue
{
public:
  enum class SendResult : uint8_t
  {
    kSent,
    kDoesNotFit,
    kRemoved,
  };

  /// Queues aKey, or resets its send count if it is already queued. Urgent keys
  /// come before all others.
  void Put(const std::string& aKey, bool aUrgent = false);
  /// Passes the keys to aSend in order until kMaxRejectedKeys of them did not
  /// fit. Keys that were sent aMaxSends times or whose update no longer exists
  /// are removed.
  void SendKeys(uint32_t aMaxSends,
                const std::function<SendResult(const std::string&)>& aSend);
  bool IsEmpty() const { return m_keysByRank.empty(); }

private:
  /// Rank of each key: the number of sends, plus kNonUrgentRank if not urgent.
  std::map<std::string, uint32_t> m_ranks;
  std::set<std::pair<uint32_t, std::string>> m_keysByRank;
};

} // namespace wagtailbend::membership::internal
