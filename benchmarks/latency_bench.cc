// Latency that the daemons add, with real processes on loopback. The direct
// call, the call through one daemon and the call through two daemons alternate
// in one run, so that noise of the machine hits all of them alike.
//
//   build/bin/latency_bench --rounds 4000 --concurrency 1

#include <algorithm>
#include <iostream>
#include <mutex>
#include <thread>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "testing/caller.h"
#include "testing/deployment.h"
#include "testing/unary_caller.h"

namespace {

using namespace wagtailbend::testing;

constexpr char kLookup[] = "/association.Settlements/Lookup";
constexpr double kAddedP99BoundMs = 0.58;
// Budget of control work: 2.9% of a core and 256 MB.
constexpr double kIdleCpuBoundPercent = 2.9;
constexpr double kMemoryBoundMib = 256;

struct Route
{
  std::string name;
  std::string address;
  std::vector<double> milliseconds;
};

double
Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  auto index = static_cast<size_t>(aShare * double(aValues.size() - 1));
  std::nth_element(
    aValues.begin(), aValues.begin() + std::ptrdiff_t(index), aValues.end());
  return aValues[index];
}

void
Print(const std::string& aName,
      double aValue,
      const char* aUnit,
      std::optional<double> aBound,
      std::optional<double> aBaseline)
{
  nlohmann::json line = { { "name", aName },      { "value", aValue },
                          { "unit", aUnit },      { "bound", nullptr },
                          { "holds", nullptr },   { "seed", nullptr },
                          { "baseline", nullptr } };
  if (aBound) {
    line["bound"] = *aBound;
    line["holds"] = aValue <= *aBound;
  }
  if (aBaseline) {
    line["baseline"] = *aBaseline;
  }
  std::cout << line.dump() << '\n' << std::flush;
}

