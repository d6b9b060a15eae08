// Daemon processes without their control threads, run by the test's thread.
//
//   TrafficProcess first(FreePort(), 1);
//   TrafficProcess second(FreePort(), 2);
//   first.m_node.AddMembers({ second.m_node.Self() });
//   RunUntil(first, second, [&] { return first.m_node.LinksUp() == 1; });

#pragma once

#include <chrono>
#include <string>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <gtest/gtest.h>

#include "wagtailbend/base/boot_time.h"
#include "wagtailbend/node/traffic_node.h"

namespace wagtailbend::node::testing {

inline uint16_t
FreePort()
{
  asio::io_context io;
  const asio::ip::tcp::acceptor acceptor(
    io, { asio::ip::address_v4::loopback(), 0 });
  return acceptor.local_endpoint().port();
}

inline NodeSettings
MakeSettings(uint16_t aMeshPort)
{
  NodeSettings settings;
  settings.address = "127.0.0.1";
  settings.failureDomain = "north";
  settings.region = "region";
  settings.service = "stock";
  settings.targetAddress = "127.0.0.1:1";
  settings.clientAddress = "127.0.0.1:" + std::to_string(FreePort());
  settings.firstInternalPort = aMeshPort;
  return settings;
}

/// One process of a daemon, without its control thread.
class TrafficProcess
{
public:
  TrafficProcess(uint16_t aMeshPort, uint64_t aIncarnation)
    : m_metrics(m_registry)
    , m_node(m_io,
             MakeSettings(aMeshPort),
             {},
             aIncarnation,
             m_metrics,
             { .onConfig = [](uint64_t, const std::string&) {},
               .onLocalMember = [](const mesh::Member&) {},
               .onEarlierLeave =
                 [this](const targets::TargetRun& aRun) {
                   m_earlierLeaves.push_back(aRun);
                 },
               .onTargetLeaving =
                 [this](const targets::TargetRun& aRun) {
                   m_leaves.push_back(aRun);
                 },
               .onStoreGeneration =
                 [this](uint64_t aGeneration) { m_generation = aGeneration; },
               .onWatchStore = [](bool) {} })
  {
    EXPECT_TRUE(IsOk(m_node.Listen()));
  }
  ~TrafficProcess() { m_io.stop(); }
  TrafficProcess(const TrafficProcess&) = delete;
  TrafficProcess& operator=(const TrafficProcess&) = delete;

  void RunFor(int aMs)
  {
    m_io.restart();
    m_io.run_for(std::chrono::milliseconds(aMs));
  }

  asio::io_context m_io;
  observability::MetricsRegistry m_registry;
  TrafficMetrics m_metrics;
  std::vector<targets::TargetRun> m_earlierLeaves;
  std::vector<targets::TargetRun> m_leaves;
  uint64_t m_generation = 0;
  TrafficNode m_node;
};

/// Runs both processes until aCondition holds. Returns false after 10 s, since
/// a link needs up to 3 s to notice that its peer was replaced.
template<typename Condition>
bool
RunUntil(TrafficProcess& aFirst, TrafficProcess& aSecond, Condition aCondition)
{
  const TimePoint end = BootNow() + std::chrono::seconds(10);
  while (BootNow() < end && !aCondition()) {
    aFirst.RunFor(5);
    aSecond.RunFor(5);
  }
  return aCondition();
}

} // namespace wagtailbend::node::testing
