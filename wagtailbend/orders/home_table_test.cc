#include "wagtailbend/orders/home_table.h"

#include <gtest/gtest.h>

namespace wagtailbend::orders {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr TimePoint kNow{};
constexpr uint64_t kPayload = 42;
const DaemonId kHome{ "home", 1 };
const DaemonId kTargetA{ "a", 1 };
const DaemonId kTargetB{ "b", 1 };
const DaemonId kSuccessor{ "next", 1 };
const Ticket kTicket{ kHome, 0, 5 };
const StoredResponse kResponse{ 0, "paid" };

class HomeTableTest : public ::testing::Test
{
protected:
  HomeTableTest() { EXPECT_TRUE(IsOk(m_table.IssueBlock(kNow))); }

  // Returns the text of what a caller is told at aNow.
  static std::string Told(HomeTable& aTable,
                          const Ticket& aTicket,
                          TimePoint aNow = kNow,
                          uint64_t aPayload = kPayload)
  {
    const BeginDecision begin = aTable.Begin(aTicket, aPayload, aNow);
    switch (begin.kind) {
      case BeginKind::kRun:
        return "run";
      case BeginKind::kJoin:
        return "join";
      case BeginKind::kReplay:
        return "replay " + begin.response->bytes;
      case BeginKind::kRelay:
        return "relay " + begin.successor.name;
      case BeginKind::kReject:
        break;
    }
    return std::string(AnswerFor(begin.error.kind).name);
  }
  std::string Told(TimePoint aNow = kNow)
  {
    return Told(m_table, kTicket, aNow);
  }
  Grant Granted(const DaemonId& aTarget = kTargetA)
  {
    EXPECT_EQ(Told(), "run");
    EXPECT_TRUE(IsOk(m_table.GrantTo(kTicket, aTarget)));
    return { kTicket, aTarget };
  }
  HandOverTable Exported()
  {
    return TakeValue(m_table.Export(kSuccessor, kNow));
  }