// Each thread calls the routes in turn, aRounds times, aGap apart.
void
Measure(std::vector<Route>& aRoutes,
        size_t aThreads,
        size_t aRounds,
        std::chrono::microseconds aGap,
        size_t& aFailed)
{
  std::mutex mutex;
  std::vector<std::thread> threads;
  threads.reserve(aThreads);
  for (size_t i = 0; i < aThreads; ++i) {
    threads.emplace_back([&] {
      std::vector<std::unique_ptr<UnaryCaller>> callers;
      callers.reserve(aRoutes.size());
      std::vector<std::vector<double>> times(aRoutes.size());
      for (const Route& route : aRoutes) {
        callers.push_back(std::make_unique<UnaryCaller>(route.address));
      }
      size_t failed = 0;
      for (size_t round = 0; round < aRounds; ++round) {
        for (size_t r = 0; r < aRoutes.size(); ++r) {
          auto start = std::chrono::steady_clock::now();
          bool ok = callers[r]->Call(kLookup, "trip");
          std::chrono::duration<double, std::milli> taken =
            std::chrono::steady_clock::now() - start;
          failed += ok ? 0 : 1;
          times[r].push_back(taken.count());
          std::this_thread::sleep_for(aGap);
        }
      }
      std::lock_guard lock(mutex);
      aFailed += failed;
      for (size_t r = 0; r < aRoutes.size(); ++r) {
        // The first calls open the connections.
        constexpr std::ptrdiff_t kWarmUp = 50;
        auto& all = aRoutes[r].milliseconds;
        all.insert(
          all.end(),
          times[r].begin() +
            std::min<std::ptrdiff_t>(kWarmUp, std::ptrdiff_t(times[r].size())),
          times[r].end());
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void
PrintRoutes(const std::vector<Route>& aRoutes, const std::string& aSuffix)
{
  const Route& direct = aRoutes.front();
  for (double share : { 0.5, 0.99 }) {
    const char* label = share == 0.5 ? "p50" : "p99";
    double base = Quantile(direct.milliseconds, share);
    Print(fmt::format("latency_{}_{}{}", direct.name, label, aSuffix),
          base,
          "ms",
          std::nullopt,
          std::nullopt);
    for (size_t r = 1; r < aRoutes.size(); ++r) {
      double value = Quantile(aRoutes[r].milliseconds, share);
      Print(fmt::format("latency_{}_{}{}", aRoutes[r].name, label, aSuffix),
            value,
            "ms",
            std::nullopt,
            base);
      Print(
        fmt::format("latency_added_{}_{}{}", aRoutes[r].name, label, aSuffix),
        value - base,
        "ms",
        share == 0.99 ? std::optional(kAddedP99BoundMs) : std::nullopt,
        std::nullopt);
    }
  }
}

/// CPU share of a daemon, in percent of a core, while aWork runs.
template<typename Work>
double
CpuPercent(pid_t aId, Work aWork)
{
  double before = UsageOf(aId).cpuMilliseconds;
  auto start = std::chrono::steady_clock::now();
  aWork();
  std::chrono::duration<double, std::milli> taken =
    std::chrono::steady_clock::now() - start;
  return 100 * (UsageOf(aId).cpuMilliseconds - before) / taken.count();
}

std::vector<VmPlan>
Plans()
{
  return { { "association.Settlements", {} }, { "association.Balances", {} } };
}

/// Starts a second deployment with one more environment variable, so that its
/// effect is measured in the same run.
std::unique_ptr<Deployment>
StartCompared(const std::string& aVariable)
{
  size_t equals = aVariable.find('=');
  std::string name = aVariable.substr(0, equals);
  setenv(name.c_str(), aVariable.substr(equals + 1).c_str(), 1);
  auto deployment = std::make_unique<Deployment>("association", Plans());
  bool started = deployment->Start();
  unsetenv(name.c_str());
  return started ? std::move(deployment) : nullptr;
}

std::vector<Route>
RoutesOf(Deployment& aDeployment, Deployment* aCompared)
{
  std::vector<Route> routes = {
    { "direct", aDeployment.At(0).target, {} },
    { "one_daemon", aDeployment.At(0).customer, {} },
    { "two_daemons", aDeployment.At(1).customer, {} },
  };
  if (aCompared) {
    routes.push_back({ "compared_one_daemon", aCompared->At(0).customer, {} });
    routes.push_back({ "compared_two_daemons", aCompared->At(1).customer, {} });
  }
  return routes;
}

int
Run(size_t aRounds,
    const std::vector<size_t>& aConcurrency,
    int aGapUs,
    const std::string& aCompare)
{
  Deployment deployment("association", Plans());
  std::unique_ptr<Deployment> compared;
  if (!aCompare.empty()) {
    compared = StartCompared(aCompare);
  }
  if (!deployment.Start() || (!aCompare.empty() && !compared)) {
    std::cerr << "deployment did not start\n";
    return 1;
  }
  pid_t daemon = deployment.At(0).daemon->Id();
  double idle = CpuPercent(
    daemon, [] { std::this_thread::sleep_for(std::chrono::seconds(3)); });
  Print("daemon_idle_cpu", idle, "percent", kIdleCpuBoundPercent, {});
  Print("daemon_idle_memory",
        UsageOf(daemon).residentMebibytes,
        "MiB",
        kMemoryBoundMib,
        {});
  size_t failed = 0;
  for (size_t threads : aConcurrency) {
    std::vector<Route> routes = RoutesOf(deployment, compared.get());
    std::string suffix = fmt::format("_c{}", threads);
    double busy = CpuPercent(daemon, [&] {
      Measure(
        routes, threads, aRounds, std::chrono::microseconds(aGapUs), failed);
    });
    PrintRoutes(routes, suffix);
    Print("daemon_busy_cpu" + suffix, busy, "percent", {}, {});
    Print("daemon_busy_memory" + suffix,
          UsageOf(daemon).residentMebibytes,
          "MiB",
          kMemoryBoundMib,
          {});
  }
  Print("failed_calls", double(failed), "calls", 0, {});
  return failed == 0 ? 0 : 1;
}

} // namespace

int
main(int argc, char** argv)
{
  cxxopts::Options usage("latency_bench", "Latency that the daemons add");
  usage.add_options()("rounds",
                      "calls per route",
                      cxxopts::value<size_t>()->default_value("3000"))(
    "concurrency",
    "calling threads, one run for each",
    cxxopts::value<std::vector<size_t>>()->default_value("1,8"))(
    "gap-us",
    "pause between the calls of a thread",
    cxxopts::value<int>()->default_value("500"))(
    "compare-env",
    "NAME=VALUE for a second deployment in the same run",
    cxxopts::value<std::string>()->default_value(""))("help",
                                                      "print this help");
  try {
    auto arguments = usage.parse(argc, argv);
    if (arguments.count("help")) {
      std::cout << usage.help();
      return 0;
    }
    return Run(arguments["rounds"].as<size_t>(),
               arguments["concurrency"].as<std::vector<size_t>>(),
               arguments["gap-us"].as<int>(),
               arguments["compare-env"].as<std::string>());
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
