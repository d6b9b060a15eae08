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

bool
Complete(const CallRecord& aRecord, const std::string& aKey)
{
  return IsComplete(aRecord, kOrder, aKey);
}

// The outcome is unknown to the caller, and nothing else is claimed.
void
ExpectUnknown(const CallRecord& aRecord)
{
  EXPECT_FALSE(aRecord.status.ok());
  EXPECT_TRUE(aRecord.run.empty() || aRecord.run == "may-have-run")
    << aRecord.error << " " << aRecord.run;
}

// A resend that runs the order again or gets no response: the same ticket
// through the home and another daemon, at once and after the end. Another
// payload gets nobody's response.
void
ResendTicket(OrderWorld& aWorld)
{
  for (size_t home : { kEntry, kTargetA }) {
    const std::string key = fmt::format("resent-{}", home);
    const std::string ticket = aWorld.Draw(home);
    auto first = aWorld.Async(home, key, ticket);
    auto second = aWorld.Async(kOther, key, ticket);
    EXPECT_TRUE(Complete(first.get(), key));
    EXPECT_TRUE(Complete(second.get(), key));
    EXPECT_TRUE(Complete(aWorld.SendTicket(home, key, ticket), key));
    EXPECT_TRUE(Complete(aWorld.SendTicket(kOther, key, ticket), key));
    EXPECT_EQ(aWorld.SendTicket(kOther, "other", ticket).error,
              "invalid-request");
    EXPECT_EQ(aWorld.Lookup(home, ticket), "ran");
    EXPECT_EQ(aWorld.Lookup(kOther, ticket), "ran");
    EXPECT_EQ(aWorld.Runs(key), 1U);
    EXPECT_EQ(aWorld.Runs("other"), 0U);
  }
  CallOptions bare;
  bare.bare = true;
  EXPECT_EQ(aWorld.Send(kEntry, "bare", bare).error, "invalid-request");
}

// "Not run", or a second run, when the home died with orders in flight or was
// started again.
void
KillHome(OrderWorld& aWorld)
{
  const std::string direct = aWorld.Draw(kEntry);
  const std::string relayed = aWorld.Draw(kEntry);
  const std::string unused = aWorld.Draw(kEntry);
  auto first = aWorld.Async(kEntry, "direct", direct);
  auto second = aWorld.Async(kOther, "relayed", relayed);
  ASSERT_TRUE(aWorld.WaitForRun("direct") && aWorld.WaitForRun("relayed"));
  aWorld->At(kEntry).daemon->Signal(SIGKILL);
  ExpectUnknown(first.get());
  ExpectUnknown(second.get());
  ExpectUnknown(aWorld.SendTicket(kOther, "direct", direct));
  aWorld->At(kEntry).daemon->Wait(seconds(2));
  aWorld->StartDaemon(kEntry);
  ASSERT_TRUE(aWorld->WaitForTargets(2, seconds(5)));
  for (size_t entry : { kEntry, kOther }) {
    ExpectUnknown(aWorld.SendTicket(entry, "direct", direct));
    ExpectUnknown(aWorld.SendTicket(entry, "relayed", relayed));
    ExpectUnknown(aWorld.SendTicket(entry, "unused", unused));
  }
  EXPECT_EQ(aWorld.Runs("unused"), 0U);
}

// A second dispatch while the home is frozen, and a response that is lost when
// it resumes.
void
FreezeHome(OrderWorld& aWorld)
{
  const std::string ticket = aWorld.Draw(kEntry);
  const std::string open = aWorld.Draw(kEntry);
  auto first = aWorld.Async(kEntry, "frozen", ticket);
  ASSERT_TRUE(aWorld.WaitForRun("frozen"));
  aWorld->At(kEntry).daemon->Signal(SIGSTOP);
  auto again = aWorld.Async(kOther, "frozen", ticket);
  auto fresh = aWorld.Async(kOther, "fresh", open);
  std::this_thread::sleep_for(milliseconds(1200));
  aWorld->At(kEntry).daemon->Signal(SIGCONT);
  EXPECT_TRUE(Complete(first.get(), "frozen"));
  again.get();
  fresh.get();
  ASSERT_TRUE(aWorld->WaitForTargets(2, seconds(5)));
  EXPECT_TRUE(Complete(aWorld.SendTicket(kEntry, "frozen", ticket), "frozen"));
  aWorld.SendTicket(kEntry, "fresh", open);
  EXPECT_EQ(aWorld.Runs("frozen"), 1U);
}

