// Measures the memory and time of orders, and the transactions per raw-key
// claim. Prints one JSON line per figure. The only argument is the seed.

#include <malloc.h>

#include <cstdlib>
#include <deque>
#include <limits>
#include <map>
#include <string>

#include <fmt/format.h>

#include "wagtailbend/orders/executor_table.h"
#include "wagtailbend/orders/home_table.h"
#include "wagtailbend/orders/idempotency_key_claimer.h"

namespace wagtailbend::orders {
namespace {

constexpr TimePoint kNow{};
const DaemonId kHome{ "ranong-17", 1 };
const DaemonId kTarget{ "ranong-18", 1 };

struct Figure
{
  const char* name;
  double value;
  const char* unit;
  std::optional<double> bound;
  std::optional<double> baseline;
};

// A figure with a bound holds if it is not above the bound.
void
Print(const Figure& aFigure, uint64_t aSeed)
{
  const auto text = [](const std::optional<double>& aValue) {
    return aValue ? fmt::format("{:.4g}", *aValue) : std::string("null");
  };
  const char* holds = "null";
  if (aFigure.bound) {
    holds = aFigure.value <= *aFigure.bound ? "true" : "false";
  }
  fmt::print("{{\"name\":\"{}\",\"value\":{:.4g},\"unit\":\"{}\",\"bound\":{},"
             "\"holds\":{},\"seed\":{},\"baseline\":{}}}\n",
             aFigure.name,
             aFigure.value,
             aFigure.unit,
             text(aFigure.bound),
             holds,
             aSeed,
             text(aFigure.baseline));
}

double
AllocatedBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

void
RunOrder(HomeTable& aHome,
         ExecutorTable& aExecutor,
         const Ticket& aTicket,
         size_t aResponseBytes)
{
  if (aHome.Begin(aTicket, aTicket.index, kNow).kind != BeginKind::kRun ||
      !IsOk(aHome.GrantTo(aTicket, kTarget)) ||
      aExecutor.OnGrant(aTicket, kTarget, kNow) != GrantDecision::kAccepted ||
      !aExecutor.Start(aTicket)) {
    std::abort();
  }
  aHome.OnOutcome({ aTicket, kTarget },
                  RanOutcome{ { 0, std::string(aResponseBytes, 'x') } },
                  kNow);
}

void
MeasureBlocks(uint64_t aSeed)
{
  constexpr uint64_t kBlocks = 100000;
  const double before = AllocatedBytes();
  HomeTable home(kHome);
  for (uint64_t i = 0; i < kBlocks; ++i) {
    if (!IsOk(home.IssueBlock(kNow))) {
      std::abort();
    }
  }
  const double bytes = (AllocatedBytes() - before) / kBlocks;
  Print({ "orders.bytes_per_block", bytes, "B", {}, {} }, aSeed);

  const double executorBefore = AllocatedBytes();
  ExecutorTable executor(kTarget);
  for (uint64_t i = 0; i < kBlocks; ++i) {
    executor.OnGrant({ kHome, i, 0 }, kTarget, kNow);
  }
  const double record = (AllocatedBytes() - executorBefore) / kBlocks;
  Print({ "orders.bytes_per_executor_block", record, "B", {}, {} }, aSeed);
}

// The response has 256 bytes, which are part of the figure.
void
MeasureOrders(uint64_t aSeed)
{
  constexpr uint64_t kBlocks = 2000;
  constexpr double kOrders = kBlocks * kTicketsPerBlock;
  HomeTable home(kHome);
  ExecutorTable executor(kTarget);
  for (uint64_t i = 0; i < kBlocks; ++i) {
    if (!IsOk(home.IssueBlock(kNow))) {
      std::abort();
    }
  }
  for (uint64_t block = 0; block < kBlocks; ++block) {
    executor.OnGrant({ { "other", 1 }, block, 0 }, kTarget, kNow);
  }
  const double before = AllocatedBytes();
  const TimePoint start = MonotonicNow();
  for (uint64_t block = 0; block < kBlocks; ++block) {
    for (uint32_t index = 0; index < kTicketsPerBlock; ++index) {
      RunOrder(home, executor, { kHome, block, index }, 256);
    }
  }
  const double nanoseconds =
    static_cast<double>((MonotonicNow() - start).count());
  const double bytes = (AllocatedBytes() - before) / kOrders;
  Print({ "orders.time_per_order", nanoseconds / kOrders, "ns", {}, {} },
        aSeed);
  Print({ "orders.bytes_per_stored_response", bytes, "B", {}, {} }, aSeed);
}

// A table service with a fixed round trip that counts its transactions.
struct FakeStore
{
  std::map<std::string, ClaimValue> rows;
  uint64_t transactions = 0;

