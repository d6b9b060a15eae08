// Measures admission under overload in virtual time, beside the baseline.
// Prints one JSON line per figure. With --check the exit status is 1 if a bound
// does not hold; with --seed N the run is repeated with other arrivals.

#include <algorithm>
#include <cstdlib>
#include <cstring>

#include <fmt/format.h>

#include "overload_model.h"

namespace wagtailbend::benchmarks {
namespace {

using schema::Kind;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kSlots = 100;
constexpr Duration kService = milliseconds(20);
constexpr double kCapacity = kSlots * 1000.0 / 20;
constexpr Duration kWarmUp = seconds(2);

using Rate = std::function<double(Duration)>;

enum class Bound : uint8_t
{
  kAtLeast,
  kAtMost,
};

class Report
{
public:
  Report(uint64_t aSeed)
    : m_seed(aSeed)
  {
  }

  void Add(const char* aName,
           double aValue,
           const char* aUnit,
           Bound aDirection,
           double aBound,
           double aBaseline)
  {
    const bool holds =
      aDirection == Bound::kAtLeast ? aValue >= aBound : aValue <= aBound;
    m_allHold = m_allHold && holds;
    fmt::print("{{\"name\":\"{}\",\"value\":{:.4f},\"unit\":\"{}\","
               "\"bound\":\"{} {}\",\"holds\":{},\"seed\":{},"
               "\"baseline\":{:.4f}}}\n",
               aName,
               aValue,
               aUnit,
               aDirection == Bound::kAtLeast ? ">=" : "<=",
               aBound,
               holds,
               m_seed,
               aBaseline);
  }