// Orders that run twice, or count as not run, because their target died.
void
KillTarget(OrderWorld& aWorld)
{
  for (size_t target : { 0, 1 }) {
    ASSERT_TRUE(aWorld->SetFault(target, R"({"crash_key": "boom"})"));
  }
  const std::string ticket = aWorld.Draw(kEntry);
  ExpectUnknown(aWorld.SendTicket(kEntry, "boom", ticket));
  ExpectUnknown(aWorld.SendTicket(kOther, "boom", ticket));
  EXPECT_EQ(aWorld.Lookup(kOther, ticket), "may-have-run");
  EXPECT_EQ(aWorld.Runs("boom"), 1U);
  // Before the start: the next orders meet the gap left by the target.
  for (int i = 0; i < 6; ++i) {
    aWorld.Send(kEntry, fmt::format("after-{}", i));
  }
  ASSERT_TRUE(aWorld->WaitForTargets(1, seconds(5)));
  EXPECT_TRUE(Complete(aWorld.Send(kEntry, "later"), "later"));
}

// A grant that is moved to another target although it was started, when the
// daemon of the target dies.
void
KillTargetDaemon(OrderWorld& aWorld)
{
  std::vector<std::future<CallRecord>> calls;
  for (int i = 0; i < 6; ++i) {
    calls.push_back(
      aWorld.Async(kEntry, fmt::format("held-{}", i), aWorld.Draw(kEntry)));
  }
  ASSERT_TRUE(aWorld.WaitForRun("held-5"));
  aWorld->At(kTargetA).daemon->Signal(SIGKILL);
  for (int i = 0; i < 6; ++i) {
    calls.push_back(
      aWorld.Async(kEntry, fmt::format("next-{}", i), aWorld.Draw(kEntry)));
  }
  size_t complete = 0;
  for (auto& call : calls) {
    complete += call.get().status.ok() ? 1 : 0;
  }
  EXPECT_GT(complete, 0U);
}

// Two claims of one key that both run.
void
SendRawKeyTwice(OrderWorld& aWorld)
{
  for (int i = 0; i < 10; ++i) {
    const std::string key = fmt::format("raw-{}", i);
    auto first = std::async(std::launch::async,
                            [&] { return aWorld.SendRaw(kEntry, key); });
    auto second = std::async(std::launch::async,
                             [&] { return aWorld.SendRaw(kOther, key); });
    EXPECT_TRUE(Complete(first.get(), key));
    EXPECT_TRUE(Complete(second.get(), key));
    EXPECT_TRUE(Complete(aWorld.SendRaw(kTargetA, key), key));
    EXPECT_EQ(aWorld.Runs(key), 1U);
    EXPECT_EQ(aWorld.Lookup(kOther, "", "raw-" + key), "ran");
  }
}

// "Not run" for a key that ran before the platform failed, and a run of a key
// after its claim was reported as failed.
void
FailPlatform(OrderWorld& aWorld)
{
  const char* faults[] = { R"({"kind":"down"})",
                           R"({"kind":"none","delayMs":800})",
                           R"({"kind":"request-lost"})",
                           R"({"kind":"reply-lost"})" };
  int row = 0;
  for (const char* fault : faults) {
    SCOPED_TRACE(fault);
    const std::string ran = fmt::format("ran-{}", row);
    const std::string fresh = fmt::format("fresh-{}", row++);
    ASSERT_TRUE(Complete(aWorld.SendRaw(kEntry, ran), ran));
    ASSERT_TRUE(aWorld->SetPlatformFault(fault));
    for (size_t entry : { kEntry, kOther }) {
      CallRecord record = aWorld.SendRaw(entry, ran);
      EXPECT_EQ(record.error, "platform-unavailable");
      ExpectUnknown(record);
      ExpectUnknown(aWorld.SendRaw(entry, fresh));
    }
    EXPECT_TRUE(
      Complete(aWorld.Send(kEntry, fresh + "-ticket"), fresh + "-ticket"))
      << "an order with a ticket needs no platform";
    ASSERT_TRUE(aWorld->SetPlatformFault(R"({"kind":"none"})"));
    EXPECT_TRUE(Complete(aWorld.SendRaw(kOther, ran), ran));
    // A late claim of the failed request may hold the key as not run.
    aWorld.SendRaw(kOther, fresh);
    aWorld.SendRaw(kEntry, fresh);
  }
}

// An order that is lost or runs twice when the platform applies the claim but
// its reply is lost, or is slow.
void
LosePlatformReply(OrderWorld& aWorld)
{
  const char* faults[] = { R"({"kind":"reply-lost","operations":["transact"]})",
                           R"({"kind":"none","delayMs":100})" };
  for (const char* fault : faults) {
    SCOPED_TRACE(fault);
    ASSERT_TRUE(aWorld->SetPlatformFault(fault));
    const std::string key = std::string("key-") + (fault + 9);
    EXPECT_TRUE(Complete(aWorld.SendRaw(kEntry, key), key));
    EXPECT_TRUE(Complete(aWorld.SendRaw(kOther, key), key));
    EXPECT_EQ(aWorld.Runs(key), 1U);
  }
}

