#include "wagtailbend/config/config_controller.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "wagtailbend/config/config_test_util.h"

namespace wagtailbend::config {
namespace {

using namespace std::chrono_literals;
using testing::Each;
using testing::ElementsAre;
using testing_fakes::FaultKind;
using testing_fakes::InMemoryPlatform;

ConfigVersion
VersionOf(uint64_t aVersion, const std::string& aBody)
{
  return { aVersion, "c" + std::to_string(aVersion), ComputeDigest(aBody) };
}

class ConfigControllerTest : public testing::Test
{
protected:
  void Accept(const char* aChangeId, const std::string& aBody)
  {
    const auto result = ConfigStore(m_platform).Accept({ aChangeId, aBody });
    ASSERT_TRUE(std::holds_alternative<Accepted>(result));
  }

  InMemoryPlatform m_platform;
};

// Guards against an accepted change that takes longer than 7 s to be active on
// all daemons, at the start and after an outage of the store.
TEST_F(ConfigControllerTest, AcceptedChangeIsActiveEverywhereWithin7Seconds)
{
  SimulatedDaemons daemons(m_platform, 10, 2);
  daemons.RunFor(3s);
  EXPECT_THAT(daemons.Versions(), Each(0U));
  Accept("c1", BodyA());
  daemons.RunFor(7s);
  EXPECT_THAT(daemons.Versions(), Each(1U));
  m_platform.SetFaults({ .kind = FaultKind::kDown });
  daemons.RunFor(30s);
  m_platform.SetFaults({});
  Accept("c2", BodyB());
  daemons.RunFor(7s);
  EXPECT_THAT(daemons.Versions(), Each(2U));
}

// Guards against needless load on the store by daemons that are not pollers.
TEST_F(ConfigControllerTest, OnlyPollersReadTheHeadOncePerSecond)
{
  Accept("c1", BodyA());
  SimulatedDaemons daemons(m_platform, 10, 2);
  daemons.RunFor(10s);
  const uint64_t before = m_platform.TotalCount();
  daemons.RunFor(60s);
  EXPECT_EQ(m_platform.TotalCount() - before, 120U);
}

// Guards against a daemon that returns to a lower version when a partition
// heals and peers announce older versions.
TEST_F(ConfigControllerTest, HealedPartitionAdoptsTheNewerVersionOnly)
{
  Accept("c1", BodyA());
  SimulatedDaemons daemons(m_platform, 4, 2);
  daemons.RunFor(3s);
  daemons.SetPartition(2, 1, false);
  daemons.SetPartition(3, 1, false);
  Accept("c2", BodyB());
  daemons.RunFor(10s);
  EXPECT_THAT(daemons.Versions(), ElementsAre(2, 2, 1, 1));
  EXPECT_TRUE(daemons.At(0).OnPeerVersion("2", 1, daemons.Now()).empty());
  daemons.SetPartition(2, 0, true);
  daemons.SetPartition(3, 0, true);
  daemons.RunFor(1s);
  EXPECT_THAT(daemons.Versions(), Each(2U));
}

// Guards against a restarted daemon that waits for an unavailable store
// although its peers have the configuration, or that takes the lower of their
// versions.
TEST_F(ConfigControllerTest, RestartedDaemonTakesTheHighestVersionFromPeers)
{
  Accept("c1", BodyA());
  SimulatedDaemons daemons(m_platform, 3, 0);
  daemons.RunFor(3s);
  m_platform.SetFaults({ .kind = FaultKind::kDown });
  daemons.SetPartition(1, 1, false);
  daemons.Push(2, VersionOf(2, BodyB()), BodyB());
  daemons.Restart(0);
  EXPECT_EQ(daemons.At(0).Active(), nullptr);
  daemons.SetPartition(1, 0, false);
  daemons.RunFor(5s);
  EXPECT_THAT(daemons.Versions(), Each(2U));
  EXPECT_EQ(daemons.At(0).Active()->body, BodyB());
}

struct BodyCase
{
  ConfigVersion version;
  std::string body;
};

// Guards against activating a body that is corrupted, has the wrong digest or
// an older version, or differs from the accepted one.
TEST_F(ConfigControllerTest, WrongBodiesAreRejected)
{
  ConfigController controller({}, 1);
  const TimePoint now{ 1s };
  controller.OnBody(VersionOf(5, BodyA()), BodyA(), now);
  controller.OnHead(VersionOf(6, BodyB()), now);
  ASSERT_EQ(controller.Version(), 5U);
  for (const BodyCase& testCase :
       { BodyCase{ VersionOf(6, BodyB()), BodyB() + "x" },
         BodyCase{ VersionOf(6, BodyB()), BodyA() },
         BodyCase{ { 6, "c6", "xxh128-0" }, BodyB() },
         BodyCase{ VersionOf(6, BodyA()), BodyA() },
         BodyCase{ VersionOf(7, "junk"), "junk" },
         BodyCase{ VersionOf(5, BodyB()), BodyB() },
         BodyCase{ VersionOf(4, BodyB()), BodyB() } }) {
    controller.OnBody(testCase.version, testCase.body, now);
    EXPECT_EQ(controller.Version(), 5U);
    EXPECT_NE(controller.LastRejection(), "");
  }
  controller.OnBody(VersionOf(6, BodyB()), BodyB(), now);
  EXPECT_EQ(controller.Version(), 6U);
}

// Guards against a daemon that keeps an old version because a peer does not
// respond to its fetch.
TEST_F(ConfigControllerTest, UnresponsivePeerTimesOutAndThePlatformIsUsed)
{
  ConfigController controller({}, 1);
  const TimePoint start{ 1s };
  controller.OnBody(VersionOf(1, BodyA()), BodyA(), start);
  EXPECT_THAT(controller.OnPeerVersion("p", 2, start),
              ElementsAre(Action(FetchFromPeer{ "p", 2 })));
  EXPECT_TRUE(controller.OnTick(start + 1999ms).empty());
  EXPECT_THAT(controller.OnTick(start + 2s), ElementsAre(Action(PollHead{})));
  const ConfigVersion head = VersionOf(2, BodyB());
  controller.OnHead(head, start + 2100ms);
  EXPECT_THAT(controller.OnTick(start + 2300ms),
              ElementsAre(Action(FetchFromPlatform{ head })));
}

// Guards against synchronized retries, which would overload a recovering store.
TEST_F(ConfigControllerTest, FailedPollsBackOffWithJitter)
{
  std::set<int> counts;
  for (uint64_t seed = 0; seed < 20; ++seed) {
    ConfigController controller({}, seed);
    TimePoint now{ 1s };
    bool polling = !controller.OnPollerSelection(true, now).empty();
    int polls = 0;
    for (; now < TimePoint{ 61s }; now += 10ms) {
      if (polling) {
        ++polls;
        controller.OnPollFailed(now);
      }
      polling = !controller.OnTick(now).empty();
    }
    EXPECT_LE(polls, 70);
    EXPECT_GE(polls, 28);
    counts.insert(polls);
  }
  EXPECT_GT(counts.size(), 3U);
}

} // namespace
} // namespace wagtailbend::config
