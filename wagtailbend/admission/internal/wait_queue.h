// The requests that wait for a slot of one target.
//
// Not thread-safe: guarded by the lock of the target's Admission.

#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>

#include "wagtailbend/base/error.h"
#include "wagtailbend/base/time.h"
#include "wagtailbend/schema/schema.h"

namespace wagtailbend::admission::internal {

/// Order in the queue: the lowest key goes first.
struct QueueKey
{
  uint32_t rank = 0;
  TimePoint deadline;
  uint64_t sequence = 0;

  bool operator==(const QueueKey&) const = default;
  bool operator<(const QueueKey& aOther) const
  {
    return std::tie(rank, deadline, sequence) <
           std::tie(aOther.rank, aOther.deadline, aOther.sequence);
  }
};

inline constexpr uint32_t kRankCount = 30;

/// Orders first, then nested calls, then new requests; by priority in each.
/// Orders precede nested calls because R2 has them rejected last: nested calls
/// of lower priority alone could otherwise use every slot that becomes free.
uint32_t
RankOf(bool aOrder, bool aNested, uint32_t aPriority);

struct QueueEntry
{
  void* waiter = nullptr;
  uint32_t method = 0;
  schema::Kind kind = schema::Kind::kLookup;
  /// The request leaves the queue as rejected at this time.
  TimePoint expiry;
  /// Kind of that rejection.
  ErrorKind expiryKind = ErrorKind::kOverloaded;
};

class WaitQueue
{
public:
  using Map = std::map<QueueKey, QueueEntry>;

  bool Empty() const { return m_entries.empty(); }
  size_t Size() const { return m_entries.size(); }
  /// Precondition: not empty.
  const Map::value_type& Front() const { return *m_entries.begin(); }

  void Insert(const QueueKey& aKey, const QueueEntry& aEntry);
  /// Removes and returns the entry, or nullopt if it is not in the queue.
  std::optional<QueueEntry> Remove(const QueueKey& aKey);
  /// Removes and returns an entry whose expiry is at or before aNow.
  std::optional<QueueEntry> TakeExpired(TimePoint aNow);
  std::optional<TimePoint> NextExpiry() const;
  /// Number of entries with rank aRank or lower.
  size_t CountAhead(uint32_t aRank) const;

private:
  Map m_entries;
  std::set<std::pair<TimePoint, QueueKey>> m_expiries;
  std::array<uint32_t, kRankCount> m_counts{};
};

} // namespace wagtailbend::admission::internal
