// Figures of membership and routing, one JSON line each. With --check only the
// virtual-time figures run, and the exit status is 1 if a bound does not hold.

#include <algorithm>
#include <cstring>
#include <ctime>
#include <deque>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "wagtailbend/membership/testing/fake_network.h"
#include "wagtailbend/routing/balancer.h"

namespace wagtailbend {
namespace {

using membership::testing::FakeNetwork;
using routing::Balancer;
using routing::Candidate;
using routing::PickResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kSeed = 1;
constexpr TimePoint kStart{ std::chrono::hours(1) };

bool g_allHold = true;

void
Report(const std::string& aName,
       double aValue,
       const char* aUnit,
       std::optional<double> aBound = std::nullopt,
       std::optional<double> aBaseline = std::nullopt)
{
  const bool holds = !aBound || aValue <= *aBound;
  g_allHold = g_allHold && holds;
  const auto number = [](std::optional<double> aNumber) {
    return aNumber ? fmt::format("{:.4g}", *aNumber) : std::string("null");
  };
  fmt::print("{{\"name\":\"{}\",\"value\":{},\"unit\":\"{}\",\"bound\":{},"
             "\"holds\":{},\"seed\":{},\"baseline\":{}}}\n",
             aName,
             number(aValue),
             aUnit,
             number(aBound),
             aBound ? (holds ? "true" : "false") : "null",
             kSeed,
             number(aBaseline));
}

struct Load
{
  int daemons = 4;
  int targets = 10;
  int slow = 2;
  double callsPerSecond = 8000;
  bool random = false;
};

// Daemons that send calls to targets with 20 slots, a queue, and exponential
// service times of 10 ms. From second 5 on, the slow targets take ten times as
// long. Measures the calls that arrive from then to second 30.
class StragglerRun
{
public:
  explicit StragglerRun(const Load& aLoad)
    : m_load(aLoad)
    , m_rng(kSeed)
    , m_targets(aLoad.targets)
    , m_balancers(aLoad.daemons)
  {
    std::vector<Candidate> candidates(aLoad.targets);
    for (int i = 0; i < aLoad.targets; ++i) {
      candidates[i].id = { fmt::format("daemon-{}", i), 1 };
      candidates[i].slots = kSlots;
    }
    for (Balancer& balancer : m_balancers) {
      balancer.Update(candidates, kStart);
    }
  }

  double P99Ms()
  {
    const TimePoint end = kStart + seconds(30);
    TimePoint arrival = kStart;
    TimePoint evaluation = kStart;
    while (arrival < end) {
      arrival += Exponential(1e9 / m_load.callsPerSecond);
      while (evaluation < arrival) {
        FinishUntil(evaluation);
        for (Balancer& balancer : m_balancers) {
          balancer.Evaluate(evaluation);
        }
        evaluation += milliseconds(100);
      }
      FinishUntil(arrival);
      Arrive(arrival);
    }
    FinishUntil(end + seconds(100));
    const auto rank = static_cast<ptrdiff_t>(m_latenciesMs.size() * 99 / 100);
    std::nth_element(
      m_latenciesMs.begin(), m_latenciesMs.begin() + rank, m_latenciesMs.end());
    return m_latenciesMs[rank];
  }

private:
  static constexpr int kSlots = 20;
  static constexpr double kServiceNs = 10e6;

  struct Call
  {
    TimePoint arrivedAt;
    TimePoint finishesAt;
    int daemon = 0;
    int target = 0;
    std::optional<PickResult> picked;

    bool operator<(const Call& aOther) const
    {
      return finishesAt > aOther.finishesAt;
    }
  };
  struct FakeTarget
  {
    int running = 0;
    std::deque<Call> queue;
  };

  Duration Exponential(double aMeanNs)
  {
    return Duration(static_cast<int64_t>(
      std::exponential_distribution<double>(1 / aMeanNs)(m_rng)));
  }

  void Arrive(TimePoint aNow)
  {
    Call call{ .arrivedAt = aNow,
               .finishesAt = aNow,
               .daemon = static_cast<int>(UniformBelow(m_rng, m_load.daemons)),
               .target = 0,
               .picked = std::nullopt };
    if (m_load.random) {
      call.target = static_cast<int>(UniformBelow(m_rng, m_load.targets));
    } else {
      Balancer& balancer = m_balancers[call.daemon];
      call.picked = balancer.Pick(aNow, m_rng, {});
      balancer.OnAttemptStarted(*call.picked);
      call.target = std::stoi(call.picked->target->candidate.id.name.substr(7));
    }
    FakeTarget& target = m_targets[call.target];
    if (target.running < kSlots) {
      Start(std::move(call), aNow);
    } else {
      target.queue.push_back(std::move(call));
    }
  }

  void Start(Call aCall, TimePoint aNow)
  {
    const bool slow = aCall.target < m_load.slow && aNow >= kStart + seconds(5);
    aCall.finishesAt = aNow + Exponential(kServiceNs * (slow ? 10 : 1));
    ++m_targets[aCall.target].running;
    m_running.push(std::move(aCall));
  }

