// Admission, thresholds and attempt budgets through real processes.

#include <atomic>
#include <csignal>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "testing/caller.h"
#include "testing/deployment.h"

namespace wagtailbend::testing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kCheck[] = "/association.Balances/Check";
constexpr char kOrder[] = "/association.Payouts/Order";
constexpr char kLookup[] = "/association.Settlements/Lookup";

/// Threads that each call once per interval, as far as the responses allow.
class PacedLoad
{
public:
  PacedLoad(const std::string& aAddress,
            std::string aMethod,
            int aThreads,
            milliseconds aInterval)
    : m_caller(aAddress)
    , m_method(std::move(aMethod))
    , m_interval(aInterval)
  {
    for (int i = 0; i < aThreads; ++i) {
      m_threads.emplace_back([this, i, aThreads] {
        std::this_thread::sleep_for(m_interval * i / aThreads);
        Run();
      });
    }
  }

  void Stop()
  {
    m_stop = true;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
    m_threads.clear();
  }

  std::atomic<uint64_t> sent{ 0 };
  std::atomic<uint64_t> complete{ 0 };
  std::atomic<uint64_t> overloaded{ 0 };
  std::atomic<uint64_t> retryAfterMissing{ 0 };
  std::atomic<uint64_t> other{ 0 };

private:
  void Run()
  {
    auto next = std::chrono::steady_clock::now();
    while (!m_stop) {
      const std::string key = fmt::format("key-{}", sent.fetch_add(1));
      Count(m_caller.Call(m_method, key), key);
      next += m_interval;
      std::this_thread::sleep_until(next);
    }
  }

  void Count(const CallRecord& aRecord, const std::string& aKey)
  {
    const bool rejected =
      aRecord.error == "overloaded" || aRecord.error == "deadline-too-short";
    if (IsComplete(aRecord, m_method, aKey)) {
      ++complete;
    } else if (rejected && aRecord.run == "not-run") {
      ++overloaded;
      retryAfterMissing += aRecord.retryAfter.empty() ? 1 : 0;
    } else if (++other < 5) {
      std::printf("%s: %s (%s)\n",
                  m_method.c_str(),
                  aRecord.status.error_message().c_str(),
                  aRecord.run.c_str());
    }
  }

  Caller m_caller;
  std::string m_method;
  milliseconds m_interval;
  std::atomic<bool> m_stop{ false };
  std::vector<std::thread> m_threads;
};

// Runs 3x overload of Settlements through the daemon aEntry.
void
RunOverload(size_t aEntry)
{
  Deployment deployment("association",
                        { { "association.Settlements",
                            { "--slots", "20", "--service-time-us", "50000" } },
                          { "association.Payouts", {} },
                          { "association.Ledgers", {} } });
  ASSERT_TRUE(deployment.Start());
  const std::string entry = deployment.At(aEntry).customer;
  constexpr double kCapacity = 20 / 0.05;
  const auto start = std::chrono::steady_clock::now();
  PacedLoad lookups(entry, kLookup, 120, milliseconds(100));
  PacedLoad orders(entry, kOrder, 6, milliseconds(200));
  std::this_thread::sleep_for(seconds(4));
  lookups.Stop();
  orders.Stop();
  const std::chrono::duration<double> length =
    std::chrono::steady_clock::now() - start;
  const uint64_t calls = deployment.Calls(0);
  const double crossed =
    deployment.Metric(0, "wb_requests_total{origin=\"peer\"}");
  std::printf("%.1f s: orders %lu of %lu; lookups sent %lu complete %lu "
              "overloaded %lu other %lu; at target %lu, at its daemon %.0f\n",
              length.count(),
              orders.complete.load(),
              orders.sent.load(),
              lookups.sent.load(),
              lookups.complete.load(),
              lookups.overloaded.load(),
              lookups.other.load(),
              calls,
              crossed);
  EXPECT_GT(orders.sent, 60U);
  EXPECT_EQ(orders.complete, orders.sent);
  EXPECT_EQ(lookups.other, 0U);
  EXPECT_GT(lookups.overloaded, lookups.sent / 4);
  EXPECT_EQ(lookups.retryAfterMissing, 0U);
  // Without early rejection every lookup would cross to the target's daemon.
  EXPECT_LT(crossed, 0.8 * static_cast<double>(lookups.sent));
  EXPECT_LE(static_cast<double>(calls), 1.05 * kCapacity * length.count());
  EXPECT_GT(static_cast<double>(calls), 0.7 * kCapacity * length.count());
}

