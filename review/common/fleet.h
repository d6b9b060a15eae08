// A small deployment: the store, and machines with a server and a daemon each.
// The daemons are processes of the deploy file's command.
//
//   Fleet fleet({ { "ledgers", "ranong" }, { "balances", "phuket" } }, record);
//   if (!fleet.Start(routes)) { return kCannotRun; }

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

#include "platform/testing/fake_store.h"
#include "review/common/record.h"
#include "review/common/server.h"
#include "testing/process.h"

namespace wagtailbend::review {

struct MachinePlan
{
  std::string service;
  std::string zone;
};

struct RoutePlan
{
  std::string name;
  std::string prefix;
  std::string kind;
  std::string service;
  int timeoutMs = 5000;
  int targetLatencyMs = 1500;
  int priority = 2;
};

/// A machine. Ports are the same on all machines.
struct Machine
{
  MachinePlan plan;
  std::string host;
  std::string settingsFile;
  std::unique_ptr<wagtailbend::testing::Process> daemon;
  std::unique_ptr<Server> server;
};

inline constexpr const char* kHost = "shop.example";
inline constexpr int kMemoryMb = 260;
inline constexpr int kGracePeriodS = 6;

/// Not thread-safe, except for the methods that are const.
class Fleet
{
public:
  Fleet(std::vector<MachinePlan> aPlans, Record& aRecord);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts everything and waits until each daemon is ready and has answered a
  /// request on each route. Returns false if that takes too long.
  bool Start(const std::vector<RoutePlan>& aRoutes);
  void StartDaemon(size_t aMachine);
  bool IsReady(size_t aMachine) const;
  Machine& At(size_t aMachine) { return m_machines[aMachine]; }
  const std::string& Host(size_t aMachine) const
  {
    return m_machines[aMachine].host;
  }
  int ClientPort() const { return m_basePort; }
  /// Runs of all servers.
  std::vector<Run> Runs() const;
  /// Adds the runs of all servers to the record.
  void RecordRuns() const;

private:
  std::string SettingsOf(const Machine& aMachine) const;
  std::string ConfigOf(const std::vector<RoutePlan>& aRoutes) const;
  bool WaitUntilServed(const std::vector<RoutePlan>& aRoutes) const;

  Record& m_record;
  const int m_basePort;
  std::string m_folder;
  users_platform::testing::FakeStore m_store;
  std::vector<Machine> m_machines;
};

/// Returns the bytes of a request. aMore: further header lines.
std::string
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aId,
            int aDeadlineMs,
            const std::string& aBody = "");

/// Returns a new id of an attempt. Thread-safe.
std::string
MakeAttemptId();

/// Returns whether the disruption of the case is wanted: TROUBLE is not 0.
bool
IsTroubleWanted();

/// Exit statuses of a case.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCannotRun = 2;

} // namespace wagtailbend::review
