// The record of granted orders at the daemon of the target that runs them.
// It lets each ticket start at most once in one daemon incarnation.
//
//   switch (table.OnGrant(ticket, addressedDaemon, now)) {
//     case GrantDecision::kAccepted: Enqueue(); ...
//   }
//   if (table.Start(ticket)) { HandOverToTarget(); }

#pragma once

#include <deque>
#include <unordered_map>

#include "wagtailbend/base/time.h"
#include "wagtailbend/orders/ticket.h"

namespace wagtailbend::orders {

/// What a target's daemon knows about a ticket. Two bits.
enum class ExecutorState : uint8_t
{
  kNone,
  /// Granted and not yet handed to the target.
  kAccepted,
  /// Handed to the target, or about to be. Final.
  kStarted,
  /// Never started and never will be. Final.
  kTombstone,
};

/// The reply to a grant.
enum class GrantDecision : uint8_t
{
  /// Recorded; the order may wait for admission and then be started.
  kAccepted,
  /// Not started and never will be: the home may grant it elsewhere.
  kNotStarted,
  /// Already accepted or started by an earlier copy of the grant. Proves
  /// nothing about the outcome.
  kDuplicate,
  /// Addressed to another incarnation. Proves nothing about that one.
  kStaleIncarnation,
  /// The record may have been evicted. Proves nothing about the outcome.
  kUnknown,
};

struct ExecutorLimits
{
  /// Age at which the record of a block is evicted. Twice the lifetime of a
  /// block, so that the home has expired the block by then.
  Duration recordRetention = std::chrono::minutes(20);
  /// Records of blocks kept; the oldest is evicted above this count.
  size_t maxBlocks = 262144;
  /// Home incarnations ever seen. They are never evicted, because the grants
  /// of a forgotten home could be accepted twice. 690 daemons with 48 restarts
  /// a day reach this count after 10 months.
  size_t maxHomes = 16384;
};

/// Memory is bounded by ExecutorLimits. Eviction raises a watermark for the
/// home, at or below which grants for blocks without a record are refused as
/// kUnknown, so it costs answers but never a second run.
/// Not thread-safe: callers serialize all access. Copyable.
class ExecutorTable
{
public:
  explicit ExecutorTable(DaemonId aSelf, ExecutorLimits aLimits = {});

  /// Records a grant addressed to aAddressed. Call before anything else is
  /// done with the order.
  GrantDecision OnGrant(const Ticket& aTicket,
                        const DaemonId& aAddressed,
                        TimePoint aNow);
  /// Marks the order as handed over. Returns true at most once per ticket; on
  /// false the order must not be handed over. Call before handing over.
  [[nodiscard]] bool Start(const Ticket& aTicket);
  /// Records that an accepted order was rejected before its start. Returns
  /// true if the ticket is now a tombstone, so that the reply `not-run` is
  /// correct.
  [[nodiscard]] bool RejectBeforeStart(const Ticket& aTicket);
  /// Handles ConfirmNotStarted from the home. kNotStarted confirms and leaves
  /// a tombstone; an accepted order is thereby withdrawn from the queue.
  /// kDuplicate says that the order has started.
  GrantDecision ConfirmNotStarted(const Ticket& aTicket,
                                  const DaemonId& aAddressed,
                                  TimePoint aNow);
  /// Returns the recorded state; kNone also after eviction.
  ExecutorState StateOf(const Ticket& aTicket) const;
  /// Evicts records that are older than the retention period.
  void Evict(TimePoint aNow);

  const DaemonId& Self() const { return m_self; }
  /// Number of blocks with a record.
  size_t BlockCount() const { return m_order.size(); }

private:
  using States = PackedStates<ExecutorState>;

  struct Home
  {
    std::unordered_map<uint64_t, States> blocks;
    /// Every block number below this one may have had a record evicted.
    uint64_t firstSafeBlock = 0;
  };

  struct Recorded
  {
    uint32_t homeIndex;
    uint64_t block;
    TimePoint at;
  };

  struct Slot
  {
    GrantDecision refusal = GrantDecision::kAccepted;
    States* states = nullptr;
  };

  struct DaemonIdHash
  {
    size_t operator()(const DaemonId& aId) const noexcept
    {
      return static_cast<size_t>(aId.incarnation);
    }
  };

  const States* Find(const Ticket& aTicket) const;
  States* Find(const Ticket& aTicket);
  Slot FindOrInsert(const Ticket& aTicket,
                    const DaemonId& aAddressed,
                    TimePoint aNow);
  void EvictOldest();

  DaemonId m_self;
  ExecutorLimits m_limits;
  std::unordered_map<DaemonId, uint32_t, DaemonIdHash> m_homeIndexes;
  std::deque<Home> m_homes;
  std::deque<Recorded> m_order;
};

} // namespace wagtailbend::orders
