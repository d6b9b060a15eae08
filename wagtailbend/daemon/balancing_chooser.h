// Chooses targets through the balancers of the routing snapshot.
//
//   routing::InterRegionBudget budget({}, now);
//   BalancingChooser chooser(budget);

#pragma once

#include <atomic>

#include "wagtailbend/daemon/target_chooser.h"
#include "wagtailbend/routing/inter_region_budget.h"

namespace wagtailbend::daemon {

/// Bytes on the link between regions that this daemon caused.
struct LinkBytes
{
  std::atomic<uint64_t> sent{ 0 };
  std::atomic<uint64_t> received{ 0 };
  /// Time of the last use.
  std::atomic<TimePoint> usedAt{ TimePoint{} };
};

/// A peer's request goes to the own target. If that does not run the service,
/// a lookup or bulk request that no contact has relayed yet goes to another
/// target of the own failure domain. Orders are never relayed: the grant names
/// the daemon that runs them.
class BalancingChooser final : public TargetChooser
{
public:
  /// aLink outlives the chooser.
  explicit BalancingChooser(routing::InterRegionBudget& aLink)
    : m_link(aLink)
  {
  }

  const Destination* Choose(const filters::RequestContext& aContext,
                            const RoutingSnapshot& aSnapshot,
                            std::span<const DaemonId> aTried,
                            TimePoint aNow,
                            Rng& aRng) override;
  void OnStart(const Destination& aDestination, TimePoint aNow) override;
  void OnEnd(const Destination& aDestination,
             const AttemptResult& aResult,
             TimePoint aNow) override;

  const LinkBytes& Bytes() const { return m_bytes; }

private:
  const Destination* Pick(const filters::RequestContext& aContext,
                          const RoutingSnapshot& aSnapshot,
                          const routing::PickOptions& aOptions,
                          TimePoint aNow,
                          Rng& aRng);

  routing::InterRegionBudget& m_link;
  LinkBytes m_bytes;
};

} // namespace wagtailbend::daemon
