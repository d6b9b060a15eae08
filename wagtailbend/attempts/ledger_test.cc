#include "wagtailbend/attempts/ledger.h"

#include <gtest/gtest.h>

#include "wagtailbend/attempts/registry.h"

namespace wagtailbend::attempts {
namespace {

// Attempts beyond those that the chain needs without retries.
constexpr uint32_t kSurplus = 4;
constexpr uint32_t kTriesPerHop = 3;

CallCost
ChainCost(uint32_t aDepth, uint32_t aMaximum)
{
  return CallCost{ aDepth, aDepth, aMaximum };
}

// Each hop makes one call, which fails, and each caller retries while its
// ledger allows it. Returns the number of attempts over the whole chain.
uint64_t
RunFailing(uint32_t aDepth, uint32_t aBudget)
{
  if (aDepth == 0) {
    return 0;
  }
  const CallCost cost = ChainCost(aDepth, aBudget);
  AttemptLedger ledger(aBudget, { cost });
  uint64_t attempts = 0;
  std::optional<AttemptGrant> grant = ledger.StartCall(cost);
  while (grant) {
    attempts += 1 + RunFailing(aDepth - 1, grant->childBudget);
    grant = ledger.StartRetry(cost);
  }
  return attempts;
}

uint64_t
CountPerHopRetries(uint32_t aDepth)
{
  return aDepth == 0 ? 0 : kTriesPerHop * (1 + CountPerHopRetries(aDepth - 1));
}

// Guards requirement R1 against retry amplification, where independent retries
// multiply the attempts at every hop.
TEST(AttemptLedgerTest, AttemptsOfAFailingChainStayWithinTheBudget)
{
  for (const uint32_t depth : { 1U, 4U, 8U, 14U }) {
    const uint32_t budget = depth + kSurplus;
    const uint64_t attempts = RunFailing(depth, budget);
    const uint64_t baseline = CountPerHopRetries(depth);
    std::printf("depth %u budget %u ledger %llu per-hop retries %llu\n",
                depth,
                budget,
                static_cast<unsigned long long>(attempts),
                static_cast<unsigned long long>(baseline));
    EXPECT_LE(attempts, budget);
    EXPECT_GT(attempts, depth) << "the surplus must be usable for retries";
    EXPECT_GE(baseline, uint64_t{ 1 } << depth);
  }
}

// Guards against an early retry that uses the attempts reserved for later
// calls.
TEST(AttemptLedgerTest, RetryCannotUseTheReservationOfLaterCalls)
{
  const CallCost first{ 1, 1, 1 };
  const CallCost second{ 2, 3, 3 };
  AttemptLedger ledger(5, { first, second });
  ASSERT_TRUE(ledger.StartCall(first));
  ASSERT_TRUE(ledger.StartRetry(first));
  EXPECT_FALSE(ledger.StartRetry(first));
  EXPECT_TRUE(ledger.StartCall(second));
  EXPECT_EQ(ledger.Remaining(), 0U);
}

// Guards against surplus attempts that appear when a callee reports too many
// attempts left or a grant is settled twice.
TEST(AttemptLedgerTest, ReturnsAtMostTheChildBudgetAndOnce)
{
  const CallCost cost{ 1, 3, 9 };
  AttemptLedger ledger(3, { cost });
  std::optional<AttemptGrant> grant = ledger.StartCall(cost);
  ASSERT_TRUE(grant);
  ledger.Settle(*grant, 100);
  ledger.Settle(*grant, 100);
  EXPECT_EQ(ledger.Remaining(), 2U);
}

// Guards against a late downstream call that spends attempts already returned
// to the caller.
TEST(RequestRegistryTest, FinishClosesTheLedgerOnTheLastRun)
{
  RequestRegistry registry;
  const RequestId id{ 7, 9 };
  const auto first = registry.Start(id, 3, {}, TimePoint{}, 5);
  registry.Start(id, 2, {}, TimePoint{}, 5);
  EXPECT_EQ(registry.Find(id)->ledger.Remaining(), 5U);
  EXPECT_EQ(registry.Finish(id), 0U);
  EXPECT_EQ(registry.Finish(id), 5U);
  EXPECT_EQ(registry.Find(id), nullptr);
  EXPECT_EQ(registry.Size(), 0U);
  EXPECT_FALSE(first->ledger.StartCall(CallCost{}));
}

} // namespace
} // namespace wagtailbend::attempts
