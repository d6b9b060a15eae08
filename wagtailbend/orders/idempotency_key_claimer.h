// Claims idempotency keys through the platform's table service, with many
// claims per transaction. Performs no I/O: it produces requests and consumes
// their results.
//
//   claimer.Add(key, ticket, deadline, rng);
//   while (auto request = claimer.NextRequest(now)) { Send(*request); }
//   ... when a result arrives:
//   for (const ClaimResolution& resolution : claimer.OnResult(id, result, now))
//   {...}

#pragma once

#include <deque>
#include <map>
#include <unordered_map>
#include <variant>
#include <vector>

#include "wagtailbend/base/result.h"
#include "wagtailbend/base/rng.h"
#include "wagtailbend/base/time.h"
#include "wagtailbend/orders/ticket.h"

namespace wagtailbend::orders {

/// Value of the row stored for a claimed key. The ticket identifies the home.
struct ClaimValue
{
  Ticket ticket;
  /// Random value that identifies this claim's row after a lost response.
  uint64_t nonce = 0;

  /// Parses "ticket nonce". Thread-safe.
  static std::optional<ClaimValue> Parse(std::string_view aText);
  std::string ToString() const;

  auto operator<=>(const ClaimValue&) const = default;
};

struct ClaimRow
{
  std::string key;
  ClaimValue value;

  bool operator==(const ClaimRow&) const = default;
};

/// Inserts all rows in one transaction, provided that none of them exists.
struct InsertClaims
{
  uint64_t id = 0;
  std::vector<ClaimRow> rows;
};
/// Reads the rows of these keys.
struct ReadClaims
{
  uint64_t id = 0;
  std::vector<std::string> keys;
};
using ClaimRequest = std::variant<InsertClaims, ReadClaims>;

/// The transaction was committed.
struct ClaimsCommitted
{};
/// The transaction had no effect, because these rows exist.
struct ClaimsConflict
{
  std::vector<ClaimRow> rows;
};
/// The response was lost or timed out: the request may have taken effect or may
/// still do so.
struct ClaimsUnknown
{};
/// The requested rows that exist.
struct ClaimsRead
{
  std::vector<ClaimRow> rows;
};
using ClaimResult =
  std::variant<ClaimsCommitted, ClaimsConflict, ClaimsUnknown, ClaimsRead>;

enum class ClaimOutcome : uint8_t
{
  /// This claim holds the key: begin the order with its ticket.
  kClaimed,
  /// Another claim holds the key: relay the order with ClaimResolution::ticket
  /// to the home of that ticket.
  kAlreadyClaimed,
  /// Corresponds to kPlatformUnavailable. The row may exist, so another daemon
  /// may relay the order here. Report "not run" only after
  /// HomeTable::FinishNotRun has returned true for the claim's ticket.
  kUnavailable,
};

struct ClaimResolution
{
  std::string key;
  /// The ticket stored for the key; with kUnavailable, the ticket of the claim.
  Ticket ticket;
  ClaimOutcome outcome = ClaimOutcome::kUnavailable;

  bool operator==(const ClaimResolution&) const = default;
};

struct ClaimLimits
{
  size_t maxRowsPerRequest = 64;
  /// Maximum number of requests in flight. Claims that are added while all are
  /// in use wait for the next batch.
  size_t maxRequests = 2;
  size_t maxClaims = 4096;
};

/// Not thread-safe: callers serialize all access.
class IdempotencyKeyClaimer
{
public:
  explicit IdempotencyKeyClaimer(ClaimLimits aLimits = {});

  /// Queues a claim of aKey for an unused ticket of this home; the claim is
  /// resolved by aDeadline. Errors: kOverloaded if maxClaims are pending;
  /// kConflict if the same key has a pending claim, whose resolution the caller
  /// should await instead.
  Result<Done> Add(std::string aKey,
                   const Ticket& aTicket,
                   TimePoint aDeadline,
                   Rng& aRng);
  /// Returns the next request to send, or nullopt. OnResult must be called once
  /// for each request.
  std::optional<ClaimRequest> NextRequest();
  /// Processes the result of request aId. Unknown ids are ignored. A result
  /// that does not match the type of the request is treated as ClaimsUnknown.
  std::vector<ClaimResolution> OnResult(uint64_t aId,
                                        const ClaimResult& aResult,
                                        TimePoint aNow);
  /// Resolves claims whose deadline has passed as kUnavailable.
  std::vector<ClaimResolution> Expire(TimePoint aNow);

  size_t PendingCount() const { return m_claims.size(); }

private:
  struct PendingClaim
  {
    ClaimValue value;
    TimePoint deadline;
    /// The result of an insert is unknown: read the row before inserting again.
    bool readBeforeInsert = false;
  };

  struct PendingRequest
  {
    bool isRead = false;
    std::vector<ClaimRow> rows;
  };

  void Requeue(const ClaimRow& aRow, bool aReadBeforeInsert);
  std::vector<ClaimRow> TakeBatch(bool& aIsRead);
  bool IsPending(const ClaimRow& aRow) const;
  void Resolve(const ClaimRow& aRow,
               const ClaimValue* aFound,
               std::vector<ClaimResolution>& aResolutions);
  void ResolveFromRows(const PendingRequest& aRequest,
                       const std::vector<ClaimRow>& aFound,
                       std::vector<ClaimResolution>& aResolutions);
  void OnUnknownResult(const PendingRequest& aRequest,
                       std::vector<ClaimResolution>& aResolutions);

  ClaimLimits m_limits;
  std::unordered_map<std::string, PendingClaim> m_claims;
  std::deque<ClaimRow> m_queue;
  std::map<uint64_t, PendingRequest> m_requests;
  uint64_t m_lastId = 0;
};

} // namespace wagtailbend::orders
