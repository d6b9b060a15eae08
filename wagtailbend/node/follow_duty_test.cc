#include "wagtailbend/node/follow_duty.h"

#include <gtest/gtest.h>

namespace wagtailbend::node {
namespace {

constexpr uint64_t kDaemonCount = 40;

/// Returns the state that the daemon with incarnation aLocal has of the peers
/// of its region.
std::vector<WatchPeer>
PeersOf(uint64_t aLocal)
{
  std::vector<WatchPeer> peers;
  for (uint64_t incarnation = 1; incarnation <= kDaemonCount; ++incarnation) {
    if (incarnation != aLocal) {
      peers.push_back({ incarnation, true, true, false });
    }
  }
  return peers;
}

/// Returns the incarnations of the daemons that watch the store after aChange
/// was applied to every peer state.
template<typename Change>
std::vector<uint64_t>
StoreWatchers(Change aChange)
{
  std::vector<uint64_t> watchers;
  for (uint64_t local = 1; local <= kDaemonCount; ++local) {
    std::vector<WatchPeer> peers = PeersOf(local);
    for (WatchPeer& peer : peers) {
      aChange(peer);
    }
    if (ShouldWatchStore(local, peers)) {
      watchers.push_back(local);
    }
  }
  return watchers;
}

// Guards against every daemon fetching a configuration over the inter-region
// network: it took 3.1 s until all had it (experiment vukovic-narudzbe-grown,
// trouble-3).
TEST(FollowDutyTest, FewDaemonsPerRegionWatchTheStore)
{
  EXPECT_EQ(StoreWatchers([](WatchPeer&) {}),
            (std::vector<uint64_t>{ 1, 2, 3, 4, 5, 6, 7, 8 }));
}

// Guards against a region without configuration updates after its watching
// daemons crashed or lost access to the store.
TEST(FollowDutyTest, PeersReplaceUnreachableWatchers)
{
  const auto watchers = StoreWatchers([](WatchPeer& aPeer) {
    aPeer.linkUp = aPeer.incarnation != 2;
    aPeer.storeLost = aPeer.incarnation == 5;
  });
  EXPECT_EQ(watchers, (std::vector<uint64_t>{ 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 }));
}

// Guards against an outdated configuration at a daemon that has lost its links
// to all peers but still reaches the store.
TEST(FollowDutyTest, DaemonWithoutLinksWatchesTheStore)
{
  std::vector<WatchPeer> peers = PeersOf(kDaemonCount);
  ASSERT_FALSE(ShouldWatchStore(kDaemonCount, peers));
  for (WatchPeer& peer : peers) {
    peer.linkUp = false;
  }
  EXPECT_TRUE(ShouldWatchStore(kDaemonCount, peers));
}

// Guards against a region without watching daemons because daemons of other
// regions were counted.
TEST(FollowDutyTest, IgnoresDaemonsOfOtherRegions)
{
  std::vector<WatchPeer> peers = PeersOf(kDaemonCount);
  for (WatchPeer& peer : peers) {
    peer.sameRegion = peer.incarnation < 8;
  }
  EXPECT_TRUE(ShouldWatchStore(kDaemonCount, peers));
}

} // namespace
} // namespace wagtailbend::node
