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

  // Begins the order at aNow and returns the decision as text.
  static std::string BeginAndDescribe(HomeTable& aTable,
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
    return std::string(ErrorResponseFor(begin.error.kind).name);
  }
  std::string BeginAndDescribe(TimePoint aNow = kNow)
  {
    return BeginAndDescribe(m_table, kTicket, aNow);
  }
  Grant BeginAndGrant(const DaemonId& aTarget = kTargetA)
  {
    EXPECT_EQ(BeginAndDescribe(), "run");
    EXPECT_TRUE(IsOk(m_table.GrantTo(kTicket, aTarget)));
    return { kTicket, aTarget };
  }
  HandOverTable ExportTable()
  {
    return TakeValue(m_table.Export(kSuccessor, kNow));
  }

  HomeTable m_table{ kHome };
};

// Guards against running an order again when a duplicate of it arrives from
// another daemon.
TEST_F(HomeTableTest, DuplicateJoinsThenReplaysThenIsRejected)
{
  const Grant grant = BeginAndGrant();
  EXPECT_EQ(BeginAndDescribe(), "join");
  EXPECT_EQ(m_table.OnOutcome(grant, RanOutcome{ kResponse }, kNow),
            OutcomeEffect::kFinished);
  EXPECT_EQ(BeginAndDescribe(), "replay paid");
  m_table.Expire(kNow + seconds(60));
  EXPECT_EQ(BeginAndDescribe(kNow + seconds(60)), "already-ran");
  m_table.Expire(kNow + minutes(60));
  EXPECT_EQ(BeginAndDescribe(kNow + minutes(60)), "already-ran");
}

// Guards against returning the response of one order to a customer who reused
// its ticket for another.
TEST_F(HomeTableTest, TicketReusedForAnotherPayloadIsInvalid)
{
  const Grant grant = BeginAndGrant();
  EXPECT_EQ(BeginAndDescribe(m_table, kTicket, kNow, 43), "invalid-request");
  m_table.OnOutcome(grant, RanOutcome{ kResponse }, kNow);
  EXPECT_EQ(BeginAndDescribe(m_table, kTicket, kNow, 43), "invalid-request");
}

struct OutcomeCase
{
  const char* fault;
  Outcome outcome;
  OutcomeEffect effect;
  const char* decision;
};

// Guards against a wrong decision after each possible outcome of a grant, and
// against a late or contradictory outcome replacing the first.
TEST_F(HomeTableTest, OutcomesOfAGrant)
{
  const std::vector<OutcomeCase> cases = {
    { "target responded",
      RanOutcome{ kResponse },
      OutcomeEffect::kFinished,
      "replay paid" },
    { "target killed before start",
      NotStartedOutcome{},
      OutcomeEffect::kMayGrantAgain,
      "join" },
    { "target killed after start, response lost or daemon restarted",
      UnknownOutcome{},
      OutcomeEffect::kFinished,
      "outcome-unknown" },
  };
  for (const OutcomeCase& testCase : cases) {
    SCOPED_TRACE(testCase.fault);
    m_table = HomeTable(kHome);
    ASSERT_TRUE(IsOk(m_table.IssueBlock(kNow)));
    const Grant grant = BeginAndGrant();
    EXPECT_EQ(m_table.OnOutcome(grant, testCase.outcome, kNow),
              testCase.effect);
    EXPECT_EQ(BeginAndDescribe(), testCase.decision);
    // A late duplicate and a late contradictory outcome change nothing.
    for (const Outcome& late :
         { testCase.outcome, Outcome(NotStartedOutcome{}) }) {
      EXPECT_EQ(m_table.OnOutcome(grant, late, kNow), OutcomeEffect::kIgnored);
    }
    EXPECT_EQ(BeginAndDescribe(), testCase.decision);
  }
}

