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

} // namespace
} // namespace wagtailbend::daemon
