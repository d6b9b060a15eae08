// Plays experiments in the emulator and prints what callers get.

#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "wagtailbend/emulator/emulator.h"

namespace {

using namespace wagtailbend;
using emulator::Emulator;
using emulator::Outcome;
using emulator::Policy;
using emulator::World;

constexpr int kWrongUsage = 2;

struct NamedPolicy
{
  const char* name;
  Policy policy;
};

constexpr NamedPolicy kPolicies[] = {
  { "product", emulator::kProduct },
  { "no-levels", { .levels = false } },
  { "no-order", { .ordered = false } },
  { "no-placement", { .placed = false } },
  { "no-return-time", { .spread = false } },
  { "no-memory", { .remembered = false } },
  { "no-ration", { .rationed = false } },
  { "no-quarantine", { .quarantined = false } },
  { "plain", emulator::kPlain },
};

/// Plays all seeds, several at a time.
std::vector<Outcome>
PlaySeeds(const World& aWorld, const Policy& aPolicy, uint64_t aSeeds)
{
  std::vector<Outcome> outcomes(aSeeds);
  std::atomic<uint64_t> next{ 0 };
  std::vector<std::thread> threads;
  const unsigned workers =
    std::max(1U, std::thread::hardware_concurrency() / 2);
  for (unsigned i = 0; i < workers; ++i) {
    threads.emplace_back([&] {
      for (uint64_t seed = next++; seed < aSeeds; seed = next++) {
        outcomes[seed] = Emulator(aWorld, aPolicy, seed + 1).Run();
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return outcomes;
}

nlohmann::json
Summarize(const World& aWorld,
          const char* aPolicy,
          const std::vector<Outcome>& aOutcomes)
{
  nlohmann::json summary = { { "policy", aPolicy },
                             { "seeds", aOutcomes.size() } };
  const double count = static_cast<double>(aOutcomes.size());
  double value = 0;
  double wasted = 0;
  double crashes = 0;
  for (const Outcome& outcome : aOutcomes) {
    value += outcome.value / count;
    wasted += outcome.wasted / count;
    crashes += outcome.crashes / count;
  }
  summary["value"] = value;
  summary["wasted"] = wasted;
  summary["crashes"] = crashes;
  for (size_t i = 0; i < aWorld.routes.size(); ++i) {
    double offered = 0;
    double onTime = 0;
    double late = 0;
    for (const Outcome& outcome : aOutcomes) {
      offered += outcome.routes[i].offered;
      onTime += outcome.routes[i].onTime;
      late += outcome.routes[i].late;
    }
    if (offered > 0) {
      summary["routes"][aWorld.routes[i].name] = {
        { "on_time", onTime / offered }, { "late", late / offered }
      };
    }
  }
  return summary;
}

void
PrintTable(const nlohmann::json& aSummaries)
{
  for (const nlohmann::json& summary : aSummaries) {
    std::cout << fmt::format("{:<16} value {:.3f} wasted {:.3f} crashes {:.1f}",
                             summary["policy"].get<std::string>(),
                             summary["value"].get<double>(),
                             summary["wasted"].get<double>(),
                             summary["crashes"].get<double>());
    for (const auto& [route, shares] : summary["routes"].items()) {
      std::cout << fmt::format("  {} {:.2f}+{:.2f}",
                               route,
                               shares["on_time"].get<double>(),
                               shares["late"].get<double>());
    }
    std::cout << '\n';
  }
}

int
Play(const World& aWorld,
     uint64_t aSeeds,
     const std::string& aPolicy,
     bool aJson)
{
  nlohmann::json summaries = nlohmann::json::array();
  for (const NamedPolicy& named : kPolicies) {
    if (aPolicy != "all" && aPolicy != named.name) {
      continue;
    }
    std::cerr << "playing " << named.name << ", " << aSeeds << " seeds\n";
    summaries.push_back(
      Summarize(aWorld, named.name, PlaySeeds(aWorld, named.policy, aSeeds)));
  }
  if (summaries.empty()) {
    std::cerr << "unknown policy: " << aPolicy << '\n';
    return kWrongUsage;
  }
  if (aJson) {
    std::cout << summaries.dump(2) << '\n';
  } else {
    PrintTable(summaries);
  }
  return 0;
}

} // namespace

int
main(int argc, char** argv)
{
  cxxopts::Options usage("wagtail-sim",
                         "Plays an experiment against the product's decisions");
  usage.add_options()(
    "experiment", "file, see experiments/", cxxopts::value<std::string>())(
    "seeds",
    "how many seeds to play",
    cxxopts::value<uint64_t>()->default_value("8"))(
    "policy",
    "product, no-levels, no-order, no-placement, no-return-time, no-memory, "
    "no-ration, no-quarantine, plain or all",
    cxxopts::value<std::string>()->default_value("all"))(
    "json", "print JSON instead of a table")("version", "print the version")(
    "help", "print this help");
  try {
    const auto arguments = usage.parse(argc, argv);
    if (arguments.count("help")) {
      std::cout << usage.help();
      return 0;
    }
    if (arguments.count("version")) {
      std::cout << "wagtail-sim " WB_VERSION "\n";
      return 0;
    }
    if (!arguments.count("experiment")) {
      std::cerr << "--experiment is required\n";
      return kWrongUsage;
    }
    std::ifstream file(arguments["experiment"].as<std::string>());
    std::stringstream text;
    text << file.rdbuf();
    const auto world = emulator::ReadWorld(text.str());
    if (const Error* error = GetError(world)) {
      std::cerr << error->detail << '\n';
      return kWrongUsage;
    }
    return Play(GetValue(world),
                arguments["seeds"].as<uint64_t>(),
                arguments["policy"].as<std::string>(),
                arguments.count("json") > 0);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << '\n';
    return kWrongUsage;
  }
}
