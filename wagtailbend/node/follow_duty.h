// Selects the daemons that watch the store for configuration changes.
//
//   watcher.SetWatching(ShouldWatchStore(local.incarnation, peers));

#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace wagtailbend::node {

/// Number of daemons per region that watch the store; the other daemons get the
/// configuration from them. A configuration of 1,263 routes took 3.1 s when the
/// store sent it to each of 45 daemons over an inter-region network of
/// 60 Mbit/s. More than one, since the store may reject calls of some daemons.
inline constexpr size_t kStoreWatchersPerRegion = 8;

/// State of a peer daemon as known to the local daemon.
struct WatchPeer
{
  /// Random number that identifies the process of the peer.
  uint64_t incarnation = 0;
  bool sameRegion = false;
  bool linkUp = false;
  /// The peer reports that it cannot reach the store.
  bool storeLost = false;

  bool operator==(const WatchPeer&) const = default;
};

/// Returns true for the kStoreWatchersPerRegion daemons with the smallest
/// incarnations among those of a region that reach each other and the store.
/// Also returns true for a daemon without links to the peers of its region.
bool
ShouldWatchStore(uint64_t aLocalIncarnation,
                 const std::vector<WatchPeer>& aPeers);

} // namespace wagtailbend::node
