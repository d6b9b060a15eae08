// Orders through real processes on loopback: latency that each way adds to a
// direct call of the target, and orders per second.
//
//   build/bin/order_path_bench --rounds 2000 --threads 16

#include <algorithm>
#include <iostream>
#include <thread>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "testing/caller.h"
#include "testing/deployment.h"

namespace {

using namespace wagtailbend::testing;
using Clock = std::chrono::steady_clock;

constexpr char kOrder[] = "/association.Payouts/Order";

/// One way of an order: who is called, and who issues the ticket.
struct Way
{
  const char* name;
  std::string entry;
  /// Empty: the target is called without a ticket.
  std::string home;
  std::vector<double> milliseconds;
};

double
Quantile(std::vector<double> aValues, double aShare)
{
  auto at = static_cast<std::ptrdiff_t>(aShare * double(aValues.size() - 1));
  std::nth_element(aValues.begin(), aValues.begin() + at, aValues.end());
  return aValues[size_t(at)];
}

void
Print(const std::string& aName, double aValue, const char* aUnit)
{
  nlohmann::json line = { { "name", aName },      { "value", aValue },
                          { "unit", aUnit },      { "bound", nullptr },
                          { "holds", nullptr },   { "seed", nullptr },
                          { "baseline", nullptr } };
  std::cout << line.dump() << '\n' << std::flush;
}

/// Sends one order with a ticket that was drawn before.
bool
SendOne(Caller& aEntry, Caller* aHome, double& aMilliseconds)
{
  CallOptions options;
  options.bare = true;
  if (aHome) {
    options.ticket = aHome->DrawTicket();
  }
  const auto start = Clock::now();
  const bool ok = aEntry.Call(kOrder, "niran", options).status.ok();
  aMilliseconds =
    std::chrono::duration<double, std::milli>(Clock::now() - start).count();
  return ok;
}

// The ways alternate, so that noise of the machine hits all of them alike.
size_t
MeasureLatency(std::vector<Way>& aWays, size_t aRounds)
{
  size_t failed = 0;
  std::vector<std::unique_ptr<Caller>> entries;
  std::vector<std::unique_ptr<Caller>> homes;
  for (const Way& way : aWays) {
    entries.push_back(std::make_unique<Caller>(way.entry));
    homes.push_back(way.home.empty() ? nullptr
                                     : std::make_unique<Caller>(way.home));
  }
  constexpr size_t kWarmUp = 50;
  for (size_t round = 0; round < aRounds + kWarmUp; ++round) {
    for (size_t i = 0; i < aWays.size(); ++i) {
      double taken = 0;
      failed += SendOne(*entries[i], homes[i].get(), taken) ? 0 : 1;
      if (round >= kWarmUp) {
        aWays[i].milliseconds.push_back(taken);
      }
    }
  }
  return failed;
}

/// Returns orders per second from aThreads callers, each with one order at a
/// time.
double
MeasureRate(const Way& aWay, size_t aThreads, size_t aRounds, size_t& aFailed)
{
  std::atomic<size_t> failed{ 0 };
  std::vector<std::thread> threads;
  const auto start = Clock::now();
  for (size_t i = 0; i < aThreads; ++i) {
    threads.emplace_back([&] {
      Caller entry(aWay.entry);
      std::unique_ptr<Caller> home;
      if (!aWay.home.empty()) {
        home = std::make_unique<Caller>(aWay.home);
      }
      for (size_t round = 0; round < aRounds; ++round) {
        double taken = 0;
        failed += SendOne(entry, home.get(), taken) ? 0 : 1;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const std::chrono::duration<double> taken = Clock::now() - start;
  aFailed += failed;
  return double(aThreads * aRounds) / taken.count();
}

int
Run(size_t aRounds, size_t aThreads)
{
  Deployment deployment(
    "association",
    { { "association.Payouts", { "--egress=" } }, { "", {} }, { "", {} } });
  if (!deployment.Start()) {
    std::cerr << "deployment did not start\n";
    return 1;
  }
  const std::string own = deployment.At(0).customer;
  const std::string entry = deployment.At(1).customer;
  const std::string other = deployment.At(2).customer;
  std::vector<Way> ways = { { "direct", deployment.At(0).target, "", {} },
                            { "home_of_target", own, own, {} },
                            { "home_elsewhere", entry, entry, {} },
                            { "relayed", other, entry, {} } };
  size_t failed = MeasureLatency(ways, aRounds);
  const std::vector<double>& direct = ways.front().milliseconds;
  for (const Way& way : ways) {
    for (double share : { 0.5, 0.99 }) {
      const double value = Quantile(way.milliseconds, share);
      const char* label = share == 0.5 ? "p50" : "p99";
      Print(fmt::format("order_{}_{}", way.name, label), value, "ms");
      Print(fmt::format("order_added_{}_{}", way.name, label),
            value - Quantile(direct, share),
            "ms");
    }
    Print(fmt::format("order_rate_{}", way.name),
          MeasureRate(way, aThreads, aRounds / 4, failed),
          "orders/s");
  }
  Print("order_failed", double(failed), "orders");
  return failed == 0 ? 0 : 1;
}

} // namespace

int
main(int argc, char** argv)
{
  cxxopts::Options usage("order_path_bench", "Orders through the daemons");
  usage.add_options()("rounds",
                      "orders per way",
                      cxxopts::value<size_t>()->default_value("2000"))(
    "threads",
    "callers for the rate",
    cxxopts::value<size_t>()->default_value("16"))("help", "print this help");
  try {
    auto arguments = usage.parse(argc, argv);
    if (arguments.count("help")) {
      std::cout << usage.help();
      return 0;
    }
    return Run(arguments["rounds"].as<size_t>(),
               arguments["threads"].as<size_t>());
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
