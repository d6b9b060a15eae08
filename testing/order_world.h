// Four daemons for tests of orders, and the log of what their targets ran.
//
//   OrderWorld world({ "--service-time-us", "600000" });
//   ASSERT_TRUE(world.started);
//   CallRecord record = world.Send(kEntry, "niran");
//   world.Check();

#pragma once

#include <fstream>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "testing/caller.h"
#include "testing/deployment.h"

namespace wagtailbend::testing {

inline constexpr char kOrder[] = "/association.Payouts/Order";
inline constexpr size_t kTargetA = 0;
inline constexpr size_t kEntry = 2;
inline constexpr size_t kOther = 3;

/// Two daemons with targets for payouts, two without a target. Payouts call
/// nothing here, so that a run is one line of the log.
class OrderWorld
{
public:
  explicit OrderWorld(std::vector<std::string> aTargetArguments = {},
                      bool aPlatform = false)
    : m_log(::testing::TempDir() +
            fmt::format("orders-{}-{}", getpid(), s_count++))
  {
    aTargetArguments.insert(aTargetArguments.end(),
                            { "--orders", m_log, "--egress=" });
    m_deployment = std::make_unique<Deployment>(
      "association",
      std::vector<VmPlan>{ { "association.Payouts", aTargetArguments },
                           { "association.Payouts", aTargetArguments },
                           { "", {} },
                           { "", {} } });
    if (aPlatform) {
      m_deployment->UsePlatform();
    }
    started = m_deployment->Start();
    for (size_t i = 0; i < 4; ++i) {
      m_callers.push_back(
        std::make_unique<Caller>(m_deployment->At(i).customer));
    }
  }
  ~OrderWorld() { std::remove(m_log.c_str()); }

  Deployment& operator*() { return *m_deployment; }
  Deployment* operator->() { return m_deployment.get(); }

  CallRecord Send(size_t aEntry,
                  const std::string& aKey,
                  const CallOptions& aOptions = {})
  {
    CallRecord record = m_callers[aEntry]->Call(kOrder, aKey, aOptions);
    const std::lock_guard lock(m_mutex);
    if (record.run == "not-run") {
      m_reportedNotRun.insert(aKey);
    }
    return record;
  }
  CallRecord SendTicket(size_t aEntry,
                        const std::string& aKey,
                        const std::string& aTicket)
  {
    CallOptions options;
    options.ticket = aTicket;
    return Send(aEntry, aKey, options);
  }
  CallRecord SendRaw(size_t aEntry, const std::string& aKey)
  {
    CallOptions options;
    options.orderKey = "raw-" + aKey;
    return Send(aEntry, aKey, options);
  }
  std::future<CallRecord> Async(size_t aEntry,
                                const std::string& aKey,
                                const std::string& aTicket)
  {
    return std::async(std::launch::async, [this, aEntry, aKey, aTicket] {
      return SendTicket(aEntry, aKey, aTicket);
    });
  }
  std::string Draw(size_t aDaemon) { return m_callers[aDaemon]->DrawTicket(); }
  std::string Lookup(size_t aDaemon,
                     const std::string& aTicket,
                     const std::string& aOrderKey = "")
  {
    return m_callers[aDaemon]->LookupOrder(aTicket, aOrderKey);
  }

  size_t Runs(const std::string& aKey) { return ReadLog()[aKey]; }
  bool WaitForRun(const std::string& aKey)
  {
    for (int i = 0; i < 400 && Runs(aKey) == 0; ++i) {
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return Runs(aKey) > 0;
  }

  /// The invariants: at most one run per key, none of a key that somebody was
  /// told not to have run. Called at the end, when late messages have arrived.
  void Check()
  {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    for (const auto& [key, runs] : ReadLog()) {
      EXPECT_LE(runs, 1U) << key << " ran more than once";
      EXPECT_FALSE(m_reportedNotRun.contains(key))
        << key << " was reported as not run";
    }
  }

  bool started = false;

private:
  std::map<std::string, size_t> ReadLog()
  {
    std::map<std::string, size_t> runs;
    std::ifstream file(m_log);
    for (std::string line; std::getline(file, line);) {
      auto json = nlohmann::json::parse(line, nullptr, false);
      if (json.is_object()) {
        ++runs[json["key"].get<std::string>()];
      }
    }
    return runs;
  }

  static inline int s_count = 0;
  std::string m_log;
  std::unique_ptr<Deployment> m_deployment;
  std::vector<std::unique_ptr<Caller>> m_callers;
  std::mutex m_mutex;
  std::set<std::string> m_reportedNotRun;
};

} // namespace wagtailbend::testing
