// Distributes the requests of a route among its services by weight.
//
//   const std::string& service = picker.Pick(route, rng);

#pragma once

#include <string>
#include <unordered_map>
#include <vector>

#include "wagtailbend/base/rng.h"
#include "wagtailbend/routes/route_table.h"

namespace wagtailbend::routes {

/// Applies smooth weighted round robin to each route, so that the shares match
/// the weights within a few dozen requests. The choice ignores load: requests
/// beyond the capacity of a service are rejected instead of moved to another
/// service, because operators set the shares. Not thread-safe.
class SplitPicker
{
public:
  /// Returns the service for the next request of aRoute. Precondition:
  /// aRoute.splits is not empty.
  const std::string& Pick(const Route& aRoute, Rng& aRng);

private:
  struct RouteState
  {
    std::vector<Split> splits;
    /// Current weights of the round robin, in the order of splits.
    std::vector<double> currentWeights;
  };

  std::unordered_map<std::string, RouteState> m_routeStates;
};

} // namespace wagtailbend::routes
