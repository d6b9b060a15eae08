#include "wagtailbend/daemon/seed_directory.h"

#include <gtest/gtest.h>

namespace wagtailbend::daemon {
namespace {

const PeerState kPeer{ { "vm1", 7 }, "ranong", "127.0.0.1:7002", "s" };

// Guards against dropping a peer for one lost fetch, and against keeping a
// peer that is gone.
TEST(SeedDirectory, DropsAfterTwoFailures)
{
  SeedDirectory directory;
  EXPECT_TRUE(directory.Update("seed", kPeer));
  EXPECT_FALSE(directory.Update("seed", kPeer));
  EXPECT_FALSE(directory.Update("seed", std::nullopt));
  EXPECT_EQ(directory.Peers(), std::vector{ kPeer });
  EXPECT_TRUE(directory.Update("seed", std::nullopt));
  EXPECT_TRUE(directory.Peers().empty());
  EXPECT_TRUE(directory.Update("seed", kPeer));
}

// Guards against traffic to a peer that refused a connection.
TEST(SeedDirectory, DropsRefusedPeer)
{
  SeedDirectory directory;
  directory.Update("seed", kPeer);
  EXPECT_FALSE(directory.Refused("127.0.0.1:7003"));
  EXPECT_TRUE(directory.Refused("127.0.0.1:7002"));
  EXPECT_TRUE(directory.Peers().empty());
}

// Guards against waiting for a daemon that does not answer.
TEST(SeedDirectory, FetchFromClosedPortFails)
{
  EXPECT_EQ(FetchSelf("127.0.0.1:1", 100), std::nullopt);
}

} // namespace
} // namespace wagtailbend::daemon
