// The daemon's home table and executor table, shared by the traffic threads.
//
//   OrderBook book(self);
//   BeginDecision begin = book.Begin(ticket, hash, now, [] { TryAgain(); });
//   if (begin.kind == BeginKind::kRun) {
//     Result<Grant> grant = book.GrantTo(ticket, target);
//     ... book.OnOutcome(*grant, RanOutcome{ response }, now);
//   }

#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <vector>

#include "wagtailbend/orders/executor_table.h"
#include "wagtailbend/orders/home_table.h"

namespace wagtailbend::daemon {

/// Thread-safe. One lock guards the home table and the callers who wait for
/// the end of an order, another the executor table. Critical sections do no
/// I/O and call nobody back; no method takes both locks. Orders are the only
/// requests that take them. The control thread does not own the tables, because
/// each order passes them four times; order_path_bench sends 11,000 orders/s
/// through one daemon from 16 callers.
class OrderBook
{
public:
  using Waiter = std::function<void()>;

  explicit OrderBook(DaemonId aSelf,
                     orders::HomeLimits aHomeLimits = {},
                     orders::ExecutorLimits aExecutorLimits = {});

  const DaemonId& Self() const { return m_self; }

  /// As HomeTable::IssueBlock.
  Result<orders::TicketBlock> IssueBlock(TimePoint aNow);
  /// Returns true if this daemon holds the table of aHome: its own, or one that
  /// it took over.
  bool Serves(const DaemonId& aHome) const;
  /// As HomeTable::Begin. With kJoin aWaiter is kept and called exactly once,
  /// from any thread, possibly before Begin returns, when the order has ended;
  /// it shall call Begin again.
  orders::BeginDecision Begin(const orders::Ticket& aTicket,
                              uint64_t aPayloadHash,
                              TimePoint aNow,
                              Waiter aWaiter);
  /// As HomeTable::GrantTo.
  Result<orders::Grant> GrantTo(const orders::Ticket& aTicket,
                                const DaemonId& aTarget);
  /// As HomeTable::OnOutcome. Calls the waiters of an order that has ended.
  orders::OutcomeEffect OnOutcome(const orders::Grant& aGrant,
                                  orders::Outcome aOutcome,
                                  TimePoint aNow);
  /// As HomeTable::FinishNotRun. Calls the waiters of an order that has ended.
  [[nodiscard]] bool FinishNotRun(const orders::Ticket& aTicket);
  /// As HomeTable::Relinquish. Calls the waiters of the orders that ended.
  void Relinquish();
  /// As HomeTable::Export.
  Result<orders::HandOverTable> Export(const DaemonId& aSuccessor,
                                       TimePoint aNow);
  /// As HomeTable::Import.
  Result<Done> Import(const orders::HandOverTable& aTable, TimePoint aNow);
  /// As HomeTable::Lookup.
  std::optional<orders::TicketStatus> Lookup(
    const orders::Ticket& aTicket) const;
  /// Orders that are begun and have not ended.
  size_t RunningCount() const;

  /// As ExecutorTable::OnGrant.
  orders::GrantDecision OnGrant(const orders::Ticket& aTicket,
                                const DaemonId& aAddressed,
                                TimePoint aNow);
  /// As ExecutorTable::Start.
  [[nodiscard]] bool Start(const orders::Ticket& aTicket);
  /// As ExecutorTable::RejectBeforeStart.
  [[nodiscard]] bool RejectBeforeStart(const orders::Ticket& aTicket);
  /// As ExecutorTable::ConfirmNotStarted.
  orders::GrantDecision ConfirmNotStarted(const orders::Ticket& aTicket,
                                          const DaemonId& aAddressed,
                                          TimePoint aNow);

  /// Releases what has expired in both tables.
  void Expire(TimePoint aNow);

private:
  std::vector<Waiter> TakeWaiters(const orders::Ticket& aTicket);

  const DaemonId m_self;
  // Guards the three members below.
  mutable std::mutex m_homeMutex;
  orders::HomeTable m_home;
  std::map<orders::Ticket, std::vector<Waiter>> m_waiters;
  std::set<DaemonId> m_served;
  // Guards m_executor.
  mutable std::mutex m_executorMutex;
  orders::ExecutorTable m_executor;
};

} // namespace wagtailbend::daemon
