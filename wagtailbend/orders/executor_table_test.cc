#include "wagtailbend/orders/executor_table.h"

#include <gtest/gtest.h>

namespace wagtailbend::orders {
namespace {

constexpr TimePoint kNow{};
const DaemonId kSelf{ "target", 2 };
const DaemonId kEarlierSelf{ "target", 1 };
const DaemonId kHome{ "home", 1 };
const Ticket kTicket{ kHome, 4, 5 };

struct Case
{
  const char* fault;
  // g: grant; G: grant addressed to the old incarnation; s: start; r: reject
  // before start; c: ConfirmNotStarted; C: the same, addressed to the old
  // incarnation.
  const char* steps;
  // Result of each step. a: accepted; n: not started; d: duplicate; i: stale
  // incarnation; y: true; f: false.
  const char* results;
};

char
Apply(ExecutorTable& aTable, char aStep)
{
  const DaemonId& addressed =
    aStep == 'G' || aStep == 'C' ? kEarlierSelf : kSelf;
  switch (aStep) {
    case 's':
      return aTable.Start(kTicket) ? 'y' : 'f';
    case 'r':
      return aTable.RejectBeforeStart(kTicket) ? 'y' : 'f';
    case 'g':
    case 'G':
      return "andiu"[static_cast<int>(
        aTable.OnGrant(kTicket, addressed, kNow))];
    default:
      return "andiu"[static_cast<int>(
        aTable.ConfirmNotStarted(kTicket, addressed, kNow))];
  }
}

// Guards against starting an order twice, and against reporting "not started"
// for an order that started, when messages are duplicated, reordered or
// addressed to an earlier incarnation.
TEST(ExecutorTable, FaultCases)
{
  const std::vector<Case> cases = {
    { "none", "gs", "ay" },
    { "start without a grant", "s", "f" },
    { "grant duplicated in the queue", "ggss", "adyf" },
    { "grant duplicated after the start", "gsgs", "aydf" },
    { "rejected before start, grant duplicated", "grgs", "aynf" },
    { "rejected after start", "gsr", "ayf" },
    { "confirmation overtakes the grant", "cgs", "nnf" },
    { "confirmation withdraws from the queue", "gcs", "anf" },
    { "confirmation after the start", "gsc", "ayd" },
    { "confirmation duplicated", "gccs", "annf" },
    { "grant for the earlier incarnation", "Gs", "if" },
    { "confirmation for the earlier incarnation", "Cgs", "iay" },
  };
  for (const Case& testCase : cases) {
    ExecutorTable table(kSelf);
    std::string results;
    for (const char step : std::string_view(testCase.steps)) {
      results += Apply(table, step);
    }
    EXPECT_EQ(results, testCase.results) << testCase.fault;
  }
}

// Guards against a ticket being accepted again after its record was evicted.
TEST(ExecutorTable, EvictionNeverAllowsASecondRun)
{
  ExecutorLimits limits;
  limits.maxBlocks = 2;
  ExecutorTable table(kSelf, limits);
  for (const uint64_t block : { 4U, 5U, 6U }) {
    const Ticket ticket{ kHome, block, 5 };
    EXPECT_EQ(table.OnGrant(ticket, kSelf, kNow), GrantDecision::kAccepted);
  }
  EXPECT_EQ(table.BlockCount(), 2U);
  EXPECT_FALSE(table.Start(kTicket));
  EXPECT_FALSE(table.RejectBeforeStart(kTicket));
  EXPECT_EQ(table.OnGrant(kTicket, kSelf, kNow), GrantDecision::kUnknown);
  EXPECT_EQ(table.ConfirmNotStarted(kTicket, kSelf, kNow),
            GrantDecision::kUnknown);
  // A late grant for a low block number must be rejected: evicting a record for
  // it must not free capacity for a block below the watermark.
  EXPECT_EQ(table.OnGrant({ kHome, 3, 0 }, kSelf, kNow),
            GrantDecision::kUnknown);
  table.Evict(kNow + limits.recordRetention);
  EXPECT_EQ(table.BlockCount(), 0U);
  EXPECT_EQ(table.OnGrant({ kHome, 6, 5 }, kSelf, kNow),
            GrantDecision::kUnknown);
}

// Guards against accepting a grant from a home that was rejected earlier for
// lack of capacity, after "not started" was reported for its ticket.
TEST(ExecutorTable, HomesAboveTheLimitStayRejected)
{
  ExecutorLimits limits;
  limits.maxHomes = 1;
  ExecutorTable table(kSelf, limits);
  EXPECT_EQ(table.OnGrant(kTicket, kSelf, kNow), GrantDecision::kAccepted);
  const Ticket other{ { "home", 2 }, 0, 0 };
  EXPECT_EQ(table.OnGrant(other, kSelf, kNow), GrantDecision::kNotStarted);
  table.Evict(kNow + limits.recordRetention);
  EXPECT_EQ(table.OnGrant(other, kSelf, kNow), GrantDecision::kNotStarted);
  EXPECT_FALSE(table.Start(other));
}

} // namespace
} // namespace wagtailbend::orders
