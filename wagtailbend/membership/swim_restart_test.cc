#include <gtest/gtest.h>

#include "wagtailbend/membership/testing/fake_network.h"

namespace wagtailbend::membership {
namespace {

using std::chrono::seconds;
using testing::FakeNetwork;

// Guards against drain updates being delayed behind the updates of many daemons
// that restart at once, such as a rack.
TEST(SwimRestartTest, DrainUpdatesPrecedeMassRestartUpdates)
{
  const FakeNetwork converged = FakeNetwork::Converged(138, 1);
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    FakeNetwork network = converged;
    network.Reseed(seed);
    for (size_t i = 20; i < 120; ++i) {
      network.Restart(i, 900'000 + i);
    }
    network.RunFor(seconds(1));
    network.NodeAt(5).swim.StartDraining();
    const Duration taken = network.RunUntil(seconds(30), [&] {
      return network.CountSeeing(5, MemberState::kAlive) == 0;
    });
    EXPECT_LE(taken, seconds(3)) << "seed " << seed;
  }
}

} // namespace
} // namespace wagtailbend::membership
