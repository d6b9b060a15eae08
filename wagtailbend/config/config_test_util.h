// Test bodies and simulated daemons in virtual time for the configuration
// tests.

#pragma once

#include <map>
#include <string>
#include <vector>

#include "testing/fakes/in_memory_platform.h"
#include "wagtailbend/config/config_controller.h"
#include "wagtailbend/config/config_store.h"

namespace wagtailbend::config {

/// Compiles a schema under schemas/ and returns its serialized descriptor set.
inline std::string
CompileTestBody(const std::string& aName)
{
  return GetValue(schema::CompileSchemaFile(
                    std::string(WB_SOURCE_DIR) + "/schemas/" + aName, {}))
    .descriptorSet;
}

inline const std::string&
BodyA()
{
  static const std::string body = CompileTestBody("association.proto");
  return body;
}

inline const std::string&
BodyB()
{
  static const std::string body = CompileTestBody("vukovic.proto");
  return body;
}

/// Daemons identified by index. Peers in the same partition respond at once,
/// and every 200 ms each daemon receives the versions of the daemons in its
/// partition.
class SimulatedDaemons
{
public:
  SimulatedDaemons(store::Platform& aPlatform, int aCount, int aPollers)
    : m_store(aPlatform)
  {
    for (int i = 0; i < aCount; ++i) {
      m_daemons.emplace_back(ControllerOptions{}, static_cast<uint64_t>(i));
      m_partition.push_back(0);
      m_platformReachable.push_back(true);
      if (i < aPollers) {
        Execute(i, m_daemons[i].OnPollerSelection(true, m_now));
      }
    }
  }

  ConfigController& At(int aIndex) { return m_daemons[aIndex]; }
  TimePoint Now() const { return m_now; }
  void Restart(int aIndex) { m_daemons[aIndex] = ConfigController({}, 99); }
  /// Daemons in different partitions do not reach each other.
  void SetPartition(int aIndex, int aPartition, bool aPlatformReachable)
  {
    m_partition[aIndex] = aPartition;
    m_platformReachable[aIndex] = aPlatformReachable;
  }
  void Push(int aIndex, const ConfigVersion& aVersion, const std::string& aBody)
  {
    Execute(aIndex, m_daemons[aIndex].OnBody(aVersion, aBody, m_now));
  }

  void RunFor(Duration aDuration)
  {
    const TimePoint end = m_now + aDuration;
    while (m_now < end) {
      m_now += std::chrono::milliseconds(100);
      const bool isGossipRound =
        ToMilliseconds(m_now.time_since_epoch()) % 200 == 0;
      for (size_t i = 0; i < m_daemons.size(); ++i) {
        Execute(i, m_daemons[i].OnTick(m_now));
        for (size_t j = 0; isGossipRound && j < m_daemons.size(); ++j) {
          if (m_partition[i] == m_partition[j] && m_daemons[j].Version() > 0) {
            Execute(i,
                    m_daemons[i].OnPeerVersion(
                      std::to_string(j), m_daemons[j].Version(), m_now));
          }
        }
      }
    }
  }

  std::vector<uint64_t> Versions() const
  {
    std::vector<uint64_t> versions;
    for (const auto& daemon : m_daemons) {
      versions.push_back(daemon.Version());
    }
    return versions;
  }

private:
  void Execute(size_t aIndex, const Actions& aActions)
  {
    for (const auto& action : aActions) {
      auto& daemon = m_daemons[aIndex];
      if (std::holds_alternative<PollHead>(action)) {
        auto head = m_store.ReadHead();
        const bool ok = IsOk(head) && m_platformReachable[aIndex];
        Execute(aIndex,
                ok ? daemon.OnHead(GetValue(head), m_now)
                   : daemon.OnPollFailed(m_now));
      } else if (const auto* peer = std::get_if<FetchFromPeer>(&action)) {
        const int from = std::stoi(peer->peer);
        const auto config = m_daemons[from].Active();
        const bool ok = config && m_partition[from] == m_partition[aIndex];
        Execute(aIndex,
                ok ? daemon.OnBody(config->version, config->body, m_now)
                   : daemon.OnFetchFailed(m_now));
      } else if (const auto* fetch = std::get_if<FetchFromPlatform>(&action)) {
        auto body = m_store.ReadBody(fetch->version.digest);
        const bool ok = IsOk(body) && m_platformReachable[aIndex];
        Execute(aIndex,
                ok ? daemon.OnBody(fetch->version, GetValue(body), m_now)
                   : daemon.OnFetchFailed(m_now));
      }
    }
  }

  ConfigStore m_store;
  TimePoint m_now{};
  std::vector<ConfigController> m_daemons;
  std::vector<int> m_partition;
  std::vector<bool> m_platformReachable;
};

} // namespace wagtailbend::config
