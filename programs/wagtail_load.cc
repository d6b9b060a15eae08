// wagtail-load: sends open-loop load as customers do and reports what they got.

#include <atomic>
#include <fstream>
#include <iostream>
#include <thread>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include "wagtailbend/client/customer_client.h"
#include "wagtailbend/load/load_plan.h"
#include "wagtailbend/load/message_factory.h"
#include "wagtailbend/load/outcome_recorder.h"

namespace {

using namespace wagtailbend;

constexpr int kExitWrongUsage = 2;

struct RunPlan
{
  schema::CompiledSchema schema;
  std::vector<load::Phase> phases;
  std::vector<load::MixEntry> mix;
  std::vector<std::string> daemons;
  double rate = 0;
  uint64_t seed = 0;
  std::string jsonFile;
  std::string plotFile;
};

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options("wagtail-load",
                           "Sends open-loop load to daemons and reports what "
                           "each customer got.");
  options.add_options()("schema", "Schema file", cxxopts::value<std::string>())(
    "daemons",
    "Customer addresses, IP:port,...",
    cxxopts::value<std::vector<std::string>>())(
    "mix",
    "Methods and weights, package.Service/Method=weight,...",
    cxxopts::value<std::string>())(
    "phases",
    "Phases, name:seconds:factor,...",
    cxxopts::value<std::string>()->default_value("run:10:1"))(
    "rate",
    "Requests per second at factor 1",
    cxxopts::value<double>()->default_value("100"))(
    "seed",
    "Seed of arrivals and ids",
    cxxopts::value<uint64_t>()->default_value("1"))(
    "json",
    "File for the figures as JSON",
    cxxopts::value<std::string>()->default_value(""))(
    "plot",
    "File for the time series; FILE.gp is a gnuplot script for it",
    cxxopts::value<std::string>()->default_value(""))("help", "Print help")(
    "version", "Print the version");
  return options;
}

Result<RunPlan>
MakePlan(const cxxopts::ParseResult& aOptions)
{
  for (const char* name : { "schema", "daemons", "mix" }) {
    if (!aOptions.count(name)) {
      return Error{ ErrorKind::kInvalidRequest,
                    fmt::format("--{} is required", name) };
    }
  }
  RunPlan plan;
  auto compiled =
    schema::CompileSchemaFile(aOptions["schema"].as<std::string>(), {});
  if (const Error* error = GetError(compiled)) {
    return *error;
  }
  plan.schema = TakeValue(std::move(compiled));
  auto phases = load::ParsePhases(aOptions["phases"].as<std::string>());
  if (const Error* error = GetError(phases)) {
    return Error{ error->kind, "--phases: " + error->detail };
  }
  auto mix =
    load::ParseMix(aOptions["mix"].as<std::string>(), plan.schema.schema);
  if (const Error* error = GetError(mix)) {
    return Error{ error->kind, "--mix: " + error->detail };
  }
  plan.phases = TakeValue(std::move(phases));
  plan.mix = TakeValue(std::move(mix));
  plan.daemons = aOptions["daemons"].as<std::vector<std::string>>();
  plan.rate = aOptions["rate"].as<double>();
  plan.seed = aOptions["seed"].as<uint64_t>();
  plan.jsonFile = aOptions["json"].as<std::string>();
  plan.plotFile = aOptions["plot"].as<std::string>();
  if (!(plan.rate > 0)) {
    return Error{ ErrorKind::kInvalidRequest, "--rate: must be above 0" };
  }
  return plan;
}

load::Outcome
OutcomeOf(const client::CallResult& aResult, bool aIsMatching)
{
  if (!aResult.error) {
    if (aResult.messages.empty()) {
      return load::Outcome::kTruncated;
    }
    return aIsMatching ? load::Outcome::kComplete : load::Outcome::kMismatched;
  }
  return aResult.runState == RunState::kNotRun ? load::Outcome::kNotRun
                                               : load::Outcome::kUnknown;
}

void
SendAll(const RunPlan& aPlan, load::OutcomeRecorder& aRecorder)
{
  Rng rng(aPlan.seed);
  load::MessageFactory messages(aPlan.schema.descriptorSet);
  client::CustomerClient client(aPlan.daemons, aPlan.seed);
  const TimePoint start = MonotonicNow();
  uint64_t number = 0;
  for (const load::Arrival& arrival :
       load::PlanArrivals(aPlan.phases, aPlan.mix, aPlan.rate, rng)) {
    std::this_thread::sleep_until(start + arrival.at);
    const schema::Method& method = aPlan.mix[arrival.mixIndex].method;
    const std::string key = fmt::format("{}-{}", aPlan.seed, ++number);
    client::CallRequest request;
    request.method = method.path;
    request.payload = messages.MakeRequest(method.path, key);
    request.timeout = method.deadline;
    request.streamed = method.serverStreaming;
    request.order = method.kind == schema::Kind::kOrder;
    client.Call(std::move(request),
                [&aRecorder, &messages, arrival, key, path = method.path](
                  const client::CallResult& aResult) {
                  const bool isMatching =
                    !aResult.error &&
                    messages.IsMatchingResponse(path, key, aResult.messages);
                  aRecorder.Record({ arrival,
                                     aResult.latency,
                                     OutcomeOf(aResult, isMatching) });
                });
  }
}

void
WritePlot(const std::string& aFile, const load::OutcomeRecorder& aRecorder)
{
  std::ofstream(aFile) << aRecorder.TimeSeries();
  std::ofstream(aFile + ".gp")
    << fmt::format("set terminal pngcairo size 1000,500\n"
                   "set output '{0}.png'\n"
                   "set xlabel 'seconds'\nset ylabel 'requests per second'\n"
                   "plot '{0}' using 1:2 with lines title 'sent', "
                   "'{0}' using 1:3 with lines title 'whole responses'\n",
                   aFile);
}

int
Run(const RunPlan& aPlan)
{
  load::OutcomeRecorder recorder(aPlan.phases, aPlan.mix);
  SendAll(aPlan, recorder);
  std::cout << recorder.Table();
  if (!aPlan.jsonFile.empty()) {
    std::ofstream(aPlan.jsonFile) << recorder.Json();
  }
  if (!aPlan.plotFile.empty()) {
    WritePlot(aPlan.plotFile, recorder);
  }
  const uint64_t bad = recorder.Count(load::Outcome::kMismatched) +
                       recorder.Count(load::Outcome::kTruncated);
  return bad == 0 ? 0 : 1;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  cxxopts::Options options = MakeOptions();
  try {
    const cxxopts::ParseResult parsed = options.parse(aCount, aArguments);
    if (parsed.count("help")) {
      std::cout << options.help();
      return 0;
    }
    if (parsed.count("version")) {
      std::cout << "wagtail-load " << WB_VERSION << "\n";
      return 0;
    }
    const Result<RunPlan> plan = MakePlan(parsed);
    if (const Error* error = GetError(plan)) {
      std::cerr << "wagtail-load: " << error->detail << "\n";
      return kExitWrongUsage;
    }
    return Run(GetValue(plan));
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "wagtail-load: " << error.what() << "\n";
    return kExitWrongUsage;
  }
}
