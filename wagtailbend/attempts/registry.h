// The requests that run at this daemon's target, keyed by the request id that
// the target sends as `wb-parent` with its downstream calls.
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

/// A request that runs at the target. The deadline and priority are fixed at
/// Start.
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

/// Thread-safe. Ids are random, so threads rarely contend for the same shard.
class RequestRegistry
{
public:
  /// Adds a running request. If the id already runs here (a retry or hedge that
  /// reached the same target), adds the budget to the existing ledger and keeps
  /// the first deadline and priority. Every Start requires one Finish.
  std::shared_ptr<RunningRequest> Start(const RequestId& aId,
                                        uint32_t aBudget,
                                        const std::vector<CallCost>& aCalls,
                                        TimePoint aDeadline,
                                        uint32_t aPriority);

  /// Returns the running request, or nullptr if there is none.
  std::shared_ptr<RunningRequest> Find(const RequestId& aId) const;

  /// Ends one run. Returns the unspent attempts if it was the last run with
  /// this id, otherwise 0. The last run closes the ledger, so that a late call
  /// of the target cannot spend attempts that were returned to the caller.
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

  static size_t ShardIndex(const RequestId& aId);

  std::array<Shard, kShardCount> m_shards;
};

} // namespace wagtailbend::attempts