  ClaimResult Apply(const InsertClaims& aInsert)
  {
    ++transactions;
    ClaimsConflict conflict;
    for (const ClaimRow& row : aInsert.rows) {
      const auto found = rows.find(row.key);
      if (found != rows.end()) {
        conflict.rows.push_back({ row.key, found->second });
      }
    }
    if (!conflict.rows.empty()) {
      return conflict;
    }
    for (const ClaimRow& row : aInsert.rows) {
      rows.emplace(row.key, row.value);
    }
    return ClaimsCommitted{};
  }
};

// Transactions per claim in 10 s of virtual time, with arrivals each
// millisecond and a round trip of 10 ms. One key in a hundred is a resend.
double
TransactionsPerClaim(const ClaimLimits& aLimits,
                     uint64_t aClaimsPerSecond,
                     uint64_t aSeed)
{
  constexpr uint64_t kMilliseconds = 10000;
  constexpr auto kRoundTrip = std::chrono::milliseconds(10);
  Rng rng(aSeed);
  FakeStore store;
  IdempotencyKeyClaimer claimer(aLimits);
  std::deque<std::pair<TimePoint, InsertClaims>> inFlight;
  uint64_t claims = 0;
  for (uint64_t ms = 0; ms < kMilliseconds || claimer.PendingCount() > 0;
       ++ms) {
    const TimePoint now = kNow + std::chrono::milliseconds(ms);
    while (ms < kMilliseconds && claims < (ms + 1) * aClaimsPerSecond / 1000) {
      const bool resend = claims > 0 && UniformBelow(rng, 100) == 0;
      const uint64_t key = resend ? UniformBelow(rng, claims) : claims;
      (void)claimer.Add(
        fmt::format("key-{}", key), { kHome, key, 0 }, TimePoint::max(), rng);
      ++claims;
    }
    while (!inFlight.empty() && inFlight.front().first <= now) {
      const InsertClaims insert = std::move(inFlight.front().second);
      inFlight.pop_front();
      claimer.OnResult(insert.id, store.Apply(insert), now);
    }
    while (const auto request = claimer.NextRequest()) {
      inFlight.emplace_back(now + kRoundTrip, std::get<InsertClaims>(*request));
    }
  }
  return static_cast<double>(store.transactions) / static_cast<double>(claims);
}

void
MeasureClaims(uint64_t aSeed)
{
  constexpr size_t kUnlimited = std::numeric_limits<size_t>::max();
  const ClaimLimits unbatched{ 1, kUnlimited, kUnlimited };
  const std::vector<std::pair<const char*, uint64_t>> rates = {
    { "orders.transactions_per_claim_at_10_per_s", 10 },
    { "orders.transactions_per_claim_at_100_per_s", 100 },
    { "orders.transactions_per_claim_at_1000_per_s", 1000 },
    { "orders.transactions_per_claim_at_5000_per_s", 5000 }
  };
  for (const auto& [name, rate] : rates) {
    const double batched = TransactionsPerClaim({}, rate, aSeed);
    const double baseline = TransactionsPerClaim(unbatched, rate, aSeed);
    Print({ name, batched, "transactions", {}, baseline }, aSeed);
  }
}

} // namespace
} // namespace wagtailbend::orders

int
main(int aCount, char** aArguments)
{
  const uint64_t seed =
    aCount > 1 ? std::strtoull(aArguments[1], nullptr, 10) : 1;
  wagtailbend::orders::MeasureBlocks(seed);
  wagtailbend::orders::MeasureOrders(seed);
  wagtailbend::orders::MeasureClaims(seed);
  return 0;
}