// Guards against two target daemons holding the grant of an order at once.
TEST_F(HomeTableTest, IsGrantedAgainOnlyAfterTombstone)
{
  const Grant first = BeginAndGrant();
  EXPECT_FALSE(IsOk(m_table.GrantTo(kTicket, kTargetB)));
  // An outcome from another incarnation says nothing about this grant.
  EXPECT_EQ(
    m_table.OnOutcome({ kTicket, { "a", 2 } }, NotStartedOutcome{}, kNow),
    OutcomeEffect::kIgnored);
  EXPECT_FALSE(IsOk(m_table.GrantTo(kTicket, kTargetB)));
  m_table.OnOutcome(first, NotStartedOutcome{}, kNow);
  EXPECT_TRUE(IsOk(m_table.GrantTo(kTicket, kTargetB)));
  EXPECT_EQ(m_table.OnOutcome(first, NotStartedOutcome{}, kNow),
            OutcomeEffect::kIgnored);
  EXPECT_FALSE(IsOk(m_table.GrantTo(kTicket, kTargetA)));
}

// Guards against reporting "not run" for an order that a delayed duplicate then
// runs.
TEST_F(HomeTableTest, NotRunIsFinal)
{
  EXPECT_EQ(BeginAndDescribe(), "run");
  EXPECT_TRUE(m_table.FinishNotRun(kTicket));
  EXPECT_EQ(BeginAndDescribe(), "not-run");
  const Ticket other{ kHome, 0, 6 };
  EXPECT_TRUE(m_table.FinishNotRun(other));
  EXPECT_EQ(BeginAndDescribe(m_table, other), "not-run");
  EXPECT_FALSE(IsOk(m_table.GrantTo(other, kTargetA)));
}

// Guards against reporting "not run" while a target may still run the order.
TEST_F(HomeTableTest, GrantedOrderIsNotFinishedAsNotRun)
{
  BeginAndGrant();
  EXPECT_FALSE(m_table.FinishNotRun(kTicket));
  EXPECT_EQ(BeginAndDescribe(), "join");
}

// Guards against dispatching a ticket after its expiry was reported: the
// process may be paused past the expiry, or Expire may run first.
TEST_F(HomeTableTest, ExpiryIsFinal)
{
  const Grant grant = BeginAndGrant();
  const Ticket idle{ kHome, 0, 6 };
  EXPECT_EQ(BeginAndDescribe(m_table, idle, kNow + minutes(10)), "not-run");
  EXPECT_EQ(BeginAndDescribe(m_table, idle), "not-run");
  m_table.Expire(kNow + minutes(10));
  EXPECT_EQ(BeginAndDescribe(m_table, { kHome, 0, 7 }), "not-run");
  // A running order is not affected by the expiry of its block.
  EXPECT_EQ(BeginAndDescribe(kNow + minutes(10)), "join");
  m_table.OnOutcome(grant, RanOutcome{ kResponse }, kNow + minutes(10));
  EXPECT_EQ(BeginAndDescribe(kNow + minutes(10)), "replay paid");
}

// Guards against reporting "not run" for tickets whose result this home cannot
// know, and against results using unbounded memory.
TEST_F(HomeTableTest, UnknownHomeEvictedAndUnissuedTickets)
{
  EXPECT_EQ(BeginAndDescribe(m_table, { { "home", 2 }, 0, 5 }),
            "outcome-unknown");
  EXPECT_EQ(BeginAndDescribe(m_table, { kTargetA, 0, 5 }), "outcome-unknown");
  EXPECT_EQ(BeginAndDescribe(m_table, { kHome, 1, 5 }), "invalid-request");
  EXPECT_EQ(BeginAndDescribe(m_table, { kHome, 0, 64 }), "invalid-request");
  m_table.Expire(kNow + std::chrono::hours(25));
  EXPECT_EQ(BeginAndDescribe(), "outcome-unknown");
  HomeLimits limits;
  limits.maxBlocks = 1;
  HomeTable small(kHome, limits);
  EXPECT_TRUE(IsOk(small.IssueBlock(kNow)));
  EXPECT_FALSE(IsOk(small.IssueBlock(kNow)));
  EXPECT_TRUE(IsOk(small.IssueBlock(kNow + minutes(10))));
  EXPECT_EQ(BeginAndDescribe(small, kTicket), "outcome-unknown");
}

