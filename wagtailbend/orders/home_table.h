// The home's table of tickets: which orders were begun, where they were
// granted and how they ended. Only this table decides that an order may be
// dispatched.
//
//   HomeTable table(self);
//   TicketBlock block = TakeValue(table.IssueBlock(now));
//   BeginDecision begin = table.Begin(ticket, payloadHash, now);
//   if (begin.kind == BeginKind::kRun) {
//     Result<Grant> grant = table.GrantTo(ticket, targetDaemon);
//     ... send it, and on the reply:
//     table.OnOutcome(*grant, Ran{ response }, now);
//   }

#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <unordered_map>
#include <variant>
#include <vector>

#include "wagtailbend/base/result.h"
#include "wagtailbend/base/time.h"
#include "wagtailbend/orders/ticket.h"

namespace wagtailbend::orders {

/// The compact result of a ticket. Two bits; all but kOpen are final.
enum class TicketResult : uint8_t
{
  /// Not begun, or running.
  kOpen,
  /// Never dispatched, or confirmed as not started, and never will run.
  kNotRun,
  kRan,
  kUnknown,
};

struct StoredResponse
{
  /// gRPC status code.
  int status = 0;
  std::string bytes;

  bool operator==(const StoredResponse&) const = default;
};

using ResponsePtr = std::shared_ptr<const StoredResponse>;

struct TicketBlock
{
  DaemonId home;
  uint64_t block = 0;
  /// Tickets have the indexes [0, count).
  uint32_t count = 0;
  /// On the home's monotonic clock.
  TimePoint expiresAt;

  bool operator==(const TicketBlock&) const = default;
};

enum class BeginKind : uint8_t
{
  /// The caller owns the order and shall grant it or finish it as not run.
  kRun,
  /// The order is running: wait for its end, then call Begin again.
  kJoin,
  /// The order ran; its response is in BeginDecision::response.
  kReplay,
  /// The table was handed over: relay to BeginDecision::successor.
  kRelay,
  /// Answer with BeginDecision::error.
  kReject,
};

struct BeginDecision
{
  BeginKind kind = BeginKind::kReject;
  ResponsePtr response;
  DaemonId successor;
  Error error;
};

/// Permission for one target's daemon incarnation to run an order.
struct Grant
{
  Ticket ticket;
  DaemonId target;

  auto operator<=>(const Grant&) const = default;
};

/// The target ran the order and answered.
struct Ran
{
  StoredResponse response;
};
/// The target's daemon holds a tombstone: the order did not and will not run
/// there.
struct NotStarted
{};
/// Connection lost, stale incarnation, target failed, duplicate grant or
/// deadline: the order may have run.
struct MayHaveRun
{};
using Outcome = std::variant<Ran, NotStarted, MayHaveRun>;

enum class OutcomeEffect : uint8_t
{
  /// Late, duplicate or from a daemon that does not hold the grant.
  kIgnored,
  /// The order has its final result; answer everyone who waits for it.
  kFinished,
  /// The order may be granted to another target's daemon.
  kMayGrantAgain,
};

/// What is known about one ticket, for `Peer/LookupOrder`.
struct TicketStatus
{
  TicketResult result = TicketResult::kOpen;
  bool running = false;
  /// Holder of the grant; an empty name if there is none.
  DaemonId grantedTo;

  bool operator==(const TicketStatus&) const = default;
};

struct HomeLimits
{
  Duration blockLifetime = std::chrono::minutes(10);
  Duration responseRetention = std::chrono::seconds(60);
  /// Time for which compact results are kept after a block expired.
  Duration resultRetention = std::chrono::hours(24);
  size_t maxResponseBytes = size_t{ 64 } << 20;
  /// Blocks kept per home, expired ones included.
  size_t maxBlocks = 262144;
};

/// The content of a home table, as handed to a successor in the same failure
/// domain. Durations count from the export.
struct HandOverTable
{
  struct Block
  {
    PackedStates<TicketResult> results;
    /// Zero if the block has expired.
    Duration remaining{};

    bool operator==(const Block&) const = default;
  };
  struct Home
  {
    DaemonId id;
    uint64_t firstBlock = 0;
    std::vector<Block> blocks;

    bool operator==(const Home&) const = default;
  };
  struct Response
  {
    Ticket ticket;
    uint64_t payloadHash = 0;
    ResponsePtr response;
    Duration remaining{};

    bool operator==(const Response&) const = default;
  };

  /// Only this incarnation may import the table.
  DaemonId successor;
  std::vector<Home> homes;
  std::vector<Response> responses;

  bool operator==(const HandOverTable&) const = default;
};

/// Not thread-safe: callers serialize all access. Copyable. Uses no lease and
/// no other process's clock, so a pause of the process changes no decision.
class HomeTable
{
public:
  explicit HomeTable(DaemonId aSelf, HomeLimits aLimits = {});

  /// Issues a block of tickets. Errors: kDraining after Relinquish;
  /// kOverloaded if maxBlocks unexpired blocks are outstanding.
  Result<TicketBlock> IssueBlock(TimePoint aNow);

  /// Decides what to do with an order that arrived with aTicket. aPayloadHash
  /// covers method and payload; a ticket reused for another payload is
  /// kInvalidRequest, so that nobody gets the response to another order.
  /// Errors: kNotRun (expired or finished without a run; final),
  /// kAlreadyRan (ran; response no longer stored), kOutcomeUnknown (also for
  /// a home that this table does not hold), kInvalidRequest.
  BeginDecision Begin(const Ticket& aTicket,
                      uint64_t aPayloadHash,
                      TimePoint aNow);

