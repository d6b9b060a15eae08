#include "wagtailbend/daemon/target_registry.h"

#include <gtest/gtest.h>

namespace wagtailbend::daemon {
namespace {

constexpr Duration kTimeout = std::chrono::seconds(1);
const Announcement kTarget{ "association.Balances", "127.0.0.1:7001", 100 };

// Guards against work sent to a target that stopped its heartbeats, and
// against removing one that did not.
TEST(TargetRegistry, ExpiresWithoutHeartbeats)
{
  TargetRegistry registry(kTimeout);
  TimePoint start{};
  EXPECT_FALSE(registry.Heartbeat(0.5, start));
  EXPECT_TRUE(registry.Announce(kTarget, start));
  EXPECT_TRUE(registry.Heartbeat(0.5, start + kTimeout / 2));
  EXPECT_FALSE(registry.Expire(start + kTimeout));
  EXPECT_TRUE(registry.Expire(start + kTimeout / 2 + kTimeout));
  EXPECT_FALSE(registry.Target().has_value());
  EXPECT_FALSE(registry.Expire(start + 3 * kTimeout));
  EXPECT_FALSE(registry.Heartbeat(0.5, start + 3 * kTimeout));
}

// Guards against a draining target that takes work again through a heartbeat.
TEST(TargetRegistry, DrainsUntilAnnouncedAgain)
{
  TargetRegistry registry(kTimeout);
  TimePoint now{};
  EXPECT_FALSE(registry.Drain());
  registry.Announce(kTarget, now);
  EXPECT_FALSE(registry.Announce(kTarget, now));
  EXPECT_TRUE(registry.Drain());
  EXPECT_FALSE(registry.Drain());
  EXPECT_TRUE(registry.Heartbeat(0, now));
  EXPECT_TRUE(registry.Draining());
  EXPECT_TRUE(registry.Announce(kTarget, now));
  EXPECT_FALSE(registry.Draining());
}

// Guards against removing a restarted target because of a refusal that its
// predecessor's address caused.
TEST(TargetRegistry, RefusalNamesTheAddress)
{
  TargetRegistry registry(kTimeout);
  registry.Announce(kTarget, TimePoint{});
  EXPECT_FALSE(registry.Refused("127.0.0.1:7002"));
  EXPECT_TRUE(registry.Refused("127.0.0.1:7001"));
  EXPECT_FALSE(registry.Refused("127.0.0.1:7001"));
}

} // namespace
} // namespace wagtailbend::daemon