// Guards against stored responses using unbounded memory.
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
      { ticket, kTargetA }, RanOutcome{ { 0, std::string(size, 'x') } }, kNow);
    EXPECT_EQ(table.ResponseBytes(), total);
  }
  EXPECT_EQ(table.Begin({ kHome, 0, 2 }, kPayload, kNow).error.kind,
            ErrorKind::kAlreadyRan);
}

// Guards against the old home dispatching an order, or reporting it as not run,
// after the export of its tickets, when the response to the transfer is lost.
TEST_F(HomeTableTest, ExportStopsDispatchEvenIfTransferIsLost)
{
  EXPECT_EQ(BeginAndDescribe(), "run");
  ExportTable();
  EXPECT_EQ(BeginAndDescribe(), "not-run");
  EXPECT_FALSE(IsOk(m_table.GrantTo(kTicket, kTargetA)));
  EXPECT_FALSE(IsOk(m_table.IssueBlock(kNow)));
  const Ticket open{ kHome, 0, 6 };
  EXPECT_EQ(BeginAndDescribe(m_table, open), "relay next");
  EXPECT_FALSE(m_table.FinishNotRun(open));
  m_table.Expire(kNow + minutes(10));
  EXPECT_EQ(BeginAndDescribe(m_table, open, kNow + minutes(10)), "relay next");
  // The first successor may have received the table, so others are rejected.
  EXPECT_FALSE(IsOk(m_table.Export({ "next", 2 }, kNow)));
  EXPECT_TRUE(IsOk(m_table.Export(kSuccessor, kNow)));
}

// Guards against the successor losing results, or running orders that the old
// home already ran or granted.
TEST_F(HomeTableTest, SuccessorKeepsResultsAndRunsOpenOrders)
{
  const Grant grant = BeginAndGrant();
  m_table.OnOutcome(grant, RanOutcome{ kResponse }, kNow);
  const Ticket granted{ kHome, 0, 6 };
  EXPECT_EQ(BeginAndDescribe(m_table, granted), "run");
  ASSERT_TRUE(IsOk(m_table.GrantTo(granted, kTargetA)));
  const Ticket open{ kHome, 0, 7 };
  const HandOverTable table = ExportTable();

  HomeTable next(kSuccessor);
  ASSERT_TRUE(IsOk(next.Import(table, kNow)));
  EXPECT_EQ(BeginAndDescribe(next, kTicket), "replay paid");
  EXPECT_EQ(BeginAndDescribe(next, granted), "outcome-unknown");
  EXPECT_EQ(BeginAndDescribe(next, open), "run");
  ASSERT_TRUE(IsOk(next.GrantTo(open, kTargetB)));
  // A duplicate transfer must not make the running order open again.
  ASSERT_TRUE(IsOk(next.Import(table, kNow)));
  EXPECT_EQ(BeginAndDescribe(next, open), "join");
  // The old home still reports the outcome of its own grant.
  m_table.OnOutcome({ granted, kTargetA }, RanOutcome{ kResponse }, kNow);
  EXPECT_EQ(BeginAndDescribe(m_table, granted), "replay paid");
  next.Expire(kNow + minutes(10));
  EXPECT_EQ(BeginAndDescribe(next, { kHome, 0, 8 }), "not-run");
}

// Guards against a restarted or stopping successor importing the table.
TEST_F(HomeTableTest, WrongSuccessorIsRejected)
{
  const HandOverTable table = ExportTable();
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
  const Grant grant = BeginAndGrant();
  const Ticket begun{ kHome, 0, 6 };
  EXPECT_EQ(BeginAndDescribe(m_table, begun), "run");
  EXPECT_EQ(m_table.Relinquish(), std::vector<Ticket>{ begun });
  EXPECT_EQ(BeginAndDescribe(m_table, { kHome, 0, 7 }), "outcome-unknown");
  EXPECT_EQ(m_table.OnOutcome(grant, RanOutcome{ kResponse }, kNow),
            OutcomeEffect::kFinished);
  EXPECT_EQ(BeginAndDescribe(), "replay paid");
}

} // namespace
} // namespace wagtailbend::orders
