// Claims of idempotency keys through the platform's table service, many claims
// in one transaction. A state machine without I/O: it produces requests and
// consumes their results.
//
//   claimer.Add(key, ticket, deadline, rng);
//   while (auto request = claimer.NextRequest(now)) { Send(*request); }
//   ... on a reply:
//   for (const Resolution& resolution : claimer.OnResult(id, result, now))
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

/// The row stored for a claimed key. The ticket names the home.
struct ClaimValue
{
  Ticket ticket;
  /// Random, to recognize one's own row after a lost reply.
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

/// Insert all rows in one transaction, each on condition that it is absent.
struct InsertClaims
{
  uint64_t id = 0;
  std::vector<ClaimRow> rows;
};
/// Read the rows of these keys.
struct ReadClaims
{
  uint64_t id = 0;
  std::vector<std::string> keys;
};
using ClaimRequest = std::variant<InsertClaims, ReadClaims>;

/// The transaction took effect.
struct ClaimsCommitted
{};
/// The transaction had no effect; these rows exist.
struct ClaimsConflict
{
  std::vector<ClaimRow> rows;
};
/// The reply was lost or timed out: the request may take effect, even later.
struct ClaimsUnknown
{};
/// The rows that exist among those asked for.
struct ClaimsRead
{
  std::vector<ClaimRow> rows;
};
using ClaimResult =
  std::variant<ClaimsCommitted, ClaimsConflict, ClaimsUnknown, ClaimsRead>;

enum class ClaimOutcome : uint8_t
{
  /// This claim holds the key: begin the order with its ticket.
  kMine,
  /// The key was claimed before: relay the order to the home of
  /// Resolution::ticket, under that ticket.
  kExisting,
  /// kPlatformUnavailable. The row may exist, and another daemon may relay the
  /// order here by it. Report "not run" only after HomeTable::FinishNotRun
  /// of the claim's ticket returned true.
  kUnavailable,
};

struct Resolution
{
  std::string key;
  /// The ticket that the key stands for; with kUnavailable the claim's own.
  Ticket ticket;
  ClaimOutcome outcome = ClaimOutcome::kUnavailable;

  bool operator==(const Resolution&) const = default;
};

struct ClaimLimits
{
  size_t maxRowsPerRequest = 64;
  /// Requests in flight; claims that arrive meanwhile form the next batch.
  size_t maxRequests = 2;
  size_t maxClaims = 4096;
};

/// Not thread-safe: callers serialize all access.
class RawKeyClaimer
{
public:
  explicit RawKeyClaimer(ClaimLimits aLimits = {});

  /// Queues a claim of aKey for an unused ticket of this home, to be resolved
  /// by aDeadline. Errors: kOverloaded if maxClaims are pending; kConflict if
  /// a claim of the same key is pending: wait for its resolution instead.
  Result<Done> Add(std::string aKey,
                   const Ticket& aTicket,
                   TimePoint aDeadline,
                   Rng& aRng);
  /// Returns the next request to send, or nullopt. Each request needs one
  /// OnResult.
  std::optional<ClaimRequest> NextRequest();
  /// Consumes the result of request aId. Unknown ids are ignored. A result
  /// that does not fit the request counts as ClaimsUnknown.
  std::vector<Resolution> OnResult(uint64_t aId,
                                   const ClaimResult& aResult,
                                   TimePoint aNow);
  /// Resolves claims whose deadline passed as kUnavailable.
  std::vector<Resolution> Expire(TimePoint aNow);

  size_t PendingCount() const { return m_claims.size(); }

private:
  struct Claim
  {
    ClaimValue value;
    TimePoint deadline;
    /// An insert had no clear result: read before inserting again.
    bool mustRead = false;
  };

  struct Request
  {
    bool isRead = false;
    std::vector<ClaimRow> rows;
  };

  void Requeue(const ClaimRow& aRow, bool aMustRead);
  std::vector<ClaimRow> TakeBatch(bool& aIsRead);
  bool IsPending(const ClaimRow& aRow) const;
  void Resolve(const ClaimRow& aRow,
               const ClaimValue* aFound,
               std::vector<Resolution>& aResolutions);
  void OnRows(const Request& aRequest,
              const std::vector<ClaimRow>& aFound,
              std::vector<Resolution>& aResolutions);
  void OnUnknown(const Request& aRequest,
                 std::vector<Resolution>& aResolutions);

  ClaimLimits m_limits;
  std::unordered_map<std::string, Claim> m_claims;
  std::deque<ClaimRow> m_queue;
  std::map<uint64_t, Request> m_requests;
  uint64_t m_lastId = 0;
};

} // namespace wagtailbend::orders
