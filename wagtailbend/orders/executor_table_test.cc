#include "wagtailbend/orders/executor_table.h"

#include <gtest/gtest.h>

namespace wagtailbend::orders {
namespace {

constexpr TimePoint kNow{};
const DaemonId kSelf{ "target", 2 };
const DaemonId kOld{ "target", 1 };
const DaemonId kHome{ "home", 1 };
const Ticket kTicket{ kHome, 4, 5 };

struct Case
{
  const char* fault;
  // g grant, G grant to the old incarnation, s start, r reject before start,
  // c confirm, C confirm addressed to the old incarnation.
  const char* steps;
  // Result of each step: a accepted, n not started, d duplicate, i stale
  // incarnation, y true, f false.
  const char* results;
};

char
Apply(ExecutorTable& aTable, char aStep)
{
  const DaemonId& to = aStep == 'G' || aStep == 'C' ? kOld : kSelf;
  switch (aStep) {
    case 's':
      return aTable.Start(kTicket) ? 'y' : 'f';
    case 'r':
      return aTable.RejectBeforeStart(kTicket) ? 'y' : 'f';
    case 'g':
    case 'G':
      return "andiu"[static_cast<int>(aTable.OnGrant(kTicket, to, kNow))];
    default:
      return "andiu"[static_cast<int>(
        aTable.ConfirmNotStarted(kTicket, to, kNow))];
  }
}

// Guards against a second start, and against a false "not started".
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
  for (const Case& row : cases) {
    ExecutorTable table(kSelf);
    std::string results;
    for (const char step : std::string_view(row.steps)) {
      results += Apply(table, step);
    }
    EXPECT_EQ(results, row.results) << row.fault;
  }
}

// Guards against an evicted record allowing a second run.
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
  // Eviction for a late low block number must not make room below itself.
  EXPECT_EQ(table.OnGrant({ kHome, 3, 0 }, kSelf, kNow),
            GrantDecision::kUnknown);
  table.Evict(kNow + limits.recordRetention);
  EXPECT_EQ(table.BlockCount(), 0U);
  EXPECT_EQ(table.OnGrant({ kHome, 6, 5 }, kSelf, kNow),
            GrantDecision::kUnknown);
}

// Guards against a home that is refused for lack of room being accepted later,
// after "not started" was reported.
TEST(ExecutorTable, HomesBeyondTheBoundAreRefusedForGood)
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