// Guards R2 and the goodput under overload: orders are rejected last, lookups
// at the entry, and the target runs no more than it can.
TEST(Traffic, OverloadRejectsLookupsAtTheEntryAndAnswersOrders)
{
  RunOverload(1);
}

// Guards against customers of the target's own daemon who bypass its gate.
TEST(Traffic, OverloadOfTheOwnTargetPassesTheSameGate)
{
  RunOverload(0);
}

// Guards R1 against retries that multiply over the hops of a chain.
TEST(Traffic, FailingDeepestHopStaysWithinTheBudget)
{
  Deployment deployment("association",
                        { { "association.Settlements", {} },
                          { "association.Settlements", {} },
                          { "association.Payouts", {} },
                          { "association.Ledgers", {} },
                          { "association.Balances", {} } });
  ASSERT_TRUE(deployment.Start());
  ASSERT_TRUE(deployment.SetFault(0, R"({"cut":true})"));
  ASSERT_TRUE(deployment.SetFault(1, R"({"cut":true})"));
  const auto calls = [&] {
    uint64_t sum = 0;
    for (size_t i = 0; i < 5; ++i) {
      sum += deployment.Calls(i);
    }
    return sum;
  };
  struct Row
  {
    const char* method;
    uint64_t minimum;
    uint64_t budget;
  };
  // A payout fails at its first call, before that of Settlements/Lookup.
  for (const Row& row : { Row{ kOrder, 3, 12 }, Row{ kCheck, 2, 8 } }) {
    SCOPED_TRACE(row.method);
    for (size_t entry = 0; entry < 2; ++entry) {
      const uint64_t before = calls();
      Caller caller(deployment.At(entry).customer);
      EXPECT_FALSE(caller.Call(row.method, "somchai").status.ok());
      const uint64_t used = calls() - before;
      std::printf(
        "%s: %lu attempts, budget %lu\n", row.method, used, row.budget);
      EXPECT_LE(used, row.budget);
      EXPECT_GT(used, row.minimum) << "no retry";
    }
  }
}

// Guards customers against waiting for a straggler, and targets against more
// than one extra attempt for each lookup and 5% of all.
TEST(Traffic, HedgeSendsOneMoreAttemptAndOneResponse)
{
  Deployment deployment(
    "association",
    { { "association.Settlements", { "--service-time-us", "2000" } },
      { "association.Settlements", { "--service-time-us", "2000" } },
      { "association.Payouts", {} } });
  ASSERT_TRUE(deployment.Start());
  Caller caller(deployment.At(2).customer);
  // The policy needs 100 latencies; of the 20 calls after them few are hedged.
  for (int i = 0; i < 120; ++i) {
    EXPECT_TRUE(IsComplete(caller.Call(kLookup, "warm"), kLookup, "warm"));
  }
  const uint64_t before = deployment.Calls(0) + deployment.Calls(1);
  const double hedgesBefore = deployment.Metric(2, "wb_hedges_total");
  constexpr uint64_t kCalls = 12;
  uint64_t fast = 0;
  for (uint64_t i = 0; i < kCalls; ++i) {
    // Changes sides, because the balancer may stay with one target: with one
    // slow target it chose only the other in 1 of 3 runs.
    const size_t slow = (i / 3) % 2;
    ASSERT_TRUE(deployment.SetFault(slow, R"({"slow":200})"));
    ASSERT_TRUE(deployment.SetFault(1 - slow, R"({"slow":1})"));
    const auto start = std::chrono::steady_clock::now();
    EXPECT_TRUE(IsComplete(caller.Call(kLookup, "trip"), kLookup, "trip"));
    fast += std::chrono::steady_clock::now() - start < milliseconds(200);
  }
  const auto hedges = static_cast<uint64_t>(
    deployment.Metric(2, "wb_hedges_total") - hedgesBefore);
  const uint64_t calls = deployment.Calls(0) + deployment.Calls(1) - before;
  std::printf(
    "hedges %lu, calls %lu, fast %lu of %lu\n", hedges, calls, fast, kCalls);
  EXPECT_GE(hedges, 1U);
  // 5% of 132 calls.
  EXPECT_LE(hedges, 6U);
  // A hedge that is cancelled at once may not reach its target.
  EXPECT_LE(calls, kCalls + hedges);
  EXPECT_GT(calls, kCalls);
  // Each hedged lookup is answered by the fast target.
  EXPECT_GE(fast, hedges);
  // The daemon stops while cancelled attempts may still end.
  caller.Call(kLookup, "last");
  deployment.At(2).daemon->Signal(SIGTERM);
  EXPECT_EQ(deployment.At(2).daemon->Wait(seconds(5)), 0);
}

} // namespace
} // namespace wagtailbend::testing
