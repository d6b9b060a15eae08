// Cost of a configuration change at the stated size of 88 services: bytes,
// CPU of parsing, memory per schema, and platform round trips per accepted
// change. Prints one JSON line per figure. Counts decide "holds"; timing and
// memory figures have no bound of their own (null).

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <vector>

#include <fmt/format.h>
#include <malloc.h>
#include <unistd.h>

#include "testing/fakes/in_memory_platform.h"
#include "wagtailbend/config/config_store.h"
#include "wagtailbend/schema/schema.h"

namespace wagtailbend {
namespace {

// From the design page, "Size to build towards".
constexpr int kServices = 88;
constexpr int kHalf = kServices / 2;
constexpr int kMethodsPerService = 4;

std::string
SchemaText(int aServices)
{
  std::string text = R"(syntax = "proto3";
package bench;
import "wagtailbend/options.proto";
option (wagtailbend.deployment) = {
  name: "bench"
  failure_domains: { name: "d1" region: "r1" }
  cross_region_kbit_per_s: 30000
};
message Request { string id = 1; }
message Reply { string id = 1; }
)";
  for (int s = 0; s < aServices; ++s) {
    text += fmt::format("service Service{} {{\n"
                        "  option (wagtailbend.service) = {{ slots: 100 "
                        "connections: 700 }};\n",
                        s);
    for (int m = 0; m < kMethodsPerService; ++m) {
      text += fmt::format(
        "  rpc Method{}(Request) returns (Reply) {{\n"
        "    option (wagtailbend.method) = {{ kind: LOOKUP priority: 5 "
        "deadline_ms: 500 idempotent: true attempt_budget: 8 }};\n  }}\n",
        m);
    }
    text += "}\n";
  }
  return text;
}

// Returns the descriptor set of a schema of aServices services.
std::string
MakeBody(int aServices)
{
  const auto path = std::filesystem::temp_directory_path() /
                    fmt::format("config_bench_{}.proto", getpid());
  std::ofstream(path) << SchemaText(aServices);
  auto compiled = schema::CompileSchemaFile(path.string(), {});
  std::filesystem::remove(path);
  if (const Error* error = GetError(compiled)) {
    std::cerr << error->detail << '\n';
    std::exit(1);
  }
  return TakeValue(std::move(compiled)).descriptorSet;
}

double
CpuMilliseconds()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e3 +
         static_cast<double>(time.tv_nsec) / 1e6;
}

// Median CPU time of parsing aBody once.
double
ParseCpuMilliseconds(const std::string& aBody)
{
  constexpr int kRuns = 21;
  std::vector<double> samples;
  samples.reserve(kRuns);
  for (int i = 0; i < kRuns; ++i) {
    const double start = CpuMilliseconds();
    const auto schema = schema::ParseSchema(aBody);
    samples.push_back(CpuMilliseconds() - start);
    if (!IsOk(schema)) {
      std::exit(1);
    }
  }
  std::nth_element(samples.begin(), samples.begin() + kRuns / 2, samples.end());
  return samples[kRuns / 2];
}

// Heap bytes held by one parsed schema, without its body.
double
SchemaBytes(const std::string& aBody)
{
  constexpr int kCopies = 20;
  std::vector<schema::Schema> schemas;
  schemas.reserve(kCopies);
  const size_t before = mallinfo2().uordblks;
  for (int i = 0; i < kCopies; ++i) {
    schemas.push_back(std::get<0>(schema::ParseSchema(aBody)));
  }
  return static_cast<double>(mallinfo2().uordblks - before) / kCopies;
}

void
Print(const std::string& aName,
      double aValue,
      const char* aUnit,
      std::optional<double> aBound)
{
  std::cout
    << fmt::format(
         R"({{"name":"{}","value":{:.4g},"unit":"{}","bound":{},"holds":{},)"
         R"("seed":0,"baseline":null}})",
         aName,
         aValue,
         aUnit,
         aBound ? fmt::format("{}", *aBound) : "null",
         !aBound ? "null" : (aValue <= *aBound ? "true" : "false"))
    << '\n';
}

void
PrintRoundTrips(const std::string& aBody)
{
  using testing_fakes::FaultKind;
  using testing_fakes::Operation;
  testing_fakes::InMemoryPlatform platform;
  config::ConfigStore store(platform);
  const auto accept = [&](const char* aChangeId) {
    const uint64_t before = platform.TotalCount();
    const auto result = store.Accept({ aChangeId, aBody });
    if (!std::holds_alternative<config::Accepted>(result)) {
      std::exit(1);
    }
    return static_cast<double>(platform.TotalCount() - before);
  };
  // Read head, put body, transact.
  Print("config_round_trips", accept("c1"), "round trips", 3);
  // A lost reply adds two reads.
  platform.SetFaults({ .kind = FaultKind::kReplyLost,
                       .operations = { Operation::kTransact },
                       .limit = 1 });
  Print("config_round_trips_reply_lost", accept("c2"), "round trips", 5);
}

void
Run()
{
  const std::string full = MakeBody(kServices);
  const std::string half = MakeBody(kHalf);
  const double services = kServices - kHalf;
  Print(
    "config_body_bytes_88_services", static_cast<double>(full.size()), "B", {});
  Print("config_body_bytes_per_service",
        static_cast<double>(full.size() - half.size()) / services,
        "B",
        {});
  Print("config_parse_cpu_88_services", ParseCpuMilliseconds(full), "ms", {});
  Print("config_parse_cpu_per_service",
        (ParseCpuMilliseconds(full) - ParseCpuMilliseconds(half)) / services,
        "ms",
        {});
  Print("config_schema_memory_88_services", SchemaBytes(full), "B", {});
  Print("config_schema_memory_per_service",
        (SchemaBytes(full) - SchemaBytes(half)) / services,
        "B",
        {});
  PrintRoundTrips(full);
}

} // namespace
} // namespace wagtailbend

int
main()
{
  wagtailbend::Run();
  return 0;
}
