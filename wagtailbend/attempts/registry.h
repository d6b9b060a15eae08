// The requests that run at this daemon's target, found by the request id that
// the target names as `wb-parent` on its downstream calls.
//
//   registry.Start(id, budget, calls, deadline, priority);
//   std::shared_ptr<RunningRequest> parent = registry.Find(parentId);
//   uint32_t attemptsLeft = registry.Finish(id);

#pragma once

#include <array>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "wagtailbend/attempts/ledger.h"
#include "wagtailbend/base/ids.h"
#include "wagtailbend/base/time.h"

namespace wagtailbend::attempts {

/// deadline and priority do not change after Start.
struct RunningRequest
{
  RunningRequest(uint32_t aBudget,
                 const std::vector<CallCost>& aCalls,
                 TimePoint aDeadline,
                 uint32_t aPriority)
    : ledger(aBudget, aCalls)
    , deadline(aDeadline)
    , priority(aPriority)
  {
  }

  AttemptLedger ledger;
  const TimePoint deadline;
  const uint32_t priority;
};

/// Thread-safe. Ids are random, so two threads rarely meet at one shard's lock.
class RequestRegistry
{
public:
  /// Adds a running request. If the id already runs here (a retry or hedge that
  /// reached the same target), the budget is added to the existing ledger and
  /// the first deadline and priority stay. Every Start needs one Finish.
  std::shared_ptr<RunningRequest> Start(const RequestId& aId,
                                        uint32_t aBudget,
                                        const std::vector<CallCost>& aCalls,
                                        TimePoint aDeadline,
                                        uint32_t aPriority);

  /// Returns the running request, or nullptr.
  std::shared_ptr<RunningRequest> Find(const RequestId& aId) const;

  /// Ends one run. Returns the unspent attempts if it was the last run with
  /// this id, otherwise 0. The ledger is closed then, so a late call of the
  /// target cannot spend attempts that were returned to the caller.
  uint32_t Finish(const RequestId& aId);

  size_t Size() const;

private:
  struct Entry
  {
    std::shared_ptr<RunningRequest> request;
    uint32_t runs = 0;
  };
  struct alignas(64) Shard
  {
    mutable std::mutex mutex;
    std::unordered_map<RequestId, Entry> entries;
  };
  static constexpr size_t kShardCount = 64;

  static size_t ShardOf(const RequestId& aId);

  std::array<Shard, kShardCount> m_shards;
};

} // namespace wagtailbend::attempts
