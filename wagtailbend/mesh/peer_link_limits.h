// Limits the traffic that connection handshakes and pings of all daemons cause
// between regions.
//
//   PeerLinkLimits limits;
//   limits.SetPeerCounts(sameRegion, otherRegions);
//   if (limits.TryTakeConnectToken(now)) { Connect(); }
//   if (silence > limits.IdlePingInterval(otherRegion)) { Ping(); }

#pragma once

#include <cstddef>

#include "wagtailbend/base/time.h"

namespace wagtailbend::mesh {

/// Needed when several hundred daemons start, or reconnect after a network
/// partition, at the same time. Every daemon has a link to every other one, so
/// the number of links between regions grows with the square of the number of
/// daemons. With 306 daemons, handshakes and pings filled the 30 Mbit/s between
/// regions for seconds: links were considered silent and reopened, the store
/// was unreachable, and a configuration took effect 6.9 s late. Up to about 90
/// daemons nothing is delayed.
///
/// Not thread-safe.
class PeerLinkLimits
{
public:
  /// Sets the number of peers in the same region and in other regions.
  void SetPeerCounts(size_t aSameRegion, size_t aOtherRegion);

  /// Silence after which an idle link is pinged.
  Duration IdlePingInterval(bool aOtherRegion) const;
  /// Silence after which a connection opened by a peer is considered lost.
  Duration SessionTimeout() const;
  /// Returns true, and takes a token, if a connection to another region may be
  /// opened at aNow.
  bool TryTakeConnectToken(TimePoint aNow);

private:
  double ConnectsPerSecond() const;

  size_t m_sameRegionPeers = 0;
  size_t m_otherRegionPeers = 0;
  /// Connects that are allowed at m_refilledAt.
  double m_connectTokens = 0;
  TimePoint m_refilledAt{};
};

} // namespace wagtailbend::mesh
