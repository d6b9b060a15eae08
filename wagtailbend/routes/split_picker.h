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

/// Smooth weighted round robin for each route, so that the shares hold over a
/// few dozen requests already. The service does not depend on load: what a
/// service has no room for is rejected and not moved, since the operators set
/// the shares. Not thread-safe.
class SplitPicker
{
public:
  /// Precondition: aRoute.splits is not empty.
  const std::string& Pick(const Route& aRoute, Rng& aRng);

private:
  struct State
  {
    std::vector<Split> splits;
    std::vector<double> credit;
  };

  std::unordered_map<std::string, State> m_states;
};

} // namespace wagtailbend::routes
