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
  return { aVersion, "c" + std::to_string(aVersion), DigestOf(aBody) };
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

// Guards against a configuration that takes longer than 7 s to be in force.
TEST_F(ConfigControllerTest, AcceptedChangeIsInForceEverywhereWithin7Seconds)
{
  VirtualDaemons daemons(m_platform, 10, 2);
  daemons.Run(3s);
  EXPECT_THAT(daemons.Versions(), Each(0U));
  Accept("c1", BodyA());
  daemons.Run(7s);
  EXPECT_THAT(daemons.Versions(), Each(1U));
  m_platform.SetFaults({ .kind = FaultKind::kDown });
  daemons.Run(30s);
  m_platform.SetFaults({});
  Accept("c2", BodyB());
  daemons.Run(7s);
  EXPECT_THAT(daemons.Versions(), Each(2U));
}

// Guards against load on the store by daemons that need not read it.
TEST_F(ConfigControllerTest, OnlyPollersReadTheHeadOncePerSecond)
{
  Accept("c1", BodyA());
  VirtualDaemons daemons(m_platform, 10, 2);
  daemons.Run(10s);
  const uint64_t before = m_platform.TotalCount();
  daemons.Run(60s);
  EXPECT_EQ(m_platform.TotalCount() - before, 120U);
}

// Guards against a lower version after a partition heals.
TEST_F(ConfigControllerTest, HealedDomainTakesTheNewerVersionOnly)
{
  Accept("c1", BodyA());
  VirtualDaemons daemons(m_platform, 4, 2);
  daemons.Run(3s);
  daemons.SetGroup(2, 1, false);
  daemons.SetGroup(3, 1, false);
  Accept("c2", BodyB());
  daemons.Run(10s);
  EXPECT_THAT(daemons.Versions(), ElementsAre(2, 2, 1, 1));
  EXPECT_TRUE(daemons.At(0).OnVersionHeard("2", 1, daemons.Now()).empty());
  daemons.SetGroup(2, 0, true);
  daemons.SetGroup(3, 0, true);
  daemons.Run(1s);
  EXPECT_THAT(daemons.Versions(), Each(2U));
}

// Guards against a restarted daemon that waits for the store although its
// peers have the configuration, and against the lower of their versions.
TEST_F(ConfigControllerTest, RestartedDaemonTakesTheHighestVersionFromPeers)
{
  Accept("c1", BodyA());
  VirtualDaemons daemons(m_platform, 3, 0);
  daemons.Run(3s);
  m_platform.SetFaults({ .kind = FaultKind::kDown });
  daemons.SetGroup(1, 1, false);
  daemons.Push(2, VersionOf(2, BodyB()), BodyB());
  daemons.Restart(0);
  EXPECT_EQ(daemons.At(0).InForce(), nullptr);
  daemons.SetGroup(1, 0, false);
  daemons.Run(5s);
  EXPECT_THAT(daemons.Versions(), Each(2U));
  EXPECT_EQ(daemons.At(0).InForce()->body, BodyB());
}

struct BodyCase
{
  ConfigVersion version;
  std::string body;
};

// Guards against a body that is corrupted, misnamed, older or not the accepted
// one being put in force.
TEST_F(ConfigControllerTest, WrongBodiesAreRejected)
{
  ConfigController controller({}, 1);
  const TimePoint now{ 1s };
  controller.OnBody(VersionOf(5, BodyA()), BodyA(), now);
  controller.OnHead(VersionOf(6, BodyB()), now);
  ASSERT_EQ(controller.Version(), 5U);
  for (const BodyCase& c : { BodyCase{ VersionOf(6, BodyB()), BodyB() + "x" },
                             BodyCase{ VersionOf(6, BodyB()), BodyA() },
                             BodyCase{ { 6, "c6", "xxh128-0" }, BodyB() },
                             BodyCase{ VersionOf(6, BodyA()), BodyA() },
                             BodyCase{ VersionOf(7, "junk"), "junk" },
                             BodyCase{ VersionOf(5, BodyB()), BodyB() },
                             BodyCase{ VersionOf(4, BodyB()), BodyB() } }) {
    controller.OnBody(c.version, c.body, now);
    EXPECT_EQ(controller.Version(), 5U);
    EXPECT_NE(controller.LastRejection(), "");
  }
  controller.OnBody(VersionOf(6, BodyB()), BodyB(), now);
  EXPECT_EQ(controller.Version(), 6U);
}

// Guards against a daemon that stays behind because a peer does not answer.
TEST_F(ConfigControllerTest, SilentPeerTimesOutAndThePlatformIsAsked)
{
  ConfigController controller({}, 1);
  const TimePoint start{ 1s };
  controller.OnBody(VersionOf(1, BodyA()), BodyA(), start);
  EXPECT_THAT(controller.OnVersionHeard("p", 2, start),
              ElementsAre(Action(FetchFromPeer{ "p", 2 })));
  EXPECT_TRUE(controller.OnTick(start + 1999ms).empty());
  EXPECT_THAT(controller.OnTick(start + 2s), ElementsAre(Action(PollHead{})));
  const ConfigVersion head = VersionOf(2, BodyB());
  controller.OnHead(head, start + 2100ms);
  EXPECT_THAT(controller.OnTick(start + 2300ms),
              ElementsAre(Action(FetchFromPlatform{ head })));
}

// Guards against retries in step, which would meet a recovering store at once.
TEST_F(ConfigControllerTest, FailedPollsBackOffWithJitter)
{
  std::set<int> counts;
  for (uint64_t seed = 0; seed < 20; ++seed) {
    ConfigController controller({}, seed);
    TimePoint now{ 1s };
    bool polling = !controller.OnSelected(true, now).empty();
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
