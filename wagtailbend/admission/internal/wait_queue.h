// Priority queue of the requests that wait for a slot of one target.
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

/// Sort key of the queue; the lowest key is admitted first.
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

/// Returns the rank of a request: orders first, then nested calls, then new
/// requests, each by descending priority. Orders precede nested calls because
/// requirement R2 demands that orders are rejected last; otherwise nested calls
/// of lower priority could use every slot that becomes free.
uint32_t
RankOf(bool aOrder, bool aNested, uint32_t aPriority);

struct QueueEntry
{
  void* waiter = nullptr;
  uint32_t method = 0;
  schema::Kind kind = schema::Kind::kLookup;
  /// The request is rejected if it is still queued at this time.
  TimePoint expiry;
  /// Error kind of that rejection.
  ErrorKind expiryKind = ErrorKind::kOverloaded;
};

class WaitQueue
{
public:
  using EntryMap = std::map<QueueKey, QueueEntry>;

  bool Empty() const { return m_entries.empty(); }
  size_t Size() const { return m_entries.size(); }
  /// Precondition: not empty.
  const EntryMap::value_type& Front() const { return *m_entries.begin(); }

  void Insert(const QueueKey& aKey, const QueueEntry& aEntry);
  /// Removes and returns the entry, or returns nullopt if it is not queued.
  std::optional<QueueEntry> Remove(const QueueKey& aKey);
  /// Removes and returns an entry that expires at or before aNow, or returns
  /// nullopt if there is none.
  std::optional<QueueEntry> PopExpired(TimePoint aNow);
  std::optional<TimePoint> NextExpiry() const;
  /// Returns the number of entries with rank aRank or lower.
  size_t CountUpToRank(uint32_t aRank) const;

private:
  EntryMap m_entries;
  std::set<std::pair<TimePoint, QueueKey>> m_expiries;
  std::array<uint32_t, kRankCount> m_countByRank{};
};

} // namespace wagtailbend::admission::internal
