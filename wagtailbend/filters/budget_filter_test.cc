#include "wagtailbend/filters/budget_filter.h"

#include <gtest/gtest.h>

#include "wagtailbend/filters/threshold_filter.h"

namespace wagtailbend::filters {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RequestId kParent{ 3, 4 };
const TimePoint kNow{ seconds(100) };

class BudgetFilterTest : public ::testing::Test
{
protected:
  BudgetFilterTest()
  {
    m_method.path = "/s/M";
    m_method.service = "s";
    m_method.priority = 7;
    m_method.attemptBudget = 12;
    m_method.minimumAttempts = 3;
  }

  RequestContext Context(Origin aOrigin, std::optional<RequestId> aParent = {})
  {
    RequestContext context;
    context.method = &m_method;
    context.origin = aOrigin;
    context.parent = aParent;
    context.priority = m_method.priority;
    context.deadline = kNow + seconds(1);
    return context;
  }

  // Starts attempts, all of which fail, until the ledger refuses one. Returns
  // their number and the total deducted for them.
  static std::pair<uint32_t, uint32_t> SpendAllAttempts(
    const RequestContext& aContext)
  {
    const auto cost = attempts::CostOf(*aContext.method);
    uint32_t attempts = 0;
    uint32_t held = 0;
    auto grant = aContext.ledger->StartCall(cost);
    while (grant) {
      EXPECT_GE(grant->childBudget, cost.minimum - 1);
      ++attempts;
      held += grant->held;
      grant = aContext.ledger->StartRetry(cost);
    }
    return { attempts, held };
  }

  schema::Method m_method;
  attempts::RequestRegistry m_registry;
  BudgetFilter m_filter{ m_registry };
};

// Guards against attempt budgets that grow at a hop: each attempt must cost
// itself and at least the minimum of the calls below it.
TEST_F(BudgetFilterTest, AttemptsOfOneRequestAreBounded)
{
  RequestContext customer = Context(Origin::kCustomer);
  EXPECT_FALSE(m_filter.OnRequest(customer, kNow));
  EXPECT_EQ(customer.priority, 7U);
  const auto [attempts, held] = SpendAllAttempts(customer);
  EXPECT_EQ(attempts, 2U);
  EXPECT_LE(held, m_method.attemptBudget);
}

// Guards against target calls that belong to no running request and take
// capacity from customers.
TEST_F(BudgetFilterTest, CallWithoutARunningRequestGetsTheMinimum)
{
  for (const auto& parent : { std::optional<RequestId>(), { kParent } }) {
    RequestContext context = Context(Origin::kTarget, parent);
    EXPECT_FALSE(m_filter.OnRequest(context, kNow));
    EXPECT_EQ(context.priority, 0U);
    EXPECT_FALSE(context.nested);
    EXPECT_EQ(SpendAllAttempts(context), (std::pair{ 1U, 3U }));
  }
}

// Guards against downstream calls that get a budget of their own instead of
// drawing on their parent's.
TEST_F(BudgetFilterTest, NestedCallDrawsOnItsParent)
{
  const auto running =
    m_registry.Start(kParent, 4, {}, kNow + milliseconds(300), 9);
  RequestContext first = Context(Origin::kTarget, kParent);
  EXPECT_FALSE(m_filter.OnRequest(first, kNow));
  EXPECT_TRUE(first.nested);
  EXPECT_EQ(first.priority, 9U);
  EXPECT_EQ(first.deadline, kNow + milliseconds(300));
  EXPECT_EQ(SpendAllAttempts(first).first, 1U);
  EXPECT_LE(running->ledger.Remaining(), 1U);
  RequestContext second = Context(Origin::kTarget, kParent);
  const auto error = m_filter.OnRequest(second, kNow);
  ASSERT_TRUE(error);
  EXPECT_EQ(error->kind, ErrorKind::kAttemptsExhausted);
}

// Guards against requests that are sent over the network only to be rejected,
// and against early rejection of orders and nested calls.
TEST_F(BudgetFilterTest, ThresholdRejectsLowPrioritiesOnly)
{
  admission::ThresholdTable table;
  ThresholdFilter filter(table);
  const auto rejected = [&](uint32_t aPriority, bool aNested) {
    RequestContext context = Context(Origin::kCustomer);
    context.priority = aPriority;
    context.nested = aNested;
    int count = 0;
    for (int i = 0; i < 500; ++i) {
      const auto error = filter.OnRequest(context, kNow);
      count += error ? 1 : 0;
      EXPECT_TRUE(!error || error->kind == ErrorKind::kOverloaded);
    }
    return count;
  };
  EXPECT_EQ(rejected(2, false), 0);
  table.Update("s", "t", 5, kNow);
  EXPECT_GT(rejected(2, false), 450);
  EXPECT_EQ(rejected(2, true), 0);
  EXPECT_EQ(rejected(5, false), 0);
  m_method.kind = schema::Kind::kOrder;
  EXPECT_EQ(rejected(2, false), 0);
}

} // namespace
} // namespace wagtailbend::filters
