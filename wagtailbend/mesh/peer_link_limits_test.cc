#include "wagtailbend/mesh/peer_link_limits.h"

#include <gtest/gtest.h>

namespace wagtailbend::mesh {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Returns the number of connects that a daemon may make within aTime when it
/// has aLinks links to open.
int
ConnectsWithin(PeerLinkLimits& aLimits, Duration aTime, int aLinks)
{
  int connects = 0;
  const TimePoint begin{ seconds(100) };
  for (TimePoint now = begin; now < begin + aTime; now += milliseconds(100)) {
    while (connects < aLinks && aLimits.TryTakeConnectToken(now)) {
      ++connects;
    }
  }
  return connects;
}

// Guards against opening all links between regions at once, which fills the
// inter-region network. With 306 machines it violated the rule CONFIG 413
// times.
TEST(LinkBudgetTest, LimitsConnectRateWithManyDaemons)
{
  PeerLinkLimits limits;
  limits.SetPeerCounts(152, 153);
  const int connects = ConnectsWithin(limits, seconds(5), 153);
  // 306 daemons with 600 bytes for each handshake stay below 15 Mbit/s.
  EXPECT_LE(306 * connects * 600 * 8 / 5, 15'000'000);
  EXPECT_GE(ConnectsWithin(limits, seconds(30), 153), 150);
}

// Guards against delaying connects where the traffic of all daemons is small.
TEST(LinkBudgetTest, DoesNotDelayFewDaemons)
{
  PeerLinkLimits limits;
  limits.SetPeerCounts(8, 8);
  EXPECT_EQ(ConnectsWithin(limits, milliseconds(100), 8), 8);
  PeerLinkLimits largerLimits;
  largerLimits.SetPeerCounts(44, 44);
  EXPECT_EQ(ConnectsWithin(largerLimits, milliseconds(1500), 44), 44);
}

// Guards against ping traffic that grows with the square of the number of
// daemons, and against a session timeout shorter than the resulting interval.
TEST(LinkBudgetTest, PingIntervalGrowsWithManyDaemons)
{
  PeerLinkLimits limits;
  limits.SetPeerCounts(44, 44);
  EXPECT_EQ(limits.IdlePingInterval(true), seconds(2));
  EXPECT_EQ(limits.SessionTimeout(), seconds(5));
  limits.SetPeerCounts(152, 153);
  EXPECT_EQ(limits.IdlePingInterval(false), seconds(2));
  EXPECT_GT(limits.IdlePingInterval(true), seconds(20));
  EXPECT_GT(limits.SessionTimeout(), 2 * limits.IdlePingInterval(true));
}

} // namespace
} // namespace wagtailbend::mesh
