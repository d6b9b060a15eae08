// Orders through real processes while processes, connections and the platform
// fail. Each case checks the targets' log of runs.

#include <csignal>
#include <fstream>
#include <future>
#include <map>
#include <set>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "testing/caller.h"
#include "testing/deployment.h"

namespace wagtailbend::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kOrder[] = "/association.Payouts/Order";
constexpr size_t kTargetA = 0;
constexpr size_t kEntry = 2;
constexpr size_t kOther = 3;

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
      std::this_thread::sleep_for(milliseconds(5));
    }
    return Runs(aKey) > 0;
  }

  /// The invariants: at most one run per key, none of a key that somebody was
  /// told not to have run. Called at the end, when late messages have arrived.
  void Check()
  {
    std::this_thread::sleep_for(milliseconds(300));
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

const std::vector<std::string> kSlowTarget = { "--service-time-us", "600000" };

bool
Complete(const CallRecord& aRecord, const std::string& aKey)
{
  return IsComplete(aRecord, kOrder, aKey);
}

// Guards against a resend that runs the order again or gets no response: the
// same ticket through the home, through another daemon, at once and after the
// end; another payload gets nobody's response.
TEST(OrderFaults, ResentTicketIsAnsweredWithOneRun)
{
  OrderWorld world({ "--service-time-us", "200000" });
  ASSERT_TRUE(world.started);
  for (size_t home : { kEntry, kTargetA }) {
    const std::string key = fmt::format("resent-{}", home);
    const std::string ticket = world.Draw(home);
    auto first = world.Async(home, key, ticket);
    auto second = world.Async(kOther, key, ticket);
    EXPECT_TRUE(Complete(first.get(), key));
    EXPECT_TRUE(Complete(second.get(), key));
    EXPECT_TRUE(Complete(world.SendTicket(home, key, ticket), key));
    EXPECT_TRUE(Complete(world.SendTicket(kOther, key, ticket), key));
    EXPECT_EQ(world.SendTicket(kOther, "thief", ticket).error,
              "invalid-request");
    EXPECT_EQ(world.Lookup(home, ticket), "ran");
    EXPECT_EQ(world.Lookup(kOther, ticket), "ran");
    EXPECT_EQ(world.Runs(key), 1U);
    EXPECT_EQ(world.Runs("thief"), 0U);
  }
  CallOptions bare;
  bare.bare = true;
  EXPECT_EQ(world.Send(kEntry, "bare", bare).error, "invalid-request");
  world.Check();
}

} // namespace
} // namespace wagtailbend::testing
