#include "wagtailbend/routes/split_picker.h"

namespace wagtailbend::routes {

const std::string&
SplitPicker::Pick(const Route& aRoute, Rng& aRng)
{
  if (aRoute.splits.size() == 1) {
    return aRoute.splits.front().service;
  }
  RouteState& state = m_routeStates[aRoute.name];
  double totalWeight = 0;
  for (const Split& split : aRoute.splits) {
    totalWeight += split.weight;
  }
  if (state.splits != aRoute.splits) {
    state.splits = aRoute.splits;
    state.currentWeights.assign(aRoute.splits.size(), 0);
    // Random initial values keep daemons that start together from all picking
    // the same service first.
    for (double& currentWeight : state.currentWeights) {
      currentWeight = UniformUnit(aRng) * totalWeight;
    }
  }
  size_t best = 0;
  for (size_t i = 0; i < state.splits.size(); ++i) {
    state.currentWeights[i] += state.splits[i].weight;
    if (state.currentWeights[i] > state.currentWeights[best] ||
        state.splits[best].weight <= 0) {
      best = i;
    }
  }
  state.currentWeights[best] -= totalWeight;
  return aRoute.splits[best].service;
}

} // namespace wagtailbend::routes
