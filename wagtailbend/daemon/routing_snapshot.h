// The view of the control thread that traffic threads work with.
//
//   std::shared_ptr<const RoutingSnapshot> snapshot = holder.Load();
//   const schema::Method* method = snapshot->schema->FindMethod(path);

#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "wagtailbend/attempts/hedge.h"
#include "wagtailbend/base/ids.h"
#include "wagtailbend/daemon/channel_pool.h"
#include "wagtailbend/routing/balancer.h"
#include "wagtailbend/schema/schema.h"

namespace wagtailbend::daemon {

/// A target that can run a request, reached directly or through its daemon.
struct Destination
{
  /// Daemon of the target.
  DaemonId daemon;
  /// Connections to the target itself if it is the daemon's own, else to the
  /// peer address of its daemon.
  std::shared_ptr<PeerLink> link;
  bool own = false;
  /// Statistics of the target; null without a balancer.
  std::shared_ptr<routing::Balancer> balancer{};
  std::shared_ptr<const routing::Target> target{};
};

/// Immutable after publication.
struct RoutingSnapshot
{
  std::shared_ptr<const schema::Schema> schema;
  /// Learned for this schema; null without one.
  std::shared_ptr<attempts::HedgePolicy> hedges;
  std::optional<Destination> ownTarget;
  /// Service of the own target; "" without one.
  std::string ownService;
  /// Targets in other VMs by service.
  std::map<std::string, std::vector<Destination>, std::less<>> peers;
  /// Choose among the own target and the peers, by service.
  std::map<std::string, std::shared_ptr<routing::Balancer>, std::less<>>
    balancers;
  /// Peer addresses of all daemons that are alive, with or without a target.
  std::map<DaemonId, std::shared_ptr<PeerLink>> daemons;
  /// New work is rejected.
  bool draining = false;
};

/// Publishes snapshots. Thread-safe.
class SnapshotHolder
{
public:
  std::shared_ptr<const RoutingSnapshot> Load() const
  {
    return m_snapshot.load(std::memory_order_acquire);
  }
  void Store(std::shared_ptr<const RoutingSnapshot> aSnapshot)
  {
    m_snapshot.store(std::move(aSnapshot), std::memory_order_release);
  }

private:
  std::atomic<std::shared_ptr<const RoutingSnapshot>> m_snapshot{
    std::make_shared<const RoutingSnapshot>()
  };
};

} // namespace wagtailbend::daemon
