#include "wagtailbend/orders/raw_key_claimer.h"

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

RawKeyClaimer::RawKeyClaimer(ClaimLimits aLimits)
  : m_limits(aLimits)
{
}

Result<Done>
RawKeyClaimer::Add(std::string aKey,
                   const Ticket& aTicket,
                   TimePoint aDeadline,
                   Rng& aRng)
{
  if (m_claims.contains(aKey)) {
    return Error{ ErrorKind::kConflict, "claim of the key is pending" };
  }
  if (m_claims.size() >= m_limits.maxClaims) {
    return Error{ ErrorKind::kOverloaded, "too many pending claims" };
  }
  const ClaimValue value{ aTicket, aRng() };
  m_queue.push_back({ aKey, value });
  m_claims.emplace(std::move(aKey), Claim{ value, aDeadline });
  return Done{};
}

std::optional<ClaimRequest>
RawKeyClaimer::NextRequest()
{
  if (m_requests.size() >= m_limits.maxRequests) {
    return std::nullopt;
  }
  Request request;
  request.rows = TakeBatch(request.isRead);
  if (request.rows.empty()) {
    return std::nullopt;
  }
  const uint64_t id = ++m_lastId;
  const Request& sent =
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

// Takes rows from the front that all need the same kind of request.
std::vector<ClaimRow>
RawKeyClaimer::TakeBatch(bool& aIsRead)
{
  std::vector<ClaimRow> rows;
  while (!m_queue.empty() && rows.size() < m_limits.maxRowsPerRequest) {
    const ClaimRow& row = m_queue.front();
    if (!IsPending(row)) {
      m_queue.pop_front();
      continue;
    }
    const bool mustRead = m_claims.at(row.key).mustRead;
    if (!rows.empty() && mustRead != aIsRead) {
      break;
    }
    aIsRead = mustRead;
    rows.push_back(std::move(m_queue.front()));
    m_queue.pop_front();
  }
  return rows;
}

std::vector<Resolution>
RawKeyClaimer::OnResult(uint64_t aId,
                        const ClaimResult& aResult,
                        TimePoint aNow)
{
  const auto found = m_requests.find(aId);
  if (found == m_requests.end()) {
    return {};
  }
  const Request request = std::move(found->second);
  m_requests.erase(found);
  std::vector<Resolution> resolutions;
  const auto* conflict = std::get_if<ClaimsConflict>(&aResult);
  const auto* read = std::get_if<ClaimsRead>(&aResult);
  if (std::holds_alternative<ClaimsCommitted>(aResult) && !request.isRead) {
    for (const ClaimRow& row : request.rows) {
      Resolve(row, &row.value, resolutions);
    }
  } else if (conflict != nullptr && !conflict->rows.empty() &&
             !request.isRead) {
    OnRows(request, conflict->rows, resolutions);
  } else if (read != nullptr && request.isRead) {
    OnRows(request, read->rows, resolutions);
  } else {
    OnUnknown(request, resolutions);
  }
  for (Resolution& resolution : Expire(aNow)) {
    resolutions.push_back(std::move(resolution));
  }
  return resolutions;
}

// A row that is absent is inserted again with the same nonce: if a delayed
// first insert takes effect meanwhile, it is recognized as this claim.
void
RawKeyClaimer::OnRows(const Request& aRequest,
                      const std::vector<ClaimRow>& aFound,
                      std::vector<Resolution>& aResolutions)
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

// An insert is followed by a read; a read without a result ends the claim, so
// that an outage of the store is reported after two requests.
void
RawKeyClaimer::OnUnknown(const Request& aRequest,
                         std::vector<Resolution>& aResolutions)
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
RawKeyClaimer::Requeue(const ClaimRow& aRow, bool aMustRead)
{
  if (!IsPending(aRow)) {
    return;
  }
  m_claims.at(aRow.key).mustRead = aMustRead;
  m_queue.push_front(aRow);
}

bool
RawKeyClaimer::IsPending(const ClaimRow& aRow) const
{
  const auto claim = m_claims.find(aRow.key);
  return claim != m_claims.end() && claim->second.value == aRow.value;
}

void
RawKeyClaimer::Resolve(const ClaimRow& aRow,
                       const ClaimValue* aFound,
                       std::vector<Resolution>& aResolutions)
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
  const bool mine = *aFound == aRow.value;
  aResolutions.push_back(
    { aRow.key,
      aFound->ticket,
      mine ? ClaimOutcome::kMine : ClaimOutcome::kExisting });
}

std::vector<Resolution>
RawKeyClaimer::Expire(TimePoint aNow)
{
  std::vector<Resolution> resolutions;
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
