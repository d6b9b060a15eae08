// The request path through real processes while processes and connections
// fail.

#include <atomic>
#include <csignal>
#include <fstream>
#include <future>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "testing/caller.h"
#include "testing/deployment.h"

namespace wagtailbend::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kOrder[] = "/association.Payouts/Order";
constexpr char kDownload[] = "/association.Ledgers/Download";
constexpr char kLookup[] = "/association.Settlements/Lookup";

size_t
CountLines(const std::string& aFile, const std::string& aText)
{
  std::ifstream file(aFile);
  size_t count = 0;
  for (std::string line; std::getline(file, line);) {
    count += line.find(aText) != std::string::npos ? 1 : 0;
  }
  return count;
}

/// Lookups from several threads until Stop, each response verified.
class LookupLoad
{
public:
  LookupLoad(const std::vector<std::string>& aAddresses, std::string aMethod)
    : m_method(std::move(aMethod))
  {
    for (const std::string& address : aAddresses) {
      m_threads.emplace_back([this, address] { Run(address); });
    }
  }
  ~LookupLoad() { Stop(); }

  void Stop()
  {
    m_stop = true;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
  }

  std::atomic<uint64_t> complete{ 0 };
  std::atomic<uint64_t> failed{ 0 };
  /// Reported as successful but not the response to the request.
  std::atomic<uint64_t> wrong{ 0 };

private:
  void Run(const std::string& aAddress)
  {
    Caller caller(aAddress);
    while (!m_stop) {
      std::string key = fmt::format("key-{}", m_next.fetch_add(1));
      CallRecord record = caller.Call(m_method, key);
      if (IsComplete(record, m_method, key)) {
        ++complete;
      } else if (record.status.ok()) {
        ++wrong;
      } else {
        ++failed;
        ADD_FAILURE() << aAddress << ": " << record.status.error_message();
      }
    }
  }

  std::string m_method;
  std::atomic<bool> m_stop{ false };
  std::atomic<uint64_t> m_next{ 0 };
  std::vector<std::thread> m_threads;
};

// Guards against wrong or short responses, and against lookups that fail
// although another target could answer, when a target dies with work in it.
TEST(PathFaults, KilledTargetCostsNoLookup)
{
  Deployment deployment(
    "association",
    { { "association.Settlements", { "--service-time-us", "2000" } },
      { "association.Settlements", { "--service-time-us", "2000" } },
      { "association.Payouts", {} } });
  ASSERT_TRUE(deployment.Start());
  const std::string entry = deployment.At(2).customer;
  LookupLoad load({ deployment.At(0).customer,
                    deployment.At(1).customer,
                    entry,
                    entry,
                    entry },
                  kLookup);
  std::this_thread::sleep_for(milliseconds(300));
  deployment.At(0).targetProcess->Signal(SIGKILL);
  std::this_thread::sleep_for(milliseconds(1000));
  uint64_t before = load.complete;
  std::this_thread::sleep_for(milliseconds(300));
  load.Stop();
  EXPECT_EQ(load.wrong, 0U);
  EXPECT_EQ(load.failed, 0U);
  EXPECT_GT(load.complete, before);
  EXPECT_TRUE(deployment.WaitForTargets(2, seconds(3)));
}

// Guards against lookups that are lost with a whole VM.
TEST(PathFaults, KilledVmCostsNoLookup)
{
  Deployment deployment("association",
                        { { "association.Settlements", {} },
                          { "association.Settlements", {} },
                          { "association.Payouts", {} } });
  ASSERT_TRUE(deployment.Start());
  const std::string entry = deployment.At(2).customer;
  LookupLoad load({ entry, entry, entry }, kLookup);
  std::this_thread::sleep_for(milliseconds(200));
  deployment.At(0).daemon->Signal(SIGKILL);
  deployment.At(0).targetProcess->Signal(SIGKILL);
  std::this_thread::sleep_for(milliseconds(1000));
  load.Stop();
  EXPECT_EQ(load.wrong, 0U);
  EXPECT_EQ(load.failed, 0U);
}

// Guards against a planned stop that cuts a ledger download. The stream enters
// at daemon 0 or 1; the target is at 0, which leaves.
TEST(PathFaults, DrainDoesNotCutStream)
{
  for (size_t entry = 0; entry < 2; ++entry) {
    SCOPED_TRACE(entry);
    Deployment deployment(
      "association",
      { { "association.Ledgers", { "--service-time-us", "10000" } },
        { "association.Balances", {} } });
    ASSERT_TRUE(deployment.Start());
    std::promise<void> started;
    auto stream = std::async(std::launch::async, [&] {
      Caller caller(deployment.At(entry).customer);
      CallOptions options;
      options.onMessage = [&started](size_t aMessages) {
        if (aMessages == 2) {
          started.set_value();
        }
      };
      return caller.Call(kDownload, "MV Phuket", options);
    });
    ASSERT_EQ(started.get_future().wait_for(seconds(5)),
              std::future_status::ready);
    deployment.At(0).daemon->Signal(SIGTERM);
    std::this_thread::sleep_for(milliseconds(100));
    Caller late(deployment.At(0).customer);
    CallRecord refused = late.Call(kDownload, "MV Late");
    EXPECT_EQ(refused.error, "draining");
    EXPECT_EQ(refused.run, "not-run");
    CallRecord record = stream.get();
    EXPECT_TRUE(IsComplete(record, kDownload, "MV Phuket", 64, 65536))
      << record.messages.size() << " pages, " << record.status.error_message();
    EXPECT_EQ(deployment.At(0).daemon->Wait(seconds(5)), 0);
  }
}

struct FaultRow
{
  const char* fault;
  const char* method;
  const char* expectedError;
};

