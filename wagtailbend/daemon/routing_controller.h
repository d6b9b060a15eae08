// Keeps one balancer per service and fills routing snapshots from members,
// summaries and the own target.
//
//   RoutingController routing(self, channels);
//   routing.Fill(view, snapshot, now);
//   routing.Evaluate(now);   // each 100 ms

#pragma once

#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "wagtailbend/daemon/channel_pool.h"
#include "wagtailbend/daemon/routing_snapshot.h"
#include "wagtailbend/daemon/target_registry.h"
#include "wagtailbend/membership/member.h"
#include "wagtailbend/membership/summary.h"

namespace wagtailbend::daemon {

/// What the control thread knows when it publishes.
struct RoutingView
{
  const TargetRegistry& target;
  const membership::Member& self;
  std::span<const membership::Member> members;
  std::span<const membership::DomainSummary> summaries;
  /// Null: without a configuration.
  const schema::Schema* schema = nullptr;
};

/// Not thread-safe: owned by the control thread. The balancers themselves are
/// shared with the traffic threads.
class RoutingController
{
public:
  RoutingController(DaemonId aSelf, ChannelPool& aChannels)
    : m_self(std::move(aSelf))
    , m_channels(aChannels)
  {
  }

  /// Updates the balancers, then sets ownTarget, ownService, peers and
  /// balancers of aSnapshot.
  void Fill(const RoutingView& aView,
            RoutingSnapshot& aSnapshot,
            TimePoint aNow);
  /// Ejects stragglers and returns recovered targets.
  void Evaluate(TimePoint aNow);
  /// The daemon at aPeerAddress refused a connection: it is left out for a
  /// second. Returns true if the routing view changes.
  bool Refused(const std::string& aPeerAddress, TimePoint aNow);
  /// Returns true if a daemon that refused a connection may be tried again.
  bool Expire(TimePoint aNow);
  /// Takes the load that a target reported.
  void Hint(const std::string& aService,
            const DaemonId& aDaemon,
            double aLoad,
            TimePoint aNow);

  /// Appends key=value lines about services and targets.
  void AddStatus(std::vector<std::string>& aLines, TimePoint aNow) const;

private:
  using Candidates = std::map<std::string, std::vector<routing::Candidate>>;

  void AddMembers(const RoutingView& aView, Candidates& aCandidates) const;
  void AddContacts(const RoutingView& aView, Candidates& aCandidates) const;
  void AddDestinations(const std::string& aService,
                       const std::vector<routing::Candidate>& aCandidates,
                       RoutingSnapshot& aSnapshot);

  DaemonId m_self;
  ChannelPool& m_channels;
  std::map<std::string, std::shared_ptr<routing::Balancer>, std::less<>>
    m_balancers;
  std::map<std::string, TimePoint> m_refusedUntil;
};

} // namespace wagtailbend::daemon
