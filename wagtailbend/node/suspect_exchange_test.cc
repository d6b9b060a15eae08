// Tests what daemons send each other about crash suspects.

#include <algorithm>
#include <functional>
#include <memory>
#include <numeric>
#include <vector>

#include <gtest/gtest.h>

#include "wagtailbend/mesh/convert.h"
#include "wagtailbend/node/testing/traffic_process.h"

namespace wagtailbend::node {
namespace {

using testing::FreePort;
using testing::TrafficProcess;

constexpr size_t kPeers = 6;

std::vector<uint64_t>
Fingerprints(uint64_t aFirst, size_t aCount)
{
  std::vector<uint64_t> fingerprints(aCount);
  std::iota(fingerprints.begin(), fingerprints.end(), aFirst);
  return fingerprints;
}

/// Returns the size of a message with aCount crash suspects.
uint64_t
ListBytes(size_t aCount)
{
  const quarantine::SuspectEntry entry = {
    1, { 0, UINT64_MAX }, false, std::chrono::minutes(2)
  };
  return mesh::ToProto(std::vector(aCount, entry)).ByteSizeLong();
}

class SuspectExchangeTest : public ::testing::Test
{
protected:
  SuspectExchangeTest()
  {
    for (size_t i = 0; i < kPeers; ++i) {
      Start();
    }
  }

  /// Starts a daemon and waits until all daemons are linked.
  TrafficProcess& Start()
  {
    m_daemons.push_back(
      std::make_unique<TrafficProcess>(FreePort(), m_daemons.size() + 1));
    TrafficProcess& started = *m_daemons.back();
    for (const auto& daemon : m_daemons) {
      daemon->m_node.AddMembers({ started.m_node.Self() });
      started.m_node.AddMembers({ daemon->m_node.Self() });
    }
    EXPECT_TRUE(RunUntil([this] {
      return std::ranges::all_of(m_daemons, [this](const auto& aDaemon) {
        return aDaemon->m_node.LinksUp() == m_daemons.size() - 1;
      });
    }));
    return started;
  }

  /// Returns false after 10 s.
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    const TimePoint end = BootNow() + std::chrono::seconds(10);
    while (BootNow() < end && !aCondition()) {
      for (const auto& daemon : m_daemons) {
        daemon->RunFor(2);
      }
    }
    return aCondition();
  }

  bool HaveEqualLists() const
  {
    const uint64_t digest = m_daemons.front()->m_node.SuspectsDigest();
    return std::ranges::all_of(m_daemons, [digest](const auto& aDaemon) {
      return aDaemon->m_node.SuspectsDigest() == digest;
    });
  }

  /// Returns the bytes of frames that may hold crash suspects.
  uint64_t SentBytes() const
  {
    uint64_t bytes = 0;
    for (const auto& daemon : m_daemons) {
      for (const auto kind : { mesh::wire::Frame::kHello,
                               mesh::wire::Frame::kWelcome,
                               mesh::wire::Frame::kSuspects }) {
        bytes += daemon->m_node.Traffic().sameRegion[kind].bytes;
      }
    }
    return bytes;
  }

  std::vector<std::unique_ptr<TrafficProcess>> m_daemons;
};

// Guards against lists at their limit that differ for ever and are sent again
// and again.
TEST_F(SuspectExchangeTest, FullListsComeToAgree)
{
  constexpr size_t kSuspectsEach = 200;
  for (size_t i = 0; i < kPeers; ++i) {
    m_daemons[i]->m_node.OnTargetCrashed(
      Fingerprints(1 + i * kSuspectsEach, kSuspectsEach));
  }
  EXPECT_TRUE(RunUntil([this] { return HaveEqualLists(); }));
}

// Guards against a daemon that starts and gets the whole list from each peer.
TEST_F(SuspectExchangeTest, ADaemonThatStartsGetsTheListFromOnePeer)
{
  constexpr size_t kSuspects = 500;
  m_daemons.front()->m_node.OnTargetCrashed(Fingerprints(1, kSuspects));
  ASSERT_TRUE(RunUntil([this] { return HaveEqualLists(); }));
  const uint64_t earlierBytes = SentBytes();
  Start();
  EXPECT_TRUE(RunUntil([this] { return HaveEqualLists(); }));
  EXPECT_LT(SentBytes() - earlierBytes, 2 * ListBytes(kSuspects));
}

} // namespace
} // namespace wagtailbend::node
