#include "wagtailbend/quarantine/suspect_sync.h"

#include <gtest/gtest.h>

namespace wagtailbend::quarantine {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };
constexpr LocalDigest kLocal{ 1, false };

PeerDigest
Peer(size_t aNumber, bool aOtherRegion)
{
  return { "peer" + std::to_string(aNumber), 7, aOtherRegion };
}

// Guards against traffic that grows with the number of peers that differ.
TEST(SuspectSync, AsksOnePeerOfManyInEachInterval)
{
  SuspectSync sync;
  size_t asked = 0;
  for (int ms = 0; ms < 10000; ms += 50) {
    for (size_t peer = 0; peer < 100; ++peer) {
      asked +=
        sync.OnDigest(Peer(peer, false), kLocal, kStart + milliseconds(ms));
    }
  }
  EXPECT_EQ(asked, 10U);
}

// Guards against many daemons that fetch the same list over the link between
// the regions.
TEST(SuspectSync, AsksPeersOfItsRegionFirst)
{
  SuspectSync sync;
  size_t askedOtherRegion = 0;
  for (int ms = 0; ms < 10000; ms += 50) {
    const TimePoint now = kStart + milliseconds(ms);
    askedOtherRegion += sync.OnDigest(Peer(1, true), kLocal, now);
    sync.OnDigest(Peer(2, false), kLocal, now);
  }
  // Before the peer of the own region has differed for long enough.
  EXPECT_LE(askedOtherRegion, 1U);
}

// Guards against a daemon that starts and waits before it asks.
TEST(SuspectSync, AnEmptyListAsksImmediately)
{
  SuspectSync sync;
  EXPECT_TRUE(sync.OnDigest(Peer(1, false), { 1, true }, kStart));
  EXPECT_FALSE(sync.OnDigest(Peer(2, false), { 1, true }, kStart));
}

// Guards against requests for updates that are on their way, or for nothing.
TEST(SuspectSync, ADigestThatDiffersForAMomentIsIgnored)
{
  SuspectSync sync;
  EXPECT_FALSE(sync.OnDigest(Peer(1, false), kLocal, kStart));
  EXPECT_FALSE(
    sync.OnDigest(Peer(1, false), { 7, false }, kStart + milliseconds(400)));
  EXPECT_FALSE(
    sync.OnDigest(Peer(1, false), kLocal, kStart + milliseconds(600)));
  EXPECT_FALSE(
    sync.OnDigest({ "old", 0, false }, kLocal, kStart + milliseconds(9000)));
}

} // namespace
} // namespace wagtailbend::quarantine
