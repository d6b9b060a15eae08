// Tracks granted orders at the daemon whose target runs them, so that each
// ticket starts at most once per daemon incarnation.
//
//   switch (table.OnGrant(ticket, addressedDaemon, now)) {
//     case GrantDecision::kAccepted: Enqueue(); ...
//   }
//   if (table.Start(ticket)) { SendToTarget(); }

#pragma once

#include <deque>
#include <unordered_map>

#include "wagtailbend/base/time.h"
#include "wagtailbend/orders/ticket.h"

namespace wagtailbend::orders {

/// State of a ticket at the target's daemon, stored in two bits.
enum class ExecutorState : uint8_t
{
  kNone,
  /// Granted, but not yet sent to the target.
  kAccepted,
  /// Sent to the target, or about to be. Final.
  kStarted,
  /// Not started and never will be. Final.
  kTombstone,
};

/// Response to a grant or to ConfirmNotStarted.
enum class GrantDecision : uint8_t
{
  /// Recorded; the order may be queued for admission and then started.
  kAccepted,
  /// Not started and never will be: the home may grant it elsewhere.
  kNotStarted,
  /// Already accepted or started through an earlier copy of the grant. The
  /// outcome is unknown.
  kDuplicate,
  /// Addressed to another incarnation. What that incarnation did is unknown.
  kStaleIncarnation,
  /// The record may have been evicted. The outcome is unknown.
  kUnknown,
};

struct ExecutorLimits
{
  /// Age at which a block's record is evicted. Twice HomeLimits::blockLifetime,
  /// so that the home has expired the block by then.
  Duration recordRetention = std::chrono::minutes(20);
  /// Maximum number of block records; beyond it the oldest is evicted.
  size_t maxBlocks = 262144;
  /// Maximum number of home incarnations over the table's lifetime. They are
  /// never evicted, because a grant from an evicted home could be accepted
  /// twice. 690 daemons with 48 restarts a day reach this limit after 10
  /// months.
  size_t maxHomes = 16384;
};

/// Memory is bounded by ExecutorLimits. Evicting a block raises the home's
/// watermark. Grants for blocks below it that have no record get kUnknown:
/// eviction can lose an outcome but never allows a second run.
/// Not thread-safe: callers serialize all access. Copyable.
class ExecutorTable
{
public:
  explicit ExecutorTable(DaemonId aSelf, ExecutorLimits aLimits = {});

  /// Records a grant addressed to aAddressed. Must be called before the order
  /// is processed in any other way.
  GrantDecision OnGrant(const Ticket& aTicket,
                        const DaemonId& aAddressed,
                        TimePoint aNow);
  /// Marks the order as started. Returns true at most once per ticket; on false
  /// the order must not be sent to the target. Must be called before sending.
  [[nodiscard]] bool Start(const Ticket& aTicket);
  /// Records that an accepted order was rejected before it started. Returns
  /// true if the ticket is now a tombstone, so that `not-run` may be reported.
  [[nodiscard]] bool RejectBeforeStart(const Ticket& aTicket);
  /// Handles ConfirmNotStarted from the home. kNotStarted confirms and records
  /// a tombstone, which also prevents a queued order from starting. kDuplicate
  /// means that the order has started.
  GrantDecision ConfirmNotStarted(const Ticket& aTicket,
                                  const DaemonId& aAddressed,
                                  TimePoint aNow);
  /// Returns the recorded state, or kNone if there is no record (also after
  /// eviction).
  ExecutorState StateOf(const Ticket& aTicket) const;
  /// Evicts records that are older than the retention period.
  void Evict(TimePoint aNow);

  const DaemonId& Self() const { return m_self; }
  /// Returns the number of blocks with a record.
  size_t BlockCount() const { return m_recordsByAge.size(); }

private:
  using States = PackedStates<ExecutorState>;

  struct Home
  {
    std::unordered_map<uint64_t, States> blocks;
    /// The record of any block below this number may have been evicted.
    uint64_t evictionWatermark = 0;
  };

  struct BlockRecord
  {
    uint32_t homeIndex;
    uint64_t block;
    TimePoint recordedAt;
  };

  struct StateLookup
  {
    GrantDecision rejection = GrantDecision::kAccepted;
    States* states = nullptr;
  };

  struct DaemonIdHash
  {
    size_t operator()(const DaemonId& aId) const noexcept
    {
      return static_cast<size_t>(aId.incarnation);
    }
  };

  const States* FindStates(const Ticket& aTicket) const;
  States* FindStates(const Ticket& aTicket);
  StateLookup FindOrInsertStates(const Ticket& aTicket,
                                 const DaemonId& aAddressed,
                                 TimePoint aNow);
  void EvictOldest();

  DaemonId m_self;
  ExecutorLimits m_limits;
  std::unordered_map<DaemonId, uint32_t, DaemonIdHash> m_homeIndexes;
  std::deque<Home> m_homes;
  std::deque<BlockRecord> m_recordsByAge;
};

} // namespace wagtailbend::orders
