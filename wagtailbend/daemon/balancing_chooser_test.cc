#include "wagtailbend/daemon/balancing_chooser.h"

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

class BalancingChooserTest : public ::testing::Test
{
protected:
  BalancingChooserTest()
  {
    m_method.service = "s";
    m_context.method = &m_method;
    m_snapshot.ownService = "s";
    m_snapshot.ownTarget = { DaemonId{ "own", 1 }, nullptr, true };
    m_snapshot.peers["s"] = { Peer("a"), Peer("b") };
    UseCandidates({ "own", "a", "b" });
  }

  void UseCandidates(const std::vector<std::string>& aNames)
  {
    std::vector<routing::Candidate> candidates;
    candidates.reserve(aNames.size());
    for (const std::string& name : aNames) {
      routing::Candidate candidate;
      candidate.id = DaemonId{ name, 1 };
      candidate.isLocal = name == "own";
      candidates.push_back(std::move(candidate));
    }
    auto balancer = std::make_shared<routing::Balancer>();
    balancer->Update(candidates, TimePoint{});
    m_snapshot.balancers["s"] = std::move(balancer);
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
  routing::InterRegionBudget m_link{ {}, TimePoint{} };
  BalancingChooser m_chooser{ m_link };
  Rng m_rng{ 1 };
};

// Guards against a retry that goes to the target that just failed.
TEST_F(BalancingChooserTest, OwnFirstThenUntriedPeers)
{
  EXPECT_EQ(Choose({}), "own");
  std::set<std::string> second;
  for (int i = 0; i < 50; ++i) {
    second.insert(Choose({ { "own", 1 } }));
    EXPECT_EQ(Choose({ { "own", 1 }, { "a", 1 } }), "b");
  }
  EXPECT_EQ(second, (std::set<std::string>{ "a", "b" }));
}

// Guards against requests that daemons pass on to each other in a loop, and
// against an order that runs at a daemon that was not granted it.
TEST_F(BalancingChooserTest, PeerRequestsStayHere)
{
  m_context.origin = Origin::kPeer;
  EXPECT_EQ(Choose({}), "own");
  m_snapshot.ownTarget.reset();
  UseCandidates({ "a", "b" });
  m_context.relayedByContact = true;
  EXPECT_EQ(Choose({}), "");
  m_context.relayedByContact = false;
  EXPECT_NE(Choose({}), "");
  m_method.kind = schema::Kind::kOrder;
  EXPECT_EQ(Choose({}), "");
}

// Guards against a home that rejects an order which another daemon relayed.
TEST_F(BalancingChooserTest, RelayedOrderIsDispatchedByItsHome)
{
  m_context.origin = Origin::kPeer;
  m_context.relayed = true;
  m_method.kind = schema::Kind::kOrder;
  m_snapshot.ownTarget.reset();
  UseCandidates({ "a", "b" });
  EXPECT_NE(Choose({}), "");
}

} // namespace
} // namespace wagtailbend::daemon