  /// Grants a begun order to one daemon incarnation. Errors: kConflict if it
  /// is granted already, kDraining after Relinquish, kNotFound if it is not
  /// running.
  Result<Grant> GrantTo(const Ticket& aTicket, const DaemonId& aTarget);

  /// Records the outcome of a grant.
  OutcomeEffect OnOutcome(const Grant& aGrant,
                          Outcome aOutcome,
                          TimePoint aNow);

  /// Makes "not run" the final result of a ticket that is open, or begun and
  /// not granted. Required before anybody is told that the order was not run.
  /// Returns false, with no change, if the ticket is granted, has another
  /// result or was handed over: then "not run" must not be reported.
  [[nodiscard]] bool FinishNotRun(const Ticket& aTicket);

  /// First step of a planned stop: nothing is begun or granted any more.
  /// Begun orders without a grant end as not run and are returned so that
  /// their callers can be answered. Granted orders can still finish.
  std::vector<Ticket> Relinquish();

  /// Second step: returns the table for aSuccessor. From then on this table
  /// dispatches nothing and declares nothing as not run, whether or not the
  /// transfer arrives. Orders that are still granted are unknown to the
  /// successor. A repeated call for the same successor may be sent again;
  /// another successor is refused with kConflict, because the first one may
  /// have received the table. Calls Relinquish.
  Result<HandOverTable> Export(const DaemonId& aSuccessor, TimePoint aNow);

  /// Takes over a table. Repeated imports of a home change nothing. Errors:
  /// kStaleIncarnation if the table is for another incarnation, kDraining
  /// after Relinquish.
  Result<Done> Import(const HandOverTable& aTable, TimePoint aNow);

  /// Expires blocks, responses and compact results. Calling it late changes
  /// no answer, except that memory is released later.
  void Expire(TimePoint aNow);

  /// Returns what is known about aTicket, or nullopt if the table does not
  /// hold its block.
  std::optional<TicketStatus> Lookup(const Ticket& aTicket) const;

  const DaemonId& Self() const { return m_self; }
  bool IsRelinquished() const { return m_relinquished; }
  size_t RunningCount() const { return m_running.size(); }
  /// Bytes of the stored responses' payloads.
  size_t ResponseBytes() const { return m_responseBytes; }

private:
  struct Block
  {
    PackedStates<TicketResult> results;
    TimePoint expiresAt;
  };

  struct Home
  {
    DaemonId id;
    /// Number of the first block in `blocks`; earlier ones were evicted.
    uint64_t firstBlock = 0;
    /// Blocks below this number have expired.
    uint64_t firstUnexpired = 0;
    std::deque<Block> blocks;

    uint64_t EndBlock() const { return firstBlock + blocks.size(); }
  };

  struct Key
  {
    uint64_t block = 0;
    uint32_t homeIndex = 0;
    uint32_t index = 0;

    bool operator==(const Key&) const = default;
  };

  struct KeyHash
  {
    size_t operator()(const Key& aKey) const noexcept
    {
      const uint64_t dense = (aKey.block * kTicketsPerBlock) + aKey.index;
      return std::hash<uint64_t>{}(dense ^ (uint64_t{ aKey.homeIndex } << 48));
    }
  };

  struct Running
  {
    uint64_t payloadHash = 0;
    std::optional<DaemonId> grantedTo;
  };

  struct Stored
  {
    uint64_t payloadHash = 0;
    ResponsePtr response;
  };

  struct StoredExpiry
  {
    Key key;
    TimePoint expiresAt;
  };

  /// A ticket that this table holds. block is null if it was evicted.
  struct Located
  {
    Key key;
    Block* block = nullptr;
    bool neverIssued = false;
  };

  std::optional<Located> Locate(const Ticket& aTicket);
  BeginDecision BeginOpen(const Located& aWhere,
                          uint64_t aPayloadHash,
                          TimePoint aNow);
  BeginDecision AnswerFinal(const Located& aWhere, uint64_t aPayloadHash) const;
  void Finish(const Located& aWhere, TicketResult aResult);
  void Store(const Key& aKey, Stored aStored, TimePoint aExpiresAt);
  void DropOldestResponse();
  void FinishRan(const Located& aWhere,
                 StoredResponse aResponse,
                 TimePoint aNow);
  void ExpireBlocks(uint32_t aHomeIndex, TimePoint aNow);
  void EvictBlocks(Home& aHome, TimePoint aNow);
  HandOverTable::Home ExportHome(uint32_t aHomeIndex, TimePoint aNow) const;
  std::vector<HandOverTable::Response> ExportResponses(TimePoint aNow) const;
  void ImportHome(const HandOverTable::Home& aHome, TimePoint aNow);
  void ImportResponses(const HandOverTable& aTable,
                       size_t aFirstNewHome,
                       TimePoint aNow);
  std::optional<uint32_t> FindHome(const DaemonId& aId) const;

  DaemonId m_self;
  HomeLimits m_limits;
  /// Element 0 is this daemon; the others were taken over.
  std::deque<Home> m_homes;
  std::unordered_map<Key, Running, KeyHash> m_running;
  std::unordered_map<Key, Stored, KeyHash> m_responses;
  std::deque<StoredExpiry> m_responseOrder;
  size_t m_responseBytes = 0;
  bool m_relinquished = false;
  std::optional<DaemonId> m_successor;
};

} // namespace wagtailbend::orders
