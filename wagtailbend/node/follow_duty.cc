#include "wagtailbend/node/follow_duty.h"

#include <algorithm>

namespace wagtailbend::node {

bool
ShouldWatchStore(uint64_t aLocalIncarnation,
                 const std::vector<WatchPeer>& aPeers)
{
  const auto smallerIncarnations = std::count_if(
    aPeers.begin(), aPeers.end(), [aLocalIncarnation](const WatchPeer& aPeer) {
      return aPeer.sameRegion && aPeer.linkUp && !aPeer.storeLost &&
             aPeer.incarnation < aLocalIncarnation;
    });
  return static_cast<size_t>(smallerIncarnations) < kStoreWatchersPerRegion;
}

} // namespace wagtailbend::node