  bool AllHold() const { return m_allHold; }

private:
  uint64_t m_seed;
  bool m_allHold = true;
};

/// A mix with 10% payouts, of aTotal requests per second.
std::vector<Load>
Mix(const Rate& aTotal)
{
  const auto part = [&](double aShare) -> Rate {
    return [=](Duration aAt) { return aShare * aTotal(aAt); };
  };
  const Kind lookup = Kind::kLookup;
  return {
    { "/b/Order", Kind::kOrder, 9, seconds(3), kService, part(0.1) },
    { "/b/High", lookup, 5, seconds(1), kService, part(0.3) },
    { "/b/Middle", lookup, 4, seconds(1), kService, part(0.3) },
    { "/b/Low", lookup, 2, seconds(1), kService, part(0.3) },
  };
}

Rate
Constant(double aRate)
{
  return [aRate](Duration) { return aRate; };
}

/// Answers that arrived in [aFrom, aTo), relative to capacity.
double
ShareOfCapacity(const RunResult& aRun, Duration aFrom, Duration aTo)
{
  const auto answers = std::count_if(
    aRun.outcomes.begin(), aRun.outcomes.end(), [&](const Outcome& aOutcome) {
      return aOutcome.answered && aOutcome.end >= aFrom && aOutcome.end < aTo;
    });
  return static_cast<double>(answers) /
         (kCapacity * std::chrono::duration<double>(aTo - aFrom).count());
}

/// Share of the requests of aLoad (of all loads if negative) that arrived in
/// [aFrom, aTo) and were answered.
double
AnsweredShare(const RunResult& aRun, int aLoad, Duration aFrom, Duration aTo)
{
  uint64_t arrived = 0;
  uint64_t answered = 0;
  for (const Outcome& outcome : aRun.outcomes) {
    if (outcome.arrival < aFrom || outcome.arrival >= aTo ||
        (aLoad >= 0 && outcome.load != static_cast<size_t>(aLoad))) {
      continue;
    }
    arrived++;
    answered += outcome.answered ? 1 : 0;
  }
  return arrived == 0 ? 0 : static_cast<double>(answered) / arrived;
}

RunResult
RunAs(Scenario aScenario, bool aBaseline)
{
  aScenario.baseline = aBaseline;
  return Run(aScenario);
}

void
MeasureOverload(Report& aReport, uint64_t aSeed, bool aChain)
{
  Scenario scenario;
  scenario.slots = kSlots;
  scenario.loads = Mix(Constant(3 * kCapacity));
  scenario.length = seconds(15);
  scenario.chain = aChain;
  scenario.seed = aSeed;
  const RunResult ours = RunAs(scenario, false);
  const RunResult baseline = RunAs(scenario, true);
  const Duration to = seconds(12);
  aReport.Add(aChain ? "chain_goodput_3x" : "goodput_3x",
              ShareOfCapacity(ours, kWarmUp, to),
              "share of capacity",
              Bound::kAtLeast,
              0.90,
              ShareOfCapacity(baseline, kWarmUp, to));
  aReport.Add(aChain ? "chain_payouts_answered_3x" : "payouts_answered_3x",
              AnsweredShare(ours, 0, kWarmUp, to),
              "share of payouts",
              Bound::kAtLeast,
              0.99,
              AnsweredShare(baseline, 0, kWarmUp, to));
  if (aChain) {
    aReport.Add("chain_max_attempts_3x",
                ours.maxAttempts,
                "attempts of one request",
                Bound::kAtMost,
                4,
                baseline.maxAttempts);
  }
}

/// Time from aTriggerEnd to the end of the first 500 ms in which 95% of the
/// arriving requests are answered; the rest of the run if there is none.
double
RecoverySeconds(const RunResult& aRun, Duration aTriggerEnd, Duration aLength)
{
  const Duration window = milliseconds(500);
  for (Duration from = aTriggerEnd; from + window <= aLength;
       from += milliseconds(50)) {
    if (AnsweredShare(aRun, -1, from, from + window) >= 0.95) {
      return std::chrono::duration<double>(from + window - aTriggerEnd).count();
    }
  }
  return std::chrono::duration<double>(aLength - aTriggerEnd).count();
}

void
MeasureRecovery(Report& aReport, uint64_t aSeed, bool aChain)
{
  const Duration start = seconds(5);
  const Duration end = seconds(10);
  Scenario scenario;
  scenario.slots = kSlots;
  scenario.loads = Mix(Constant(0.8 * kCapacity));
  scenario.slowdown = [=](Duration aAt) {
    return aAt >= start && aAt < end ? 5.0 : 1.0;
  };
  scenario.length = seconds(30);
  scenario.chain = aChain;
  scenario.seed = aSeed;
  const RunResult ours = RunAs(scenario, false);
  const RunResult baseline = RunAs(scenario, true);
  aReport.Add(aChain ? "chain_recovery_after_slowdown"
                     : "recovery_after_slowdown",
              RecoverySeconds(ours, end, scenario.length),
              "s",
              Bound::kAtMost,
              2.0,
              RecoverySeconds(baseline, end, scenario.length));
  // Payouts need 40% of what the slow target can do.
  aReport.Add(aChain ? "chain_payouts_answered_in_slowdown"
                     : "payouts_answered_in_slowdown",
              AnsweredShare(ours, 0, start, end),
              "share of payouts",
              Bound::kAtLeast,
              0.99,
              AnsweredShare(baseline, 0, start, end));
}

void
MeasureSwing(Report& aReport, uint64_t aSeed)
{
  const Duration swing = seconds(5);
  Scenario scenario;
  scenario.slots = kSlots;
  scenario.loads =
    Mix([=](Duration aAt) { return (aAt < swing ? 0.3 : 3.0) * kCapacity; });
  scenario.length = seconds(8);
  scenario.seed = aSeed;
  const Duration to = swing + seconds(2);
  aReport.Add("served_in_2s_of_10x_swing",
              ShareOfCapacity(RunAs(scenario, false), swing, to),
              "share of capacity",
              Bound::kAtLeast,
              0.90,
              ShareOfCapacity(RunAs(scenario, true), swing, to));
}

/// p99 of the first load; a request without an answer counts its deadline.
double
ShortP99(const RunResult& aRun)
{
  std::vector<Duration> latencies;
  for (const Outcome& outcome : aRun.outcomes) {
    if (outcome.load == 0 && outcome.arrival >= kWarmUp) {
      latencies.push_back(outcome.end - outcome.arrival);
    }
  }
  const auto rank = latencies.begin() +
                    static_cast<std::ptrdiff_t>(latencies.size() * 99 / 100);
  std::nth_element(latencies.begin(), rank, latencies.end());
  return ToFractionalMilliseconds(*rank);
}

// aParallelism: what the target really runs side by side; 0: all its slots.
void
MeasureBulk(Report& aReport, uint64_t aSeed, uint32_t aParallelism)
{
  const uint32_t parallel = aParallelism == 0 ? kSlots : aParallelism;
  const double capacity = kCapacity * parallel / kSlots;
  Scenario without;
  without.slots = kSlots;
  without.parallelism = aParallelism;
  without.reservesOrderSlots = false;
  without.loads = { { "/l/Roster",
                      Kind::kLookup,
                      4,
                      seconds(1),
                      kService,
                      Constant(0.6 * capacity) } };
  without.length = seconds(30);
  without.seed = aSeed;
  Scenario with = without;
  // Twenty downloads of 5 s each second would fill all slots.
  with.loads.push_back(
    { "/l/Download", Kind::kBulk, 3, seconds(60), seconds(5), Constant(20) });
  const auto ratio = [&](bool aBaseline) {
    return ShortP99(RunAs(with, aBaseline)) /
           ShortP99(RunAs(without, aBaseline));
  };
  aReport.Add(aParallelism == 0 ? "short_p99_with_bulk"
                                : "short_p99_with_bulk_at_half_parallelism",
              ratio(false),
              "times the p99 without bulk",
              Bound::kAtMost,
              1.5,
              ratio(true));
}

int
Main(int aCount, char** aArguments)
{
  uint64_t seed = 20261204;
  bool check = false;
  for (int i = 1; i < aCount; i++) {
    if (std::strcmp(aArguments[i], "--check") == 0) {
      check = true;
    } else if (std::strcmp(aArguments[i], "--seed") == 0 && i + 1 < aCount) {
      seed = std::strtoull(aArguments[++i], nullptr, 10);
    } else {
      fmt::print(stderr, "usage: overload_bench [--check] [--seed N]\n");
      return 2;
    }
  }
  Report report(seed);
  for (const bool chain : { false, true }) {
    MeasureOverload(report, seed, chain);
    MeasureRecovery(report, seed, chain);
  }
  MeasureSwing(report, seed);
  MeasureBulk(report, seed, 0);
  MeasureBulk(report, seed, kSlots / 2);
  return check && !report.AllHold() ? 1 : 0;
}

} // namespace
} // namespace wagtailbend::benchmarks

int
main(int aCount, char** aArguments)
{
  return wagtailbend::benchmarks::Main(aCount, aArguments);
}