// Guards against customers who receive the response to another request, or a
// part of a response as if it were the whole.
TEST(PathFaults, FaultyResponsesAreErrors)
{
  Deployment deployment("association",
                        { { "association.Ledgers", {} },
                          { "association.Settlements", {} },
                          { "association.Balances", {} } });
  ASSERT_TRUE(deployment.Start());
  const FaultRow rows[] = {
    { R"({"cut": true})", kDownload, "answer-incomplete" },
    { R"({"duplicate": true})", kDownload, "answer-incomplete" },
    { R"({"swap": true})", kDownload, "answer-mismatch" },
    { R"({"swap": true})", kLookup, "answer-mismatch" },
    { R"({"cut": true})", kLookup, "answer-incomplete" },
  };
  for (const FaultRow& row : rows) {
    size_t target = row.method == kDownload ? 0 : 1;
    ASSERT_TRUE(deployment.SetFault(target, row.fault));
    for (size_t entry : { target, size_t{ 2 } }) {
      SCOPED_TRACE(fmt::format("{} {} entry {}", row.fault, row.method, entry));
      Caller caller(deployment.At(entry).customer);
      CallRecord record = caller.Call(row.method, "a");
      EXPECT_FALSE(record.status.ok());
      EXPECT_EQ(record.error, row.expectedError)
        << record.status.error_message();
      if (row.method == kLookup) {
        EXPECT_TRUE(record.messages.empty());
      }
    }
    ASSERT_TRUE(deployment.SetFault(
      target, R"({"cut": false, "swap": false, "duplicate": false})"));
  }
}

// Guards against work that waits on a connection that went silent for good:
// the lookup in flight and the following ones use a new connection.
TEST(PathFaults, SilentConnectionIsReplaced)
{
  Deployment deployment("association",
                        { { "association.Settlements", { "--relay" } },
                          { "association.Balances", {} } });
  ASSERT_TRUE(deployment.Start());
  for (size_t entry = 0; entry < 2; ++entry) {
    SCOPED_TRACE(entry);
    Caller caller(deployment.At(entry).customer);
    ASSERT_TRUE(IsComplete(caller.Call(kLookup, "t1"), kLookup, "t1"));
    ASSERT_TRUE(deployment.SetFault(0, R"({"mute_connections": true})"));
    CallRecord record = caller.Call(kLookup, "t2");
    EXPECT_TRUE(IsComplete(record, kLookup, "t2"))
      << record.status.error_message();
    CallRecord after = caller.Call(kLookup, "t3");
    EXPECT_TRUE(IsComplete(after, kLookup, "t3"));
  }
}

// Guards against orders that run twice because an attempt was repeated after
// the target had received it, and against "not run" for an order that ran.
TEST(PathFaults, OrderIsNotRepeatedAfterHandOver)
{
  const std::string orders =
    ::testing::TempDir() + fmt::format("orders-{}", getpid());
  Deployment deployment("association",
                        { { "association.Payouts", { "--orders", orders } },
                          { "association.Payouts", { "--orders", orders } },
                          { "association.Ledgers", {} },
                          { "association.Settlements", {} } });
  ASSERT_TRUE(deployment.Start());
  for (size_t target : { 0, 1 }) {
    ASSERT_TRUE(deployment.SetFault(target, R"({"crash_key": "boom"})"));
  }
  // The order reaches the own target at daemon 0, and then the remaining
  // target through its daemon.
  size_t expectedRuns = 0;
  for (size_t entry : { 0, 2 }) {
    SCOPED_TRACE(entry);
    Caller caller(deployment.At(entry).customer);
    CallRecord record = caller.Call(kOrder, "boom");
    EXPECT_EQ(record.error, "outcome-unknown") << record.status.error_message();
    EXPECT_EQ(record.run, "may-have-run");
    EXPECT_EQ(CountLines(orders, "\"boom\""), ++expectedRuns);
    EXPECT_TRUE(deployment.WaitForTargets(4 - expectedRuns, seconds(5)));
  }
}

// Guards against orders that are lost or run twice when a daemon refuses them
// before they were handed over.
TEST(PathFaults, OrderRefusedBeforeHandOverRunsElsewhereOnce)
{
  const std::string orders =
    ::testing::TempDir() + fmt::format("refused-{}", getpid());
  // A target without slots sheds each request as not run.
  Deployment deployment(
    "association",
    { { "association.Payouts", { "--orders", orders, "--slots", "0" } },
      { "association.Payouts", { "--orders", orders } },
      { "association.Ledgers", {} },
      { "association.Settlements", {} } });
  ASSERT_TRUE(deployment.Start());
  for (size_t entry : { 0, 2, 2, 2, 2 }) {
    Caller caller(deployment.At(entry).customer);
    CallRecord record = caller.Call(kOrder, "niran");
    EXPECT_TRUE(IsComplete(record, kOrder, "niran"))
      << record.status.error_message();
  }
  EXPECT_EQ(CountLines(orders, "\"niran\""), 5U);
}

// Guards against calls to a target whose heartbeats stopped.
TEST(PathFaults, FrozenTargetIsRemoved)
{
  Deployment deployment("association", { { "association.Settlements", {} } });
  ASSERT_TRUE(deployment.Start());
  deployment.At(0).targetProcess->Signal(SIGSTOP);
  EXPECT_TRUE(deployment.WaitForTargets(0, seconds(3)));
  Caller caller(deployment.At(0).customer);
  CallRecord record = caller.Call(kLookup, "t");
  EXPECT_EQ(record.error, "no-target");
  EXPECT_EQ(record.run, "not-run");
  deployment.At(0).targetProcess->Signal(SIGCONT);
  EXPECT_TRUE(deployment.WaitForTargets(1, seconds(3)));
}

} // namespace
} // namespace wagtailbend::testing
