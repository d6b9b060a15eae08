#include "wagtailbend/daemon/key_claims.h"

#include <optional>
#include <utility>

#include <asio/post.hpp>

namespace wagtailbend::daemon {
namespace {

constexpr char kTable[] = "order_keys";
// IdempotencyKeyClaimer has at most two requests in flight; look-ups share the
// pool.
constexpr size_t kPoolThreads = 3;
// A ticket must not expire between its claim and its use.
constexpr Duration kTicketReserve = std::chrono::minutes(1);

std::optional<orders::ClaimRow>
RowOf(const store::Row& aRow)
{
  auto value = orders::ClaimValue::Parse(aRow.value);
  if (!value) {
    return std::nullopt;
  }
  return orders::ClaimRow{ aRow.key, *value };
}

} // namespace

KeyClaims::KeyClaims(std::unique_ptr<store::Platform> aPlatform,
                     OrderBook& aBook)
  : m_platform(std::move(aPlatform))
  , m_book(aBook)
  , m_pool(kPoolThreads)
{
}

KeyClaims::~KeyClaims()
{
  m_pool.join();
}

void
KeyClaims::Claim(const std::string& aKey,
                 TimePoint aDeadline,
                 const Callback& aDone)
{
  std::optional<Error> failed;
  {
    const std::lock_guard lock(m_mutex);
    if (!m_waiting.contains(aKey)) {
      failed = Add(aKey, aDeadline);
    }
    if (!failed) {
      m_waiting[aKey].push_back(aDone);
    }
  }
  if (failed) {
    aDone(std::move(*failed));
  }
}

std::optional<Error>
KeyClaims::Add(const std::string& aKey, TimePoint aDeadline)
{
  auto ticket = TakeTicket(MonotonicNow());
  if (const Error* error = GetError(ticket)) {
    return *error;
  }
  auto added = m_claimer.Add(aKey, GetValue(ticket), aDeadline, m_rng);
  if (const Error* error = GetError(added)) {
    return *error;
  }
  Pump();
  return std::nullopt;
}

void
KeyClaims::Find(const std::string& aKey, Callback aDone)
{
  asio::post(m_pool, [this, aKey, done = std::move(aDone)] {
    auto read = m_platform->ReadRow(kTable, aKey);
    if (const Error* error = GetError(read)) {
      done(*error);
      return;
    }
    const auto& row = GetValue(read);
    auto claim = row ? RowOf(*row) : std::nullopt;
    if (!claim) {
      done(Error{ ErrorKind::kNotFound, "key is not claimed" });
      return;
    }
    done(claim->value.ticket);
  });
}

void
KeyClaims::Expire(TimePoint aNow)
{
  std::vector<Ending> endings;
  {
    const std::lock_guard lock(m_mutex);
    endings = Collect(m_claimer.Expire(aNow));
  }
  Finish(endings);
}

Result<orders::Ticket>
KeyClaims::TakeTicket(TimePoint aNow)
{
  if (m_tickets.empty() || m_ticketsExpire - kTicketReserve <= aNow) {
    m_tickets.clear();
    auto issued = m_book.IssueBlock(aNow);
    if (const Error* error = GetError(issued)) {
      return *error;
    }
    const orders::TicketBlock& block = GetValue(issued);
    for (uint32_t i = 0; i < block.count; ++i) {
      m_tickets.push_back({ block.home, block.block, i });
    }
    m_ticketsExpire = block.expiresAt;
  }
  orders::Ticket ticket = m_tickets.back();
  m_tickets.pop_back();
  return ticket;
}

void
KeyClaims::Pump()
{
  while (auto request = m_claimer.NextRequest()) {
    asio::post(m_pool, [this, request = std::move(*request)] { Run(request); });
  }
}

void
KeyClaims::Run(const orders::ClaimRequest& aRequest)
{
  orders::ClaimResult result =
    std::visit([this](const auto& aKind) { return Send(aKind); }, aRequest);
  const uint64_t id =
    std::visit([](const auto& aKind) { return aKind.id; }, aRequest);
  std::vector<Ending> endings;
  {
    const std::lock_guard lock(m_mutex);
    endings = Collect(m_claimer.OnResult(id, result, MonotonicNow()));
    Pump();
  }
  Finish(endings);
}

orders::ClaimResult
KeyClaims::Send(const orders::InsertClaims& aInsert)
{
  store::TransactRequest request;
  for (const orders::ClaimRow& row : aInsert.rows) {
    request.conditions.push_back({ kTable, row.key, std::nullopt });
    request.writes.push_back({ kTable, row.key, row.value.ToString() });
  }
  store::TransactResult result = m_platform->Transact(request);
  if (std::holds_alternative<store::Committed>(result)) {
    return orders::ClaimsCommitted{};
  }
  const auto* conflict = std::get_if<store::Conflict>(&result);
  if (conflict == nullptr) {
    return orders::ClaimsUnknown{};
  }
  orders::ClaimsConflict existing;
  for (const store::ConflictingRow& row : conflict->rows) {
    auto claim = row.current ? RowOf(*row.current) : std::nullopt;
    if (claim) {
      existing.rows.push_back(std::move(*claim));
    }
  }
  return existing;
}

orders::ClaimResult
KeyClaims::Send(const orders::ReadClaims& aRead)
{
  orders::ClaimsRead result;
  for (const std::string& key : aRead.keys) {
    auto read = m_platform->ReadRow(kTable, key);
    if (!IsOk(read)) {
      return orders::ClaimsUnknown{};
    }
    const auto& row = GetValue(read);
    auto claim = row ? RowOf(*row) : std::nullopt;
    if (claim) {
      result.rows.push_back(std::move(*claim));
    }
  }
  return result;
}

std::vector<KeyClaims::Ending>
KeyClaims::Collect(const std::vector<orders::ClaimResolution>& aResolutions)
{
  std::vector<Ending> endings;
  for (const orders::ClaimResolution& resolution : aResolutions) {
    auto waiting = m_waiting.extract(resolution.key);
    if (!waiting.empty()) {
      endings.push_back({ resolution, std::move(waiting.mapped()) });
    }
  }
  return endings;
}

// A claim that failed ends its own ticket: its row may exist, and another
// daemon may relay a copy of the order here by it.
void
KeyClaims::Finish(const std::vector<Ending>& aEndings)
{
  for (const Ending& ending : aEndings) {
    const orders::Ticket& ticket = ending.resolution.ticket;
    Claimed result = ticket;
    if (ending.resolution.outcome == orders::ClaimOutcome::kUnavailable) {
      // The result does not matter: the error proves nothing about a run.
      (void)m_book.FinishNotRun(ticket);
      result = Error{ ErrorKind::kPlatformUnavailable, "claim not decided" };
    }
    for (const Callback& callback : ending.callbacks) {
      callback(result);
    }
  }
}

} // namespace wagtailbend::daemon
