#include "wagtailbend/daemon/policies.h"

#include <set>

#include <gtest/gtest.h>

namespace wagtailbend::daemon {
namespace {

using filters::Origin;

Destination
Peer(const std::string& aName)
{
  return { DaemonId{ aName, 1 }, nullptr, false };
}

class PreferOwnChooserTest : public ::testing::Test
{
protected:
  PreferOwnChooserTest()
  {
    m_method.service = "s";
    m_context.method = &m_method;
    m_snapshot.ownService = "s";
    m_snapshot.ownTarget = { DaemonId{ "own", 1 }, nullptr, true };
    m_snapshot.peers["s"] = { Peer("a"), Peer("b") };
  }

  std::string Choose(std::vector<DaemonId> aTried)
  {
    const Destination* chosen =
      m_chooser.Choose(m_context, m_snapshot, aTried, TimePoint{}, m_rng);
    return chosen ? chosen->daemon.name : "";
  }

  schema::Method m_method;
  filters::RequestContext m_context;
  RoutingSnapshot m_snapshot;
  PreferOwnChooser m_chooser;
  Rng m_rng{ 1 };
};

// Guards against a retry that goes to the target that just failed.
TEST_F(PreferOwnChooserTest, OwnFirstThenUntriedPeers)
{
  EXPECT_EQ(Choose({}), "own");
  std::set<std::string> second;
  for (int i = 0; i < 50; ++i) {
    second.insert(Choose({ { "own", 1 } }));
    EXPECT_EQ(Choose({ { "own", 1 }, { "a", 1 } }), "b");
  }
  EXPECT_EQ(second, (std::set<std::string>{ "a", "b" }));
}

// Guards against requests that daemons pass on to each other in a loop.
TEST_F(PreferOwnChooserTest, PeerRequestsStayHere)
{
  m_context.origin = Origin::kPeer;
  EXPECT_EQ(Choose({}), "own");
  m_snapshot.ownTarget.reset();
  EXPECT_EQ(Choose({}), "");
}

struct CostRow
{
  Origin origin;
  std::optional<uint32_t> allotted;
  uint32_t expectedAttempts;
};

// Guards against budgets that grow at a hop: each attempt costs itself and
// the minimum below it.
TEST(FixedCostPolicy, AttemptsAreBounded)
{
  schema::Method method;
  method.attemptBudget = 8;
  method.minimumAttempts = 3;
  const CostRow rows[] = {
    { Origin::kCustomer, std::nullopt, 2 },
    { Origin::kPeer, 2, 1 },
    { Origin::kPeer, 1, 0 },
    { Origin::kPeer, std::nullopt, 1 },
    { Origin::kTarget, std::nullopt, 1 },
  };
  for (const CostRow& row : rows) {
    SCOPED_TRACE(row.allotted.value_or(99));
    FixedCostPolicy policy;
    filters::RequestContext context;
    context.method = &method;
    context.origin = row.origin;
    policy.Open(context, row.allotted);
    for (uint32_t i = 0; i < row.expectedAttempts; ++i) {
      EXPECT_EQ(policy.Draw(context), 2U);
    }
    EXPECT_EQ(policy.Draw(context), std::nullopt);
  }
}

} // namespace
} // namespace wagtailbend::daemon
