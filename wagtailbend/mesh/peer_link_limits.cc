#include "wagtailbend/mesh/peer_link_limits.h"

#include <algorithm>
#include <chrono>

namespace wagtailbend::mesh {
namespace {

constexpr Duration kMinIdlePingInterval = std::chrono::seconds(2);
// Limits for all daemons together. With about 600 bytes for a handshake and 200
// for a ping with its response, each stays below 10 Mbit/s.
constexpr double kInterRegionConnectsPerSecond = 2000;
constexpr double kInterRegionPingsPerSecond = 2000;
// Ping intervals without data after which a connection opened by a peer is
// considered lost.
constexpr double kSessionTimeoutInPings = 2.5;

} // namespace

void
PeerLinkLimits::SetPeerCounts(size_t aSameRegion, size_t aOtherRegion)
{
  m_sameRegionPeers = aSameRegion;
  m_otherRegionPeers = aOtherRegion;
}

Duration
PeerLinkLimits::IdlePingInterval(bool aOtherRegion) const
{
  if (!aOtherRegion) {
    return kMinIdlePingInterval;
  }
  const double links =
    static_cast<double>(m_sameRegionPeers + m_otherRegionPeers + 1) *
    static_cast<double>(m_otherRegionPeers);
  const std::chrono::duration<double> interval(links /
                                               kInterRegionPingsPerSecond);
  return std::max(kMinIdlePingInterval,
                  std::chrono::duration_cast<Duration>(interval));
}

Duration
PeerLinkLimits::SessionTimeout() const
{
  return std::chrono::duration_cast<Duration>(kSessionTimeoutInPings *
                                              IdlePingInterval(true));
}

double
PeerLinkLimits::ConnectsPerSecond() const
{
  return kInterRegionConnectsPerSecond /
         static_cast<double>(m_sameRegionPeers + m_otherRegionPeers + 1);
}

bool
PeerLinkLimits::TryTakeConnectToken(TimePoint aNow)
{
  const double rate = ConnectsPerSecond();
  const std::chrono::duration<double> elapsed(aNow - m_refilledAt);
  m_refilledAt = aNow;
  // Token bucket that holds the connects of one second.
  m_connectTokens = std::min(rate, m_connectTokens + rate * elapsed.count());
  if (m_connectTokens < 1) {
    return false;
  }
  m_connectTokens -= 1;
  return true;
}

} // namespace wagtailbend::mesh
