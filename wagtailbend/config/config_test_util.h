// Bodies and a virtual-time deployment for the tests of this folder.

#pragma once

#include <map>
#include <string>
#include <vector>

#include "testing/fakes/in_memory_platform.h"
#include "wagtailbend/config/config_controller.h"
#include "wagtailbend/config/config_store.h"

namespace wagtailbend::config {

/// Returns the descriptor set of a schema under schemas/.
inline std::string
TestBody(const std::string& aName)
{
  return GetValue(schema::CompileSchemaFile(
                    std::string(WB_SOURCE_DIR) + "/schemas/" + aName, {}))
    .descriptorSet;
}

inline const std::string&
BodyA()
{
  static const std::string body = TestBody("association.proto");
  return body;
}

inline const std::string&
BodyB()
{
  static const std::string body = TestBody("vukovic.proto");
  return body;
}

/// Daemons named by index. Peers answer at once unless a domain is cut off;
/// every daemon hears every reachable daemon's version each 200 ms.
class VirtualDaemons
{
public:
  VirtualDaemons(store::Platform& aPlatform, int aCount, int aPollers)
    : m_store(aPlatform)
  {
    for (int i = 0; i < aCount; ++i) {
      m_daemons.emplace_back(ControllerOptions{}, static_cast<uint64_t>(i));
      m_group.push_back(0);
      m_platformReachable.push_back(true);
      if (i < aPollers) {
        Execute(i, m_daemons[i].OnSelected(true, m_now));
      }
    }
  }

  ConfigController& At(int aIndex) { return m_daemons[aIndex]; }
  TimePoint Now() const { return m_now; }
  void Restart(int aIndex) { m_daemons[aIndex] = ConfigController({}, 99); }
  /// Daemons of different groups do not hear each other.
  void SetGroup(int aIndex, int aGroup, bool aPlatformReachable)
  {
    m_group[aIndex] = aGroup;
    m_platformReachable[aIndex] = aPlatformReachable;
  }
  void Push(int aIndex, const ConfigVersion& aVersion, const std::string& aBody)
  {
    Execute(aIndex, m_daemons[aIndex].OnBody(aVersion, aBody, m_now));
  }

  void Run(Duration aDuration)
  {
    const TimePoint end = m_now + aDuration;
    while (m_now < end) {
      m_now += std::chrono::milliseconds(100);
      const bool gossips = ToMilliseconds(m_now.time_since_epoch()) % 200 == 0;
      for (size_t i = 0; i < m_daemons.size(); ++i) {
        Execute(i, m_daemons[i].OnTick(m_now));
        for (size_t j = 0; gossips && j < m_daemons.size(); ++j) {
          if (m_group[i] == m_group[j] && m_daemons[j].Version() > 0) {
            Execute(i,
                    m_daemons[i].OnVersionHeard(
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
        const auto config = m_daemons[from].InForce();
        const bool ok = config && m_group[from] == m_group[aIndex];
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
  std::vector<int> m_group;
  std::vector<bool> m_platformReachable;
};

} // namespace wagtailbend::config
