// Property test that applies random operations on several tickets to the
// production tables. Covers the eviction of executor records, which the model
// check leaves out.

#include <array>
#include <cstdlib>
#include <numeric>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "wagtailbend/orders/executor_table.h"
#include "wagtailbend/orders/home_table.h"

namespace wagtailbend::orders {
namespace {

constexpr size_t kTickets = 4;
constexpr uint64_t kPayload = 7;
const std::array<DaemonId, 2> kTargets{ { { "a", 1 }, { "b", 1 } } };

class History
{
public:
  History()
  {
    for (size_t i = 0; i < kTickets; ++i) {
      RC_ASSERT(IsOk(m_homes[0].IssueBlock(m_now)));
    }
  }

  // The bits of aStep select the operation, ticket, home and target.
  void Apply(uint32_t aStep)
  {
    const size_t ticketIndex = (aStep >> 8) % kTickets;
    HomeTable& home = m_homes[(aStep >> 12) % 4 == 0 ? 1 : 0];
    const size_t target = (aStep >> 16) % kTargets.size();
    const Grant grant{ { m_homes[0].Self(), ticketIndex, 3 },
                       kTargets[target] };
    switch (aStep % 16) {
      case 0:
      case 1:
        Begin(home, grant.ticket, ticketIndex);
        break;
      case 2:
      case 3:
        m_grantSent[ticketIndex][target] |=
          IsOk(home.GrantTo(grant.ticket, grant.target));
        break;
      case 10:
        if (m_notStartedReported[ticketIndex][target]) {
          home.OnOutcome(grant, NotStartedOutcome{}, m_now);
        }
        break;
      case 11:
      case 12:
      case 13:
      case 14:
      case 15:
        ApplyRareOperation(aStep, home, grant, ticketIndex);
        break;
      default:
        ApplyAtExecutor(aStep, grant, ticketIndex, target);
    }
  }

  void Check() const
  {
    for (size_t i = 0; i < kTickets; ++i) {
      RC_ASSERT(m_runs[i] <= 1);
      RC_ASSERT(!(m_reportedNotRun[i] && m_runs[i] > 0));
    }
  }

  int RunCount() const
  {
    return std::accumulate(m_runs.begin(), m_runs.end(), 0);
  }

private:
  void ApplyAtExecutor(uint32_t aStep,
                       const Grant& aGrant,
                       size_t aTicketIndex,
                       size_t aTarget)
  {
    ExecutorTable& executor = m_executors[aTarget];
    const Ticket& ticket = aGrant.ticket;
    const uint32_t kind = aStep % 16;
    if (kind == 8) {
      m_notStartedReported[aTicketIndex][aTarget] |=
        executor.RejectBeforeStart(ticket);
    } else if (kind == 6 || kind == 7) {
      m_runs[aTicketIndex] += executor.Start(ticket) ? 1 : 0;
    } else if (m_grantSent[aTicketIndex][aTarget]) {
      const GrantDecision decision =
        kind == 9 ? executor.ConfirmNotStarted(ticket, aGrant.target, m_now)
                  : executor.OnGrant(ticket, aGrant.target, m_now);
      m_notStartedReported[aTicketIndex][aTarget] |=
        decision == GrantDecision::kNotStarted;
    }
  }

  // Operations that finish orders early are rare, so that most histories run at
  // least one order.
  void ApplyRareOperation(uint32_t aStep,
                          HomeTable& aHome,
                          const Grant& aGrant,
                          size_t aTicketIndex)
  {
    const bool rare = (aStep >> 20) % 16 == 0;
    if (aStep % 16 == 11 && rare) {
      aHome.OnOutcome(aGrant, UnknownOutcome{}, m_now);
    } else if (aStep % 16 == 12 && rare) {
      m_reportedNotRun[aTicketIndex] |= aHome.FinishNotRun(aGrant.ticket);
    } else if (aStep % 16 == 13 && rare) {
      m_now += std::chrono::minutes(4);
      aHome.Expire(m_now);
      m_executors[0].Evict(m_now);
    } else if (aStep % 16 == 14 && rare) {
      m_handOver = TakeValue(m_homes[0].Export(m_homes[1].Self(), m_now));
    } else if (aStep % 16 == 15 && m_handOver) {
      RC_ASSERT(IsOk(m_homes[1].Import(*m_handOver, m_now)));
    }
  }

  void Begin(HomeTable& aHome, const Ticket& aTicket, size_t aTicketIndex)
  {
    const BeginDecision begin = aHome.Begin(aTicket, kPayload, m_now);
    m_reportedNotRun[aTicketIndex] |=
      begin.kind == BeginKind::kReject &&
      ErrorResponseFor(begin.error.kind).runState == RunState::kNotRun;
  }

  static ExecutorLimits SmallLimits()
  {
    ExecutorLimits limits;
    limits.maxBlocks = 2;
    return limits;
  }

  TimePoint m_now;
  std::array<HomeTable, 2> m_homes{ HomeTable({ "home", 1 }),
                                    HomeTable({ "next", 1 }) };
  std::array<ExecutorTable, 2> m_executors{
    ExecutorTable(kTargets[0], SmallLimits()),
    ExecutorTable(kTargets[1], SmallLimits())
  };
  std::optional<HandOverTable> m_handOver;
  std::array<std::array<bool, 2>, kTickets> m_grantSent{};
  std::array<std::array<bool, 2>, kTickets> m_notStartedReported{};
  std::array<int, kTickets> m_runs{};
  std::array<bool, kTickets> m_reportedNotRun{};
};

// Guards against running an order twice, or falsely reporting it as not run,
// when executor records are evicted while grants are duplicated and delayed.
TEST(OrdersProperty, RunsAtMostOnceWithEviction)
{
  // The seed is fixed unless RC_PARAMS is set in the environment.
  ::setenv("RC_PARAMS", "seed=20261204 max_success=2000 max_size=800", 0);
  EXPECT_TRUE(rc::check([] {
    const auto steps = *rc::gen::container<std::vector<uint32_t>>(
      rc::gen::inRange<uint32_t>(0, 1U << 24));
    History history;
    for (const uint32_t step : steps) {
      history.Apply(step);
      history.Check();
    }
    RC_CLASSIFY(history.RunCount() > 0, "some order ran");
    RC_CLASSIFY(history.RunCount() > 1, "several orders ran");
  }));
}

} // namespace
} // namespace wagtailbend::orders
