// Orders through real processes while processes, connections and the platform
// fail. Each case checks the targets' log of runs.

#include <csignal>
#include <future>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "testing/fake_replies.h"
#include "testing/order_world.h"
#include "wagtailbend/client/customer_client.h"

namespace wagtailbend::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

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
  // Enough that some are held by the daemon that is killed.
  constexpr int kOrders = 12;
  std::vector<std::future<CallRecord>> calls;
  calls.reserve(size_t{ 2 } * kOrders);
  for (int i = 0; i < kOrders; ++i) {
    calls.push_back(
      aWorld.Async(kEntry, fmt::format("held-{}", i), aWorld.Draw(kEntry)));
  }
  ASSERT_TRUE(aWorld.WaitForRun(fmt::format("held-{}", kOrders - 1)));
  aWorld->At(kTargetA).daemon->Signal(SIGKILL);
  for (int i = 0; i < kOrders; ++i) {
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
  calls.reserve(12);
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

// A planned stop that costs customers orders although other daemons serve: the
// client library draws tickets elsewhere.
void
StopHomeUnderClient(OrderWorld& aWorld)
{
  client::CustomerClient customer(
    { aWorld->At(kEntry).customer, aWorld->At(kOther).customer }, 7);
  constexpr int kOrders = 60;
  std::vector<std::promise<client::CallResult>> results(kOrders);
  for (int i = 0; i < kOrders; ++i) {
    if (i == kOrders / 3) {
      aWorld->At(kEntry).daemon->Signal(SIGTERM);
    }
    client::CallRequest request;
    request.method = kOrder;
    request.payload =
      RequestFor(*FindMethod(kOrder), fmt::format("client-{}", i));
    request.timeout = seconds(3);
    request.order = true;
    customer.Call(std::move(request),
                  [&results, i](client::CallResult aResult) {
                    results[i].set_value(std::move(aResult));
                  });
    std::this_thread::sleep_for(milliseconds(10));
  }
  for (int i = 0; i < kOrders; ++i) {
    const client::CallResult result = results[i].get_future().get();
    EXPECT_FALSE(result.error)
      << i << ": " << result.error.value_or(Error{}).detail;
    EXPECT_EQ(aWorld.Runs(fmt::format("client-{}", i)), 1U);
  }
  EXPECT_EQ(aWorld->At(kEntry).daemon->Wait(seconds(5)), 0);
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
  ::testing::Values(
    FaultCase{ "ResendTicket", ResendTicket, "200000" },
    FaultCase{ "KillHome", KillHome, "600000" },
    FaultCase{ "FreezeHome", FreezeHome, "600000" },
    FaultCase{ "KillTarget", KillTarget, "0" },
    FaultCase{ "KillTargetDaemon", KillTargetDaemon, "600000" },
    FaultCase{ "RawKeyTwice", SendRawKeyTwice, "20000", true },
    FaultCase{ "FailPlatform", FailPlatform, "0", true },
    FaultCase{ "LoseReply", LosePlatformReply, "0", true },
    FaultCase{ "StopHome", StopHome, "600000" },
    FaultCase{ "StopTargetDaemon", StopTargetDaemon, "600000" },
    FaultCase{ "StopHomeUnderClient", StopHomeUnderClient, "30000" },
    FaultCase{ "RepeatGrant", RepeatGrant, "0" }),
  [](const auto& aInfo) { return std::string(aInfo.param.name); });

} // namespace
} // namespace wagtailbend::testing
