// The home's ticket table records which orders were begun, to which daemon they
// were granted and how they ended. An order may be dispatched only by decision
// of this table.
//
//   HomeTable table(self);
//   TicketBlock block = TakeValue(table.IssueBlock(now));
//   BeginDecision begin = table.Begin(ticket, payloadHash, now);
//   if (begin.kind == BeginKind::kRun) {
//     Result<Grant> grant = table.GrantTo(ticket, targetDaemon);
//     ... send it, and when the response arrives:
//     table.OnOutcome(*grant, RanOutcome{ response }, now);
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

/// Result of a ticket, stored in two bits. All values except kOpen are final.
enum class TicketResult : uint8_t
{
  /// Not begun, or running.
  kOpen,
  /// Never dispatched or confirmed as not started; will never run.
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
  /// Ticket indexes are in [0, count).
  uint32_t count = 0;
  /// On the home's monotonic clock.
  TimePoint expiresAt;

  bool operator==(const TicketBlock&) const = default;
};

enum class BeginKind : uint8_t
{
  /// The caller must grant the order or finish it as not run.
  kRun,
  /// The order is running: wait until it completes, then call Begin again.
  kJoin,
  /// The order ran; its response is in BeginDecision::response.
  kReplay,
  /// The table was handed over: relay to BeginDecision::successor.
  kRelay,
  /// Respond with BeginDecision::error.
  kReject,
};

struct BeginDecision
{
  BeginKind kind = BeginKind::kReject;
  ResponsePtr response;
  DaemonId successor;
  Error error;
};

/// Permits one incarnation of a target's daemon to run an order.
struct Grant
{
  Ticket ticket;
  DaemonId target;

  auto operator<=>(const Grant&) const = default;
};

/// The target ran the order and returned a response.
struct RanOutcome
{
  StoredResponse response;
};
/// The target's daemon recorded a tombstone: the order did not run there and
/// never will.
struct NotStartedOutcome
{};
/// The order may have run: the connection was lost, the incarnation was stale,
/// the target failed, the grant was a duplicate or the deadline passed.
struct UnknownOutcome
{};
using Outcome = std::variant<RanOutcome, NotStartedOutcome, UnknownOutcome>;

enum class OutcomeEffect : uint8_t
{
  /// The outcome was late, a duplicate or for a daemon without the grant.
  kIgnored,
  /// The result is final: respond to all waiting callers.
  kFinished,
  /// The order may be granted to another target's daemon.
  kMayGrantAgain,
};

/// Status of one ticket, as reported by `Peer/LookupOrder`.
struct TicketStatus
{
  TicketResult result = TicketResult::kOpen;
  bool running = false;
  /// Daemon that holds the grant; the name is empty if there is none.
  DaemonId grantedTo;

  bool operator==(const TicketStatus&) const = default;
};

struct HomeLimits
{
  Duration blockLifetime = std::chrono::minutes(10);
  Duration responseRetention = std::chrono::seconds(60);
  /// How long results are kept after their block has expired.
  Duration resultRetention = std::chrono::hours(24);
  size_t maxResponseBytes = size_t{ 64 } << 20;
  /// Maximum number of blocks per home, including expired ones.
  size_t maxBlocks = 262144;
};

/// Contents of a home table, transferred to a successor in the same failure
/// domain. Durations are relative to the time of the export.
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

/// Not thread-safe: callers serialize all access. Copyable. Depends on no lease
/// and on no other process's clock, so a paused process decides no differently
/// after it resumes.
class HomeTable
{
public:
  explicit HomeTable(DaemonId aSelf, HomeLimits aLimits = {});

  /// Issues a block of tickets. Errors: kDraining after Relinquish;
  /// kOverloaded if maxBlocks unexpired blocks are outstanding.
  Result<TicketBlock> IssueBlock(TimePoint aNow);

  /// Decides how to handle an order with aTicket. aPayloadHash covers the
  /// method and the payload. Reuse of a ticket for a different payload is
  /// kInvalidRequest, so that no caller gets the response to another order.
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

  /// Sets kNotRun as the final result of a ticket that is open, or begun but
  /// not granted. Must succeed before "not run" is reported to anyone. Returns
  /// false and changes nothing if the ticket is granted, has another result or
  /// was handed over: then "not run" must not be reported.
  [[nodiscard]] bool FinishNotRun(const Ticket& aTicket);