  HomeTable m_table{ kHome };
};

// Guards against a duplicate from another daemon starting the order again.
TEST_F(HomeTableTest, DuplicateJoinsThenReplaysThenIsRefused)
{
  const Grant grant = Granted();
  EXPECT_EQ(Told(), "join");
  EXPECT_EQ(m_table.OnOutcome(grant, Ran{ kResponse }, kNow),
            OutcomeEffect::kFinished);
  EXPECT_EQ(Told(), "replay paid");
  m_table.Expire(kNow + seconds(60));
  EXPECT_EQ(Told(kNow + seconds(60)), "already-ran");
  m_table.Expire(kNow + minutes(60));
  EXPECT_EQ(Told(kNow + minutes(60)), "already-ran");
}

// Guards against a customer receiving the response to another order.
TEST_F(HomeTableTest, TicketReusedForAnotherPayloadIsInvalid)
{
  const Grant grant = Granted();
  EXPECT_EQ(Told(m_table, kTicket, kNow, 43), "invalid-request");
  m_table.OnOutcome(grant, Ran{ kResponse }, kNow);
  EXPECT_EQ(Told(m_table, kTicket, kNow, 43), "invalid-request");
}

struct OutcomeCase
{
  const char* fault;
  Outcome outcome;
  OutcomeEffect effect;
  const char* told;
};

// Guards against a wrong answer after each way in which a grant can end.
TEST_F(HomeTableTest, OutcomesOfAGrant)
{
  const std::vector<OutcomeCase> cases = {
    { "target answered",
      Ran{ kResponse },
      OutcomeEffect::kFinished,
      "replay paid" },
    { "target killed before start",
      NotStarted{},
      OutcomeEffect::kMayGrantAgain,
      "join" },
    { "target killed after start, reply lost or daemon restarted",
      MayHaveRun{},
      OutcomeEffect::kFinished,
      "outcome-unknown" },
  };
  for (const OutcomeCase& row : cases) {
    SCOPED_TRACE(row.fault);
    m_table = HomeTable(kHome);
    ASSERT_TRUE(IsOk(m_table.IssueBlock(kNow)));
    const Grant grant = Granted();
    EXPECT_EQ(m_table.OnOutcome(grant, row.outcome, kNow), row.effect);
    EXPECT_EQ(Told(), row.told);
    // A late duplicate and a contradicting late message change nothing.
    for (const Outcome& late : { row.outcome, Outcome(NotStarted{}) }) {
      EXPECT_EQ(m_table.OnOutcome(grant, late, kNow), OutcomeEffect::kIgnored);
    }
    EXPECT_EQ(Told(), row.told);
  }
}

// Guards against two target daemons holding the grant at the same time.
TEST_F(HomeTableTest, MovesOnlyAfterTombstone)
{
  const Grant first = Granted();
  EXPECT_FALSE(IsOk(m_table.GrantTo(kTicket, kTargetB)));
  // Another incarnation of the same daemon proves nothing about this one.
  EXPECT_EQ(m_table.OnOutcome({ kTicket, { "a", 2 } }, NotStarted{}, kNow),
            OutcomeEffect::kIgnored);
  EXPECT_FALSE(IsOk(m_table.GrantTo(kTicket, kTargetB)));
  m_table.OnOutcome(first, NotStarted{}, kNow);
  EXPECT_TRUE(IsOk(m_table.GrantTo(kTicket, kTargetB)));
  EXPECT_EQ(m_table.OnOutcome(first, NotStarted{}, kNow),
            OutcomeEffect::kIgnored);
  EXPECT_FALSE(IsOk(m_table.GrantTo(kTicket, kTargetA)));
}

// Guards against "not run" for an order that a delayed duplicate then runs.
TEST_F(HomeTableTest, NotRunIsFinal)
{
  EXPECT_EQ(Told(), "run");
  EXPECT_TRUE(m_table.FinishNotRun(kTicket));
  EXPECT_EQ(Told(), "not-run");
  const Ticket other{ kHome, 0, 6 };
  EXPECT_TRUE(m_table.FinishNotRun(other));
  EXPECT_EQ(Told(m_table, other), "not-run");
  EXPECT_FALSE(IsOk(m_table.GrantTo(other, kTargetA)));
}

// Guards against "not run" while a target may run the order.
TEST_F(HomeTableTest, GrantedOrderIsNotFinishedAsNotRun)
{
  Granted();
  EXPECT_FALSE(m_table.FinishNotRun(kTicket));
  EXPECT_EQ(Told(), "join");
}

// Guards against a home that was frozen past the expiry dispatching a ticket
// that it, or a purge by timer, already declared expired.
TEST_F(HomeTableTest, ExpiryOnTheHomesClock)
{
  const Grant grant = Granted();
  const Ticket idle{ kHome, 0, 6 };
  EXPECT_EQ(Told(m_table, idle, kNow + minutes(10)), "not-run");
  EXPECT_EQ(Told(m_table, idle), "not-run");
  m_table.Expire(kNow + minutes(10));
  EXPECT_EQ(Told(m_table, { kHome, 0, 7 }), "not-run");
  // The running order outlives its block.
  EXPECT_EQ(Told(kNow + minutes(10)), "join");
  m_table.OnOutcome(grant, Ran{ kResponse }, kNow + minutes(10));
  EXPECT_EQ(Told(kNow + minutes(10)), "replay paid");
}

// Guards against "not run" by a home that cannot know, and against unbounded
// memory for results.
TEST_F(HomeTableTest, ForeignEvictedAndUnissuedTickets)
{
  EXPECT_EQ(Told(m_table, { { "home", 2 }, 0, 5 }), "outcome-unknown");
  EXPECT_EQ(Told(m_table, { kTargetA, 0, 5 }), "outcome-unknown");
  EXPECT_EQ(Told(m_table, { kHome, 1, 5 }), "invalid-request");
  EXPECT_EQ(Told(m_table, { kHome, 0, 64 }), "invalid-request");
  m_table.Expire(kNow + std::chrono::hours(25));
  EXPECT_EQ(Told(), "outcome-unknown");
  HomeLimits limits;
  limits.maxBlocks = 1;
  HomeTable small(kHome, limits);
  EXPECT_TRUE(IsOk(small.IssueBlock(kNow)));
  EXPECT_FALSE(IsOk(small.IssueBlock(kNow)));
  EXPECT_TRUE(IsOk(small.IssueBlock(kNow + minutes(10))));
  EXPECT_EQ(Told(small, kTicket), "outcome-unknown");
}

// Guards against stored responses growing without bound.
TEST(HomeTableLimits, ResponseBytesAreBounded)
{
  HomeLimits limits;
  limits.maxResponseBytes = 10;
  HomeTable table(kHome, limits);
  ASSERT_TRUE(IsOk(table.IssueBlock(kNow)));
  const std::vector<std::pair<size_t, size_t>> sizeAndTotal = {
    { 4, 4 }, { 6, 10 }, { 11, 10 }, { 1, 7 }, { 10, 10 }
  };
  uint32_t index = 0;
  for (const auto& [size, total] : sizeAndTotal) {
    const Ticket ticket{ kHome, 0, index++ };
    table.Begin(ticket, kPayload, kNow);
    ASSERT_TRUE(IsOk(table.GrantTo(ticket, kTargetA)));
    table.OnOutcome(
      { ticket, kTargetA }, Ran{ { 0, std::string(size, 'x') } }, kNow);
    EXPECT_EQ(table.ResponseBytes(), total);
  }
  EXPECT_EQ(table.Begin({ kHome, 0, 2 }, kPayload, kNow).error.kind,
            ErrorKind::kAlreadyRan);
}

// Guards against the old home dispatching, or declaring "not run", after its
// tickets were exported and the reply to the transfer was lost.
TEST_F(HomeTableTest, ExportEndsDispatchAlsoIfTheTransferIsLost)
{
  EXPECT_EQ(Told(), "run");
  Exported();
  EXPECT_EQ(Told(), "not-run");
  EXPECT_FALSE(IsOk(m_table.GrantTo(kTicket, kTargetA)));
  EXPECT_FALSE(IsOk(m_table.IssueBlock(kNow)));
  const Ticket open{ kHome, 0, 6 };
  EXPECT_EQ(Told(m_table, open), "relay next");
  EXPECT_FALSE(m_table.FinishNotRun(open));
  m_table.Expire(kNow + minutes(10));
  EXPECT_EQ(Told(m_table, open, kNow + minutes(10)), "relay next");
  // The first successor may have the table, so nobody else gets it.
  EXPECT_FALSE(IsOk(m_table.Export({ "next", 2 }, kNow)));
  EXPECT_TRUE(IsOk(m_table.Export(kSuccessor, kNow)));
}

// Guards against the successor losing results, or running what the old home
// ran or granted.
TEST_F(HomeTableTest, SuccessorContinues)
{
  const Grant grant = Granted();
  m_table.OnOutcome(grant, Ran{ kResponse }, kNow);
  const Ticket granted{ kHome, 0, 6 };
  EXPECT_EQ(Told(m_table, granted), "run");
  ASSERT_TRUE(IsOk(m_table.GrantTo(granted, kTargetA)));
  const Ticket open{ kHome, 0, 7 };
  const HandOverTable table = Exported();

  HomeTable next(kSuccessor);
  ASSERT_TRUE(IsOk(next.Import(table, kNow)));
  EXPECT_EQ(Told(next, kTicket), "replay paid");
  EXPECT_EQ(Told(next, granted), "outcome-unknown");
  EXPECT_EQ(Told(next, open), "run");
  ASSERT_TRUE(IsOk(next.GrantTo(open, kTargetB)));
  // A duplicate of the transfer must not reopen the ticket.
  ASSERT_TRUE(IsOk(next.Import(table, kNow)));
  EXPECT_EQ(Told(next, open), "join");
  // The old home still reports the outcome of its own grant.
  m_table.OnOutcome({ granted, kTargetA }, Ran{ kResponse }, kNow);
  EXPECT_EQ(Told(m_table, granted), "replay paid");
  next.Expire(kNow + minutes(10));
  EXPECT_EQ(Told(next, { kHome, 0, 8 }), "not-run");
}

// Guards against a restarted or stopping successor taking the table.
TEST_F(HomeTableTest, WrongSuccessorIsRefused)
{
  const HandOverTable table = Exported();
  HomeTable restarted({ "next", 2 });
  EXPECT_EQ(GetError(restarted.Import(table, kNow))->kind,
            ErrorKind::kStaleIncarnation);
  HomeTable stopping(kSuccessor);
  stopping.Relinquish();
  EXPECT_EQ(GetError(stopping.Import(table, kNow))->kind, ErrorKind::kDraining);
}

// Guards against a planned stop interrupting a granted order.
TEST_F(HomeTableTest, RelinquishLetsGrantedOrdersFinish)
{
  const Grant grant = Granted();
  const Ticket begun{ kHome, 0, 6 };
  EXPECT_EQ(Told(m_table, begun), "run");
  EXPECT_EQ(m_table.Relinquish(), std::vector<Ticket>{ begun });
  EXPECT_EQ(Told(m_table, { kHome, 0, 7 }), "outcome-unknown");
  EXPECT_EQ(m_table.OnOutcome(grant, Ran{ kResponse }, kNow),
            OutcomeEffect::kFinished);
  EXPECT_EQ(Told(), "replay paid");
}

} // namespace
} // namespace wagtailbend::orders