// A planned stop of a home that cuts orders, loses their responses, or leaves
// its open tickets to nobody or to two daemons.
void
StopHome(OrderWorld& aWorld)
{
  const std::string running = aWorld.Draw(kEntry);
  const std::string open = aWorld.Draw(kEntry);
  auto direct = aWorld.Async(kEntry, "running", running);
  ASSERT_TRUE(aWorld.WaitForRun("running"));
  aWorld->At(kEntry).daemon->Signal(SIGTERM);
  auto joined = aWorld.Async(kOther, "running", running);
  EXPECT_TRUE(Complete(direct.get(), "running"));
  EXPECT_TRUE(Complete(joined.get(), "running"));
  EXPECT_EQ(aWorld->At(kEntry).daemon->Wait(seconds(5)), 0);
  EXPECT_TRUE(
    Complete(aWorld.SendTicket(kOther, "running", running), "running"));
  auto first = aWorld.Async(kOther, "open", open);
  auto second = aWorld.Async(kTargetA, "open", open);
  EXPECT_TRUE(Complete(first.get(), "open"));
  EXPECT_TRUE(Complete(second.get(), "open"));
  EXPECT_EQ(aWorld.Lookup(kOther, running), "ran");
}

// Orders that are lost, or run twice, when the daemon of a target stops.
void
StopTargetDaemon(OrderWorld& aWorld)
{
  std::vector<std::future<CallRecord>> calls;
  for (int i = 0; i < 12; ++i) {
    if (i == 6) {
      ASSERT_TRUE(aWorld.WaitForRun("order-5"));
      aWorld->At(kTargetA).daemon->Signal(SIGTERM);
    }
    calls.push_back(
      aWorld.Async(kEntry, fmt::format("order-{}", i), aWorld.Draw(kEntry)));
  }
  for (int i = 0; i < 12; ++i) {
    CallRecord record = calls[i].get();
    EXPECT_TRUE(Complete(record, fmt::format("order-{}", i)))
      << record.status.error_message();
  }
  EXPECT_EQ(aWorld->At(kTargetA).daemon->Wait(seconds(5)), 0);
}

// A duplicate or late grant that starts an order again, and a grant to an old
// incarnation that is taken as proof.
void
RepeatGrant(OrderWorld& aWorld)
{
  const Vm& vm = aWorld->At(kTargetA);
  auto status = nlohmann::json::parse(aWorld->Page(kTargetA, "/status"));
  const std::string id = status["daemon"].get<std::string>();
  Caller home(vm.peer);
  CallOptions grant;
  grant.ticket = "gone/0000000000000007/0000000000000000/0";
  grant.incarnation = "0000000000000001";
  EXPECT_EQ(home.Call(kOrder, "granted", grant).error, "stale-incarnation");
  EXPECT_EQ(aWorld.Runs("granted"), 0U);
  grant.incarnation = id.substr(id.find('/') + 1);
  EXPECT_TRUE(Complete(home.Call(kOrder, "granted", grant), "granted"));
  CallRecord again = home.Call(kOrder, "granted", grant);
  EXPECT_EQ(again.error, "outcome-unknown");
  ExpectUnknown(again);
  EXPECT_EQ(aWorld.Runs("granted"), 1U);
  // A target's stub draws its tickets at the egress.
  Caller egress(vm.egress);
  EXPECT_TRUE(Complete(egress.Call(kOrder, "egress"), "egress"));
}

struct FaultCase
{
  const char* name;
  void (*run)(OrderWorld&);
  const char* serviceTimeUs;
  bool platform = false;
};

class OrderFaults : public ::testing::TestWithParam<FaultCase>
{};

TEST_P(OrderFaults, RunAtMostOnceAndNotRunIsTrue)
{
  OrderWorld world({ "--service-time-us", GetParam().serviceTimeUs },
                   GetParam().platform);
  ASSERT_TRUE(world.started);
  GetParam().run(world);
  world.Check();
}

INSTANTIATE_TEST_SUITE_P(
  Orders,
  OrderFaults,
  ::testing::Values(FaultCase{ "ResendTicket", ResendTicket, "200000" },
                    FaultCase{ "KillHome", KillHome, "600000" },
                    FaultCase{ "FreezeHome", FreezeHome, "600000" },
                    FaultCase{ "KillTarget", KillTarget, "0" },
                    FaultCase{ "KillTargetDaemon", KillTargetDaemon, "600000" },
                    FaultCase{ "RawKeyTwice", SendRawKeyTwice, "20000", true },
                    FaultCase{ "FailPlatform", FailPlatform, "0", true },
                    FaultCase{ "LoseReply", LosePlatformReply, "0", true },
                    FaultCase{ "StopHome", StopHome, "600000" },
                    FaultCase{ "StopTargetDaemon", StopTargetDaemon, "600000" },
                    FaultCase{ "RepeatGrant", RepeatGrant, "0" }),
  [](const auto& aInfo) { return std::string(aInfo.param.name); });

} // namespace
} // namespace wagtailbend::testing
