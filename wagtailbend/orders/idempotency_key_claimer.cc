#include "wagtailbend/orders/idempotency_key_claimer.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace wagtailbend::orders {

std::optional<ClaimValue>
ClaimValue::Parse(std::string_view aText)
{
  const size_t space = aText.rfind(' ');
  if (space == std::string_view::npos) {
    return std::nullopt;
  }
  auto ticket = Ticket::Parse(aText.substr(0, space));
  const auto nonce = ParseHex(aText.substr(space + 1));
  if (!ticket || !nonce) {
    return std::nullopt;
  }
  return ClaimValue{ *std::move(ticket), *nonce };
}

std::string
ClaimValue::ToString() const
{
  return fmt::format("{} {}", ticket.ToString(), ToHex(nonce));
}

IdempotencyKeyClaimer::IdempotencyKeyClaimer(ClaimLimits aLimits)
  : m_limits(aLimits)
{
}

Result<Done>
IdempotencyKeyClaimer::Add(std::string aKey,
                           const Ticket& aTicket,
                           TimePoint aDeadline,
                           Rng& aRng)
{
  if (m_claims.contains(aKey)) {
    return Error{ ErrorKind::kConflict,
                  "a claim of this key is already pending" };
  }
  if (m_claims.size() >= m_limits.maxClaims) {
    return Error{ ErrorKind::kOverloaded, "too many pending claims" };
  }
  const ClaimValue value{ aTicket, aRng() };
  m_queue.push_back({ aKey, value });
  m_claims.emplace(std::move(aKey), PendingClaim{ value, aDeadline });
  return Done{};
}

std::optional<ClaimRequest>
IdempotencyKeyClaimer::NextRequest()
{
  if (m_requests.size() >= m_limits.maxRequests) {
    return std::nullopt;
  }
  PendingRequest request;
  request.rows = TakeBatch(request.isRead);
  if (request.rows.empty()) {
    return std::nullopt;
  }
  const uint64_t id = ++m_lastId;
  const PendingRequest& sent =
    m_requests.emplace(id, std::move(request)).first->second;
  if (!sent.isRead) {
    return InsertClaims{ id, sent.rows };
  }
  ReadClaims read{ id, {} };
  for (const ClaimRow& row : sent.rows) {
    read.keys.push_back(row.key);
  }
  return read;
}

// Removes rows from the front of the queue as long as they need the same type
// of request, and skips rows whose claims are resolved.
std::vector<ClaimRow>
IdempotencyKeyClaimer::TakeBatch(bool& aIsRead)
{
  std::vector<ClaimRow> rows;
  while (!m_queue.empty() && rows.size() < m_limits.maxRowsPerRequest) {
    const ClaimRow& row = m_queue.front();
    if (!IsPending(row)) {
      m_queue.pop_front();
      continue;
    }
    const bool readBeforeInsert = m_claims.at(row.key).readBeforeInsert;
    if (!rows.empty() && readBeforeInsert != aIsRead) {
      break;
    }
    aIsRead = readBeforeInsert;
    rows.push_back(std::move(m_queue.front()));
    m_queue.pop_front();
  }
  return rows;
}

std::vector<ClaimResolution>
IdempotencyKeyClaimer::OnResult(uint64_t aId,
                                const ClaimResult& aResult,
                                TimePoint aNow)
{
  const auto found = m_requests.find(aId);
  if (found == m_requests.end()) {
    return {};
  }
  const PendingRequest request = std::move(found->second);
  m_requests.erase(found);
  std::vector<ClaimResolution> resolutions;
  const auto* conflict = std::get_if<ClaimsConflict>(&aResult);
  const auto* read = std::get_if<ClaimsRead>(&aResult);
  if (std::holds_alternative<ClaimsCommitted>(aResult) && !request.isRead) {
    for (const ClaimRow& row : request.rows) {
      Resolve(row, &row.value, resolutions);
    }
  } else if (conflict != nullptr && !conflict->rows.empty() &&
             !request.isRead) {
    ResolveFromRows(request, conflict->rows, resolutions);
  } else if (read != nullptr && request.isRead) {
    ResolveFromRows(request, read->rows, resolutions);
  } else {
    OnUnknownResult(request, resolutions);
  }
  for (ClaimResolution& resolution : Expire(aNow)) {
    resolutions.push_back(std::move(resolution));
  }
  return resolutions;
}

// Absent rows are inserted again with the same nonce. If a delayed earlier
// insert takes effect in the meantime, its row is recognized as this claim.
void
IdempotencyKeyClaimer::ResolveFromRows(
  const PendingRequest& aRequest,
  const std::vector<ClaimRow>& aFound,
  std::vector<ClaimResolution>& aResolutions)
{
  for (const ClaimRow& row : aRequest.rows) {
    const auto found = std::ranges::find(aFound, row.key, &ClaimRow::key);
    if (found != aFound.end()) {
      Resolve(row, &found->value, aResolutions);
    } else {
      Requeue(row, false);
    }
  }
}

// An insert with an unknown result is followed by a read. A read with an
// unknown result ends the claim, so that a store outage is reported after two
// requests.
void
IdempotencyKeyClaimer::OnUnknownResult(
  const PendingRequest& aRequest,
  std::vector<ClaimResolution>& aResolutions)
{
  for (const ClaimRow& row : aRequest.rows) {
    if (aRequest.isRead) {
      Resolve(row, nullptr, aResolutions);
    } else {
      Requeue(row, true);
    }
  }
}

void
IdempotencyKeyClaimer::Requeue(const ClaimRow& aRow, bool aReadBeforeInsert)
{
  if (!IsPending(aRow)) {
    return;
  }
  m_claims.at(aRow.key).readBeforeInsert = aReadBeforeInsert;
  m_queue.push_front(aRow);
}

bool
IdempotencyKeyClaimer::IsPending(const ClaimRow& aRow) const
{
  const auto claim = m_claims.find(aRow.key);
  return claim != m_claims.end() && claim->second.value == aRow.value;
}

void
IdempotencyKeyClaimer::Resolve(const ClaimRow& aRow,
                               const ClaimValue* aFound,
                               std::vector<ClaimResolution>& aResolutions)
{
  if (!IsPending(aRow)) {
    return;
  }
  m_claims.erase(aRow.key);
  if (aFound == nullptr) {
    aResolutions.push_back(
      { aRow.key, aRow.value.ticket, ClaimOutcome::kUnavailable });
    return;
  }
  const bool isOwnClaim = *aFound == aRow.value;
  aResolutions.push_back(
    { aRow.key,
      aFound->ticket,
      isOwnClaim ? ClaimOutcome::kClaimed : ClaimOutcome::kAlreadyClaimed });
}

std::vector<ClaimResolution>
IdempotencyKeyClaimer::Expire(TimePoint aNow)
{
  std::vector<ClaimResolution> resolutions;
  for (auto claim = m_claims.begin(); claim != m_claims.end();) {
    if (claim->second.deadline > aNow) {
      ++claim;
      continue;
    }
    resolutions.push_back(
      { claim->first, claim->second.value.ticket, ClaimOutcome::kUnavailable });
    claim = m_claims.erase(claim);
  }
  return resolutions;
}

} // namespace wagtailbend::orders
