#include "wagtailbend/orders/home_table.h"

#include <utility>

#include "wagtailbend/orders/internal/home_answers.h"

namespace wagtailbend::orders {

using internal::Reject;

HomeTable::HomeTable(DaemonId aSelf, HomeLimits aLimits)
  : m_self(std::move(aSelf))
  , m_limits(aLimits)
{
  m_homes.push_back({ m_self, 0, 0, {} });
}

Result<TicketBlock>
HomeTable::IssueBlock(TimePoint aNow)
{
  if (m_relinquished) {
    return Error{ ErrorKind::kDraining, "home is stopping" };
  }
  ExpireBlocks(0, aNow);
  Home& home = m_homes.front();
  if (home.blocks.size() >= m_limits.maxBlocks) {
    if (home.firstUnexpired == home.firstBlock) {
      return Error{ ErrorKind::kOverloaded, "too many outstanding blocks" };
    }
    home.blocks.pop_front();
    ++home.firstBlock;
  }
  home.blocks.push_back({ {}, aNow + m_limits.blockLifetime });
  return TicketBlock{
    m_self, home.EndBlock() - 1, kTicketsPerBlock, home.blocks.back().expiresAt
  };
}

BeginDecision
HomeTable::Begin(const Ticket& aTicket, uint64_t aPayloadHash, TimePoint aNow)
{
  const auto where = Locate(aTicket);
  if (!where) {
    return Reject(ErrorKind::kOutcomeUnknown, "home of the ticket is gone");
  }
  if (where->neverIssued) {
    return Reject(ErrorKind::kInvalidRequest, "ticket was never issued");
  }
  if (where->block == nullptr) {
    return Reject(ErrorKind::kOutcomeUnknown, "result is no longer kept");
  }
  if (where->block->results.Get(aTicket.index) != TicketResult::kOpen) {
    return AnswerFinal(*where, aPayloadHash);
  }
  return BeginOpen(*where, aPayloadHash, aNow);
}

BeginDecision
HomeTable::BeginOpen(const Located& aWhere,
                     uint64_t aPayloadHash,
                     TimePoint aNow)
{
  const auto running = m_running.find(aWhere.key);
  if (running != m_running.end()) {
    if (running->second.payloadHash != aPayloadHash) {
      return Reject(ErrorKind::kInvalidRequest, internal::kOtherPayload);
    }
    return { BeginKind::kJoin, nullptr, {}, {} };
  }
  if (m_successor) {
    return { BeginKind::kRelay, nullptr, *m_successor, {} };
  }
  if (aWhere.block->expiresAt <= aNow) {
    Finish(aWhere, TicketResult::kNotRun);
    return Reject(ErrorKind::kNotRun, "ticket expired");
  }
  if (m_relinquished) {
    // The successor may still run it, so "not run" would be wrong.
    return Reject(ErrorKind::kOutcomeUnknown, "home is handing over");
  }
  m_running.emplace(aWhere.key, Running{ aPayloadHash, std::nullopt });
  return { BeginKind::kRun, nullptr, {}, {} };
}

BeginDecision
HomeTable::AnswerFinal(const Located& aWhere, uint64_t aPayloadHash) const
{
  switch (aWhere.block->results.Get(aWhere.key.index)) {
    case TicketResult::kNotRun:
      return Reject(ErrorKind::kNotRun, "ticket ended without a run");
    case TicketResult::kRan:
      break;
    case TicketResult::kOpen:
    case TicketResult::kUnknown:
      return Reject(ErrorKind::kOutcomeUnknown, "outcome of the grant unknown");
  }
  const auto stored = m_responses.find(aWhere.key);
  if (stored == m_responses.end()) {
    return Reject(ErrorKind::kAlreadyRan, "response is no longer stored");
  }
  if (stored->second.payloadHash != aPayloadHash) {
    return Reject(ErrorKind::kInvalidRequest, internal::kOtherPayload);
  }
  return { BeginKind::kReplay, stored->second.response, {}, {} };
}

Result<Grant>
HomeTable::GrantTo(const Ticket& aTicket, const DaemonId& aTarget)
{
  if (m_relinquished) {
    return Error{ ErrorKind::kDraining, "home is stopping" };
  }
  const auto where = Locate(aTicket);
  const auto running = where ? m_running.find(where->key) : m_running.end();
  if (running == m_running.end()) {
    return Error{ ErrorKind::kNotFound, "order is not running" };
  }
  if (running->second.grantedTo) {
    return Error{ ErrorKind::kConflict, "order is granted already" };
  }
  running->second.grantedTo = aTarget;
  return Grant{ aTicket, aTarget };
}

OutcomeEffect
HomeTable::OnOutcome(const Grant& aGrant, Outcome aOutcome, TimePoint aNow)
{
  const auto where = Locate(aGrant.ticket);
  const auto running = where ? m_running.find(where->key) : m_running.end();
  if (running == m_running.end() ||
      running->second.grantedTo != aGrant.target) {
    return OutcomeEffect::kIgnored;
  }
  if (auto* ran = std::get_if<Ran>(&aOutcome)) {
    FinishRan(*where, std::move(ran->response), aNow);
    return OutcomeEffect::kFinished;
  }
  if (std::holds_alternative<MayHaveRun>(aOutcome)) {
    Finish(*where, TicketResult::kUnknown);
    return OutcomeEffect::kFinished;
  }
  if (m_relinquished) {
    // Nobody dispatches it again: the successor holds it as unknown.
    Finish(*where, TicketResult::kNotRun);
    return OutcomeEffect::kFinished;
  }
  running->second.grantedTo.reset();
  return OutcomeEffect::kMayGrantAgain;
}

bool
HomeTable::FinishNotRun(const Ticket& aTicket)
{
  const auto where = Locate(aTicket);
  if (!where || where->neverIssued || where->block == nullptr) {
    return false;
  }
  const TicketResult result = where->block->results.Get(aTicket.index);
  if (result != TicketResult::kOpen) {
    return result == TicketResult::kNotRun;
  }
  const auto running = m_running.find(where->key);
  const bool begun = running != m_running.end();
  if (begun ? running->second.grantedTo.has_value() : m_successor.has_value()) {
    return false;
  }
  Finish(*where, TicketResult::kNotRun);
  return true;
}

std::vector<Ticket>
HomeTable::Relinquish()
{
  m_relinquished = true;
  std::vector<Ticket> ended;
  for (const auto& [key, running] : m_running) {
    if (running.grantedTo) {
      continue;
    }
    ended.push_back({ m_homes[key.homeIndex].id, key.block, key.index });
  }
  for (const Ticket& ticket : ended) {
    Finish(*Locate(ticket), TicketResult::kNotRun);
  }
  return ended;
}

std::optional<TicketStatus>
HomeTable::Lookup(const Ticket& aTicket) const
{
  const auto homeIndex = FindHome(aTicket.home);
  if (!homeIndex || aTicket.index >= kTicketsPerBlock) {
    return std::nullopt;
  }
  const Home& home = m_homes[*homeIndex];
  if (aTicket.block < home.firstBlock || aTicket.block >= home.EndBlock()) {
    return std::nullopt;
  }
  TicketStatus status;
  status.result =
    home.blocks[aTicket.block - home.firstBlock].results.Get(aTicket.index);
  const auto running =
    m_running.find({ aTicket.block, *homeIndex, aTicket.index });
  if (running != m_running.end()) {
    status.running = true;
    status.grantedTo = running->second.grantedTo.value_or(DaemonId{});
  }
  return status;
}

std::optional<uint32_t>
HomeTable::FindHome(const DaemonId& aId) const
{
  uint32_t index = 0;
  for (const Home& home : m_homes) {
    if (home.id == aId) {
      return index;
    }
    ++index;
  }
  return std::nullopt;
}

std::optional<HomeTable::Located>
HomeTable::Locate(const Ticket& aTicket)
{
  const auto homeIndex = FindHome(aTicket.home);
  if (!homeIndex) {
    return std::nullopt;
  }
  Home& home = m_homes[*homeIndex];
  Located where{ { aTicket.block, *homeIndex, aTicket.index } };
  where.neverIssued =
    aTicket.block >= home.EndBlock() || aTicket.index >= kTicketsPerBlock;
  if (!where.neverIssued && aTicket.block >= home.firstBlock) {
    where.block = &home.blocks[aTicket.block - home.firstBlock];
  }
  return where;
}

} // namespace wagtailbend::orders
