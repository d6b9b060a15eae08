#include "wagtailbend/daemon/policies.h"

#include <algorithm>

namespace wagtailbend::daemon {

const Destination*
PreferOwnChooser::Choose(const filters::RequestContext& aContext,
                         const RoutingSnapshot& aSnapshot,
                         std::span<const DaemonId> aTried,
                         TimePoint /*aNow*/,
                         Rng& aRng)
{
  auto tried = [aTried](const Destination& aDestination) {
    return std::find(aTried.begin(), aTried.end(), aDestination.daemon) !=
           aTried.end();
  };
  const std::string& service = aContext.method->service;
  const Destination* own =
    aSnapshot.ownService == service && aSnapshot.ownTarget
      ? &*aSnapshot.ownTarget
      : nullptr;
  // A peer's request ends here: passing it on again could form a loop.
  const bool ends =
    aContext.origin == filters::Origin::kPeer && !aContext.relayed;
  if (own && (ends || !tried(*own))) {
    return own;
  }
  if (ends) {
    return nullptr;
  }
  auto found = aSnapshot.peers.find(service);
  if (found == aSnapshot.peers.end() || found->second.empty()) {
    return own;
  }
  const auto& peers = found->second;
  size_t first = UniformBelow(aRng, peers.size());
  for (size_t i = 0; i < peers.size(); ++i) {
    const Destination& peer = peers[(first + i) % peers.size()];
    if (!tried(peer)) {
      return &peer;
    }
  }
  return &peers[first];
}

} // namespace wagtailbend::daemon
