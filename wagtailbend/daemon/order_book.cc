#include "wagtailbend/daemon/order_book.h"

#include <utility>

namespace wagtailbend::daemon {

namespace {

void
CallAll(const std::vector<OrderBook::Waiter>& aWaiters)
{
  for (const OrderBook::Waiter& waiter : aWaiters) {
    waiter();
  }
}

} // namespace

OrderBook::OrderBook(DaemonId aSelf,
                     orders::HomeLimits aHomeLimits,
                     orders::ExecutorLimits aExecutorLimits)
  : m_self(std::move(aSelf))
  , m_home(m_self, aHomeLimits)
  , m_served{ m_self }
  , m_executor(m_self, aExecutorLimits)
{
}

Result<orders::TicketBlock>
OrderBook::IssueBlock(TimePoint aNow)
{
  const std::lock_guard lock(m_homeMutex);
  return m_home.IssueBlock(aNow);
}

bool
OrderBook::Serves(const DaemonId& aHome) const
{
  if (aHome == m_self) {
    return true;
  }
  const std::lock_guard lock(m_homeMutex);
  return m_served.contains(aHome);
}

orders::BeginDecision
OrderBook::Begin(const orders::Ticket& aTicket,
                 uint64_t aPayloadHash,
                 TimePoint aNow,
                 Waiter aWaiter)
{
  const std::lock_guard lock(m_homeMutex);
  orders::BeginDecision decision = m_home.Begin(aTicket, aPayloadHash, aNow);
  if (decision.kind == orders::BeginKind::kJoin) {
    m_waiters[aTicket].push_back(std::move(aWaiter));
  }
  return decision;
}

Result<orders::Grant>
OrderBook::GrantTo(const orders::Ticket& aTicket, const DaemonId& aTarget)
{
  const std::lock_guard lock(m_homeMutex);
  return m_home.GrantTo(aTicket, aTarget);
}

orders::OutcomeEffect
OrderBook::OnOutcome(const orders::Grant& aGrant,
                     orders::Outcome aOutcome,
                     TimePoint aNow)
{
  std::vector<Waiter> waiters;
  orders::OutcomeEffect effect;
  {
    const std::lock_guard lock(m_homeMutex);
    effect = m_home.OnOutcome(aGrant, std::move(aOutcome), aNow);
    if (effect == orders::OutcomeEffect::kFinished) {
      waiters = TakeWaiters(aGrant.ticket);
    }
  }
  CallAll(waiters);
  return effect;
}

bool
OrderBook::FinishNotRun(const orders::Ticket& aTicket)
{
  std::vector<Waiter> waiters;
  {
    const std::lock_guard lock(m_homeMutex);
    if (!m_home.FinishNotRun(aTicket)) {
      return false;
    }
    waiters = TakeWaiters(aTicket);
  }
  CallAll(waiters);
  return true;
}

void
OrderBook::Relinquish()
{
  std::vector<Waiter> waiters;
  {
    const std::lock_guard lock(m_homeMutex);
    for (const orders::Ticket& ticket : m_home.Relinquish()) {
      for (Waiter& waiter : TakeWaiters(ticket)) {
        waiters.push_back(std::move(waiter));
      }
    }
  }
  CallAll(waiters);
}

Result<orders::HandOverTable>
OrderBook::Export(const DaemonId& aSuccessor, TimePoint aNow)
{
  const std::lock_guard lock(m_homeMutex);
  return m_home.Export(aSuccessor, aNow);
}

Result<Done>
OrderBook::Import(const orders::HandOverTable& aTable, TimePoint aNow)
{
  const std::lock_guard lock(m_homeMutex);
  auto imported = m_home.Import(aTable, aNow);
  if (IsOk(imported)) {
    for (const orders::HandOverTable::Home& home : aTable.homes) {
      m_served.insert(home.id);
    }
  }
  return imported;
}

std::optional<orders::TicketStatus>
OrderBook::Lookup(const orders::Ticket& aTicket) const
{
  const std::lock_guard lock(m_homeMutex);
  return m_home.Lookup(aTicket);
}

size_t
OrderBook::RunningCount() const
{
  const std::lock_guard lock(m_homeMutex);
  return m_home.RunningCount();
}

orders::GrantDecision
OrderBook::OnGrant(const orders::Ticket& aTicket,
                   const DaemonId& aAddressed,
                   TimePoint aNow)
{
  const std::lock_guard lock(m_executorMutex);
  return m_executor.OnGrant(aTicket, aAddressed, aNow);
}

bool
OrderBook::Start(const orders::Ticket& aTicket)
{
  const std::lock_guard lock(m_executorMutex);
  return m_executor.Start(aTicket);
}

bool
OrderBook::RejectBeforeStart(const orders::Ticket& aTicket)
{
  const std::lock_guard lock(m_executorMutex);
  return m_executor.RejectBeforeStart(aTicket);
}

orders::GrantDecision
OrderBook::ConfirmNotStarted(const orders::Ticket& aTicket,
                             const DaemonId& aAddressed,
                             TimePoint aNow)
{
  const std::lock_guard lock(m_executorMutex);
  return m_executor.ConfirmNotStarted(aTicket, aAddressed, aNow);
}

void
OrderBook::Expire(TimePoint aNow)
{
  {
    const std::lock_guard lock(m_homeMutex);
    m_home.Expire(aNow);
  }
  const std::lock_guard lock(m_executorMutex);
  m_executor.Evict(aNow);
}

std::vector<OrderBook::Waiter>
OrderBook::TakeWaiters(const orders::Ticket& aTicket)
{
  const auto found = m_waiters.find(aTicket);
  if (found == m_waiters.end()) {
    return {};
  }
  std::vector<Waiter> waiters = std::move(found->second);
  m_waiters.erase(found);
  return waiters;
}

} // namespace wagtailbend::daemon
