// Where the tickets of homes that stopped are served.
//
//   HomeDirectory directory;
//   directory.Announce({ stopped }, channels.Link("127.0.0.1:7001"));
//   std::shared_ptr<PeerLink> link = FindHome(*snapshot, directory, home);

#pragma once

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include "wagtailbend/daemon/routing_snapshot.h"

namespace wagtailbend::daemon {

/// Thread-safe. A wrong or missing entry costs answers ("outcome unknown") but
/// never a second run: a daemon that does not hold the table dispatches
/// nothing.
class HomeDirectory
{
public:
  /// The tickets of aHomes are served by the daemon behind aLink.
  void Announce(const std::vector<DaemonId>& aHomes,
                const std::shared_ptr<PeerLink>& aLink);
  /// Returns the link to the successor of aHome, or nullptr.
  std::shared_ptr<PeerLink> Find(const DaemonId& aHome) const;

private:
  mutable std::mutex m_mutex;
  std::map<DaemonId, std::shared_ptr<PeerLink>> m_links;
  std::deque<DaemonId> m_order;
};

/// Returns the link to the daemon that serves the tickets of aHome: its
/// successor, or aHome itself if it is alive. Returns nullptr if neither is
/// known. Thread-safe.
std::shared_ptr<PeerLink>
FindHome(const RoutingSnapshot& aSnapshot,
         const HomeDirectory& aDirectory,
         const DaemonId& aHome);

} // namespace wagtailbend::daemon