  /// First step of a planned stop: no further orders are begun or granted.
  /// Begun orders without a grant finish as not run; their tickets are returned
  /// so that the caller can respond to them. Granted orders can still finish.
  std::vector<Ticket> Relinquish();

  /// Second step: calls Relinquish and returns the table for aSuccessor. From
  /// then on this table dispatches nothing and sets no open ticket to kNotRun,
  /// whether or not the transfer arrives. Orders that are still granted
  /// are kUnknown at the successor. Export may be called again for the same
  /// successor; a different one gets kConflict, because the first may have
  /// received the table.
  Result<HandOverTable> Export(const DaemonId& aSuccessor, TimePoint aNow);

  /// Imports a table. Homes that are already present are skipped, so a repeated
  /// import changes nothing. Errors: kStaleIncarnation if the table is for
  /// another incarnation, kDraining after Relinquish.
  Result<Done> Import(const HandOverTable& aTable, TimePoint aNow);

  /// Expires blocks, responses and results. A late call only delays
  /// eviction; it never allows an order to run.
  void Expire(TimePoint aNow);

  /// Returns the status of aTicket, or nullopt if the table does not hold its
  /// block.
  std::optional<TicketStatus> Lookup(const Ticket& aTicket) const;

  const DaemonId& Self() const { return m_self; }
  bool IsRelinquished() const { return m_relinquished; }
  size_t RunningCount() const { return m_running.size(); }
  /// Returns the total payload size of the stored responses.
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
    /// Number of the first block in `blocks`; earlier blocks were evicted.
    uint64_t firstBlock = 0;
    /// Blocks below this number have expired.
    uint64_t firstUnexpired = 0;
    std::deque<Block> blocks;

    uint64_t EndBlock() const { return firstBlock + blocks.size(); }
  };

  struct TicketKey
  {
    uint64_t block = 0;
    uint32_t homeIndex = 0;
    uint32_t index = 0;

    bool operator==(const TicketKey&) const = default;
  };

  struct TicketKeyHash
  {
    size_t operator()(const TicketKey& aKey) const noexcept
    {
      const uint64_t ticketNumber =
        (aKey.block * kTicketsPerBlock) + aKey.index;
      return std::hash<uint64_t>{}(ticketNumber ^
                                   (uint64_t{ aKey.homeIndex } << 48));
    }
  };

  struct RunningOrder
  {
    uint64_t payloadHash = 0;
    std::optional<DaemonId> grantedTo;
  };

  struct CachedResponse
  {
    uint64_t payloadHash = 0;
    ResponsePtr response;
  };

  struct ResponseExpiry
  {
    TicketKey key;
    TimePoint expiresAt;
  };

  /// Position of a ticket whose home this table holds. block is null if it was
  /// evicted or never issued.
  struct TicketLocation
  {
    TicketKey key;
    Block* block = nullptr;
    bool neverIssued = false;
  };

  std::optional<TicketLocation> LocateTicket(const Ticket& aTicket);
  BeginDecision BeginOpenTicket(const TicketLocation& aLocation,
                                uint64_t aPayloadHash,
                                TimePoint aNow);
  BeginDecision DecideFinished(const TicketLocation& aLocation,
                               uint64_t aPayloadHash) const;
  void FinishTicket(const TicketLocation& aLocation, TicketResult aResult);
  void StoreResponse(const TicketKey& aKey,
                     CachedResponse aCachedResponse,
                     TimePoint aExpiresAt);
  void EvictOldestResponse();
  void FinishRan(const TicketLocation& aLocation,
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
  /// Element 0 is this daemon's home; the others were imported.
  std::deque<Home> m_homes;
  std::unordered_map<TicketKey, RunningOrder, TicketKeyHash> m_running;
  std::unordered_map<TicketKey, CachedResponse, TicketKeyHash> m_responses;
  std::deque<ResponseExpiry> m_responseExpiries;
  size_t m_responseBytes = 0;
  bool m_relinquished = false;
  std::optional<DaemonId> m_successor;
};

} // namespace wagtailbend::orders
