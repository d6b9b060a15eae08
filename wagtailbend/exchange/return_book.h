// Remembers rejected customers, so that they are known when they come back.
//
//   book.NoteRejected(fingerprint, firstArrival, returnAfter, now);
//   if (auto first = book.TakeReturn(fingerprint, now)) { ... }
//
// Answers a surge in which customers are told when to come back: one who comes
// as told goes before new ones instead of being rejected a second time, and the
// time to the latency objective counts from the first arrival.

#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <unordered_map>

#include "wagtailbend/base/time.h"

namespace wagtailbend::exchange {

/// Returned customers who can still be served in time compete with the better
/// half of the ranks.
constexpr uint32_t
RankOfReturned(uint32_t aRank)
{
  return aRank / 2;
}

/// Not thread-safe.
class ReturnBook
{
public:
  /// aFirst: when the customer came first. aAfter: when it was told to return.
  void NoteRejected(uint64_t aFingerprint,
                    TimePoint aFirst,
                    Duration aAfter,
                    TimePoint aNow);
  /// Forgets the customer and returns its first arrival, if it is known.
  std::optional<TimePoint> TakeReturn(uint64_t aFingerprint, TimePoint aNow);
  size_t Size() const { return m_entries.size(); }

private:
  struct Entry
  {
    TimePoint first;
    TimePoint expires;
  };
  struct Expiry
  {
    TimePoint at;
    uint64_t fingerprint = 0;
    bool operator>(const Expiry& aOther) const { return at > aOther.at; }
  };

  void Expire(TimePoint aNow);

  std::unordered_map<uint64_t, Entry> m_entries;
  std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> m_expiries;
};

} // namespace wagtailbend::exchange
