#include "wagtailbend/orders/home_table.h"

#include <utility>

#include "wagtailbend/orders/internal/home_rejections.h"

namespace wagtailbend::orders {

using internal::MakeRejection;

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
  const auto location = LocateTicket(aTicket);
  if (!location) {
    return MakeRejection(ErrorKind::kOutcomeUnknown,
                         "this daemon does not hold the home of the ticket");
  }
  if (location->neverIssued) {
    return MakeRejection(ErrorKind::kInvalidRequest, "ticket was never issued");
  }
  if (location->block == nullptr) {
    return MakeRejection(ErrorKind::kOutcomeUnknown,
                         "result is no longer stored");
  }
  if (location->block->results.Get(aTicket.index) != TicketResult::kOpen) {
    return DecideFinished(*location, aPayloadHash);
  }
  return BeginOpenTicket(*location, aPayloadHash, aNow);
}

BeginDecision
HomeTable::BeginOpenTicket(const TicketLocation& aLocation,
                           uint64_t aPayloadHash,
                           TimePoint aNow)
{
  const auto running = m_running.find(aLocation.key);
  if (running != m_running.end()) {
    if (running->second.payloadHash != aPayloadHash) {
      return MakeRejection(ErrorKind::kInvalidRequest,
                           internal::kPayloadMismatchDetail);
    }
    return { BeginKind::kJoin, nullptr, {}, {} };
  }
  if (m_successor) {
    return { BeginKind::kRelay, nullptr, *m_successor, {} };
  }
  if (aLocation.block->expiresAt <= aNow) {
    FinishTicket(aLocation, TicketResult::kNotRun);
    return MakeRejection(ErrorKind::kNotRun, "ticket expired");
  }
  if (m_relinquished) {
    // The successor may still run the order, so kNotRun could be false.
    return MakeRejection(ErrorKind::kOutcomeUnknown,
                         "home is handing over its tickets");
  }
  m_running.emplace(aLocation.key, RunningOrder{ aPayloadHash, std::nullopt });
  return { BeginKind::kRun, nullptr, {}, {} };
}

BeginDecision
HomeTable::DecideFinished(const TicketLocation& aLocation,
                          uint64_t aPayloadHash) const
{
  switch (aLocation.block->results.Get(aLocation.key.index)) {
    case TicketResult::kNotRun:
      return MakeRejection(ErrorKind::kNotRun,
                           "order finished without being run");
    case TicketResult::kRan:
      break;
    case TicketResult::kOpen:
    case TicketResult::kUnknown:
      return MakeRejection(ErrorKind::kOutcomeUnknown,
                           "outcome of the order is unknown");
  }
  const auto stored = m_responses.find(aLocation.key);
  if (stored == m_responses.end()) {
    return MakeRejection(ErrorKind::kAlreadyRan,
                         "response is no longer stored");
  }
  if (stored->second.payloadHash != aPayloadHash) {
    return MakeRejection(ErrorKind::kInvalidRequest,
                         internal::kPayloadMismatchDetail);
  }
  return { BeginKind::kReplay, stored->second.response, {}, {} };
}

Result<Grant>
HomeTable::GrantTo(const Ticket& aTicket, const DaemonId& aTarget)
{
  if (m_relinquished) {
    return Error{ ErrorKind::kDraining, "home is stopping" };
  }
  const auto location = LocateTicket(aTicket);
  const auto running =
    location ? m_running.find(location->key) : m_running.end();
  if (running == m_running.end()) {
    return Error{ ErrorKind::kNotFound, "order is not running" };
  }
  if (running->second.grantedTo) {
    return Error{ ErrorKind::kConflict, "order is already granted" };
  }
  running->second.grantedTo = aTarget;
  return Grant{ aTicket, aTarget };
}

OutcomeEffect
HomeTable::OnOutcome(const Grant& aGrant, Outcome aOutcome, TimePoint aNow)
{
  const auto location = LocateTicket(aGrant.ticket);
  const auto running =
    location ? m_running.find(location->key) : m_running.end();
  if (running == m_running.end() ||
      running->second.grantedTo != aGrant.target) {
    return OutcomeEffect::kIgnored;
  }
  if (auto* ran = std::get_if<RanOutcome>(&aOutcome)) {
    FinishRan(*location, std::move(ran->response), aNow);
    return OutcomeEffect::kFinished;
  }
  if (std::holds_alternative<UnknownOutcome>(aOutcome)) {
    FinishTicket(*location, TicketResult::kUnknown);
    return OutcomeEffect::kFinished;
  }
  if (m_relinquished) {
    // No daemon will dispatch it again: nothing is granted here after
    // Relinquish, and a successor imports it as kUnknown.
    FinishTicket(*location, TicketResult::kNotRun);
    return OutcomeEffect::kFinished;
  }
  running->second.grantedTo.reset();
  return OutcomeEffect::kMayGrantAgain;
}

bool
HomeTable::FinishNotRun(const Ticket& aTicket)
{
  const auto location = LocateTicket(aTicket);
  if (!location || location->neverIssued || location->block == nullptr) {
    return false;
  }
  const TicketResult result = location->block->results.Get(aTicket.index);
  if (result != TicketResult::kOpen) {
    return result == TicketResult::kNotRun;
  }
  const auto running = m_running.find(location->key);
  const bool begun = running != m_running.end();
  if (begun ? running->second.grantedTo.has_value() : m_successor.has_value()) {
    return false;
  }
  FinishTicket(*location, TicketResult::kNotRun);
  return true;
}

std::vector<Ticket>
HomeTable::Relinquish()
{
  m_relinquished = true;
  std::vector<Ticket> finished;
  for (const auto& [key, running] : m_running) {
    if (running.grantedTo) {
      continue;
    }
    finished.push_back({ m_homes[key.homeIndex].id, key.block, key.index });
  }
  for (const Ticket& ticket : finished) {
    FinishTicket(*LocateTicket(ticket), TicketResult::kNotRun);
  }
  return finished;
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

std::optional<HomeTable::TicketLocation>
HomeTable::LocateTicket(const Ticket& aTicket)
{
  const auto homeIndex = FindHome(aTicket.home);
  if (!homeIndex) {
    return std::nullopt;
  }
  Home& home = m_homes[*homeIndex];
  TicketLocation location{ { aTicket.block, *homeIndex, aTicket.index } };
  location.neverIssued =
    aTicket.block >= home.EndBlock() || aTicket.index >= kTicketsPerBlock;
  if (!location.neverIssued && aTicket.block >= home.firstBlock) {
    location.block = &home.blocks[aTicket.block - home.firstBlock];
  }
  return location;
}

} // namespace wagtailbend::orders