  void FinishUntil(TimePoint aNow)
  {
    while (!m_running.empty() && m_running.top().finishesAt <= aNow) {
      const Call call = m_running.top();
      m_running.pop();
      const Duration latency = call.finishesAt - call.arrivedAt;
      if (call.picked) {
        m_balancers[call.daemon].OnAttemptFinished(
          *call.picked, latency, true, call.finishesAt);
      }
      if (call.arrivedAt >= kStart + seconds(5)) {
        m_latenciesMs.push_back(ToFractionalMilliseconds(latency));
      }
      FakeTarget& target = m_targets[call.target];
      --target.running;
      if (!target.queue.empty()) {
        Call next = std::move(target.queue.front());
        target.queue.pop_front();
        Start(std::move(next), call.finishesAt);
      }
    }
  }

  const Load m_load;
  Rng m_rng;
  std::vector<FakeTarget> m_targets;
  std::vector<Balancer> m_balancers;
  std::priority_queue<Call> m_running;
  std::vector<double> m_latenciesMs;
};

double
SlowRatio(Load aLoad)
{
  Load healthy = aLoad;
  healthy.slow = 0;
  return StragglerRun(aLoad).P99Ms() / StragglerRun(healthy).P99Ms();
}

void
ReportStragglers()
{
  for (const double rate : { 200.0, 2000.0, 8000.0, 12000.0 }) {
    Load load;
    load.callsPerSecond = rate;
    Load random = load;
    random.random = true;
    Report(fmt::format("routing_p99_ratio_slow_1_in_5_at_{}_per_s", rate),
           SlowRatio(load),
           "ratio",
           2.0,
           SlowRatio(random));
  }
}

double
CpuSeconds()
{
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

void
ReportGossip(bool aTiming)
{
  constexpr int kRunSeconds = 60;
  std::vector<double> bytes;
  std::vector<double> cpu;
  const std::vector<size_t> sizes{ 10, 50, 138 };
  for (const size_t size : sizes) {
    FakeNetwork network = FakeNetwork::Converged(size, kSeed);
    network.NodeAt(0).swim.AnnounceConfig(
      { 5, "change-5", std::string(64, 'd') });
    network.RunFor(seconds(10));
    for (auto& node : network.Nodes()) {
      node.sentBytes = 0;
    }
    const double before = CpuSeconds();
    network.RunFor(seconds(kRunSeconds));
    const double perDaemon = 1e6 / static_cast<double>(size) / kRunSeconds;
    cpu.push_back((CpuSeconds() - before) * perDaemon);
    uint64_t sum = 0;
    for (auto& node : network.Nodes()) {
      sum += node.sentBytes;
    }
    bytes.push_back(static_cast<double>(sum) * perDaemon / 1e6);
    Report(fmt::format("gossip_bytes_per_s_at_{}_daemons", size),
           bytes.back(),
           "B/s",
           10'000);
    if (aTiming) {
      // The fake network's own work is included.
      Report(fmt::format("gossip_cpu_at_{}_daemons", size), cpu.back(), "us/s");
    }
  }
  const double peers = static_cast<double>(sizes.back() - sizes.front());
  Report("gossip_bytes_per_s_per_peer",
         (bytes.back() - bytes.front()) / peers,
         "B/s");
  if (aTiming) {
    Report("gossip_cpu_per_peer", (cpu.back() - cpu.front()) / peers, "us/s");
  }
}

void
ReportPickTime()
{
  for (const int count : { 4, 20, 138 }) {
    Balancer balancer;
    std::vector<Candidate> candidates(count);
    for (int i = 0; i < count; ++i) {
      candidates[i].id = { fmt::format("daemon-{}", i), 1 };
    }
    balancer.Update(candidates, kStart);
    Rng rng(kSeed);
    constexpr int kPicks = 1'000'000;
    const TimePoint before = MonotonicNow();
    for (int i = 0; i < kPicks; ++i) {
      const TimePoint now = kStart + std::chrono::microseconds(i);
      const auto picked = balancer.Pick(now, rng, {});
      balancer.OnAttemptStarted(*picked);
      balancer.OnAttemptFinished(*picked, milliseconds(1), true, now);
    }
    const Duration taken = MonotonicNow() - before;
    Report(fmt::format("routing_pick_and_finish_at_{}_candidates", count),
           static_cast<double>(taken.count()) / kPicks,
           "ns");
  }
  Report("routing_bytes_per_candidate",
         static_cast<double>(Balancer::BytesPerCandidate()),
         "B");
}

} // namespace
} // namespace wagtailbend

int
main(int aArgc, char** aArgv)
{
  const bool check = aArgc == 2 && std::strcmp(aArgv[1], "--check") == 0;
  if (aArgc > 1 && !check) {
    fmt::print(stderr, "usage: {} [--check]\n", aArgv[0]);
    return 2;
  }
  wagtailbend::ReportStragglers();
  wagtailbend::ReportGossip(!check);
  if (!check) {
    wagtailbend::ReportPickTime();
  }
  return check && !wagtailbend::g_allHold ? 1 : 0;
}
