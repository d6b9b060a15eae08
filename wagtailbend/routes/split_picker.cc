#include "wagtailbend/routes/split_picker.h"

namespace wagtailbend::routes {

const std::string&
SplitPicker::Pick(const Route& aRoute, Rng& aRng)
{
  if (aRoute.splits.size() == 1) {
    return aRoute.splits.front().service;
  }
  State& state = m_states[aRoute.name];
  double total = 0;
  for (const Split& split : aRoute.splits) {
    total += split.weight;
  }
  if (state.splits != aRoute.splits) {
    state.splits = aRoute.splits;
    state.credit.assign(aRoute.splits.size(), 0);
    // Daemons that start together must not all begin with the same service.
    for (double& credit : state.credit) {
      credit = UniformUnit(aRng) * total;
    }
  }
  size_t best = 0;
  for (size_t i = 0; i < state.splits.size(); ++i) {
    state.credit[i] += state.splits[i].weight;
    if (state.credit[i] > state.credit[best] ||
        state.splits[best].weight <= 0) {
      best = i;
    }
  }
  state.credit[best] -= total;
  return aRoute.splits[best].service;
}

} // namespace wagtailbend::routes
