#include "testing/deployment.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace wagtailbend::testing {
namespace {

constexpr auto kStartLimit = std::chrono::seconds(10);
// Several requests fit into the deadline of an order.
constexpr int kPlatformTimeoutMs = 300;

} // namespace

Deployment::Deployment(const std::string& aSchema,
                       std::vector<VmPlan> aPlans,
                       DeploymentOptions aOptions)
  : m_options(std::move(aOptions))
  , m_schema(std::string(WB_SOURCE_DIR) + "/schemas/" + aSchema + ".proto")
{
  std::string pattern =
    (std::filesystem::temp_directory_path() / "wagtailbend-XXXXXX").string();
  m_folder = mkdtemp(pattern.data());
  for (VmPlan& plan : aPlans) {
    Vm& vm = m_vms.emplace_back();
    vm.plan = std::move(plan);
    vm.name = "vm" + std::to_string(m_vms.size());
    for (auto* address : { &vm.customer,
                           &vm.peer,
                           &vm.egress,
                           &vm.http,
                           &vm.admin,
                           &vm.gossip,
                           &vm.target,
                           &vm.targetHttp }) {
      *address = FreeAddress();
    }
  }
}

Deployment::~Deployment()
{
  m_vms.clear();
  std::error_code ignored;
  std::filesystem::remove_all(m_folder, ignored);
}

void
Deployment::StartDaemon(size_t aIndex)
{
  Vm& vm = m_vms[aIndex];
  nlohmann::json settings = {
    { "name", vm.name },
    { "failure_domain",
      !vm.plan.failureDomain.empty()        ? vm.plan.failureDomain
      : m_schema.ends_with("vukovic.proto") ? "zagreb"
                                            : "ranong" },
    { "listen",
      { { "customer", vm.customer },
        { "peer", vm.peer },
        { "egress", vm.egress },
        { "admin", vm.admin },
        { "gossip", vm.gossip },
        { "http", vm.http } } },
  };
  for (size_t seed : m_options.seeds) {
    settings["seeds"].push_back(m_vms[seed].gossip);
  }
  if (m_options.schemaFile) {
    settings["schema_file"] = m_schema;
  }
  if (!m_options.platformUrl.empty()) {
    settings["platform"] = { { "url", m_options.platformUrl } };
  }
  if (m_platform) {
    settings["platform"] = { { "url", "http://" + m_platformAddress },
                             { "timeout_ms", kPlatformTimeoutMs } };
  }
  if (!m_traceUrl.empty()) {
    settings["trace"] = { { "url", m_traceUrl },
                          { "sample_per_million", 1000000 } };
  }
  std::string file = m_folder + "/" + vm.name + ".json";
  std::ofstream(file) << settings.dump();
  std::vector<std::string> command = { std::string(WB_BIN_DIR) + "/wagtaild",
                                       "--settings",
                                       file };
  vm.daemon = std::make_unique<Process>(std::move(command));
}

void
Deployment::StartTarget(size_t aIndex)
{
  Vm& vm = m_vms[aIndex];
  std::vector<std::string> command = { std::string(WB_BIN_DIR) +
                                         "/wagtail-fake-target",
                                       "--schema",
                                       m_schema,
                                       "--service",
                                       vm.plan.service,
                                       "--address",
                                       vm.target,
                                       "--http",
                                       vm.targetHttp,
                                       "--daemon",
                                       vm.http,
                                       "--egress",
                                       vm.egress };
  command.insert(command.end(),
                 vm.plan.targetArguments.begin(),
                 vm.plan.targetArguments.end());
  vm.targetProcess = std::make_unique<Process>(std::move(command));
}

bool
Deployment::Start()
{
  auto targets = static_cast<size_t>(
    std::count_if(m_vms.begin(), m_vms.end(), [](const Vm& aVm) {
      return !aVm.plan.service.empty();
    }));
  return StartProcesses() && WaitForTargets(targets, kStartLimit) &&
         WaitForPeers(kStartLimit);
}

bool
Deployment::StartProcesses()
{
  if (m_usePlatform) {
    m_platform = std::make_unique<Process>(std::vector<std::string>{
      std::string(WB_BIN_DIR) + "/wagtail-fake-platform",
      "--listen",
      m_platformAddress });
    if (!m_platform->WaitForLine("event=ready", kStartLimit)) {
      return false;
    }
  }
  for (size_t i = 0; i < m_vms.size(); ++i) {
    StartDaemon(i);
    if (!m_vms[i].plan.service.empty()) {
      StartTarget(i);
    }
  }
  for (Vm& vm : m_vms) {
    if (!vm.daemon->WaitForLine("event=ready", kStartLimit) ||
        (vm.targetProcess &&
         !vm.targetProcess->WaitForLine("event=ready", kStartLimit))) {
      return false;
    }
  }
  return true;
}

std::string
Deployment::Page(size_t aIndex, const std::string& aPath)
{
  httplib::Client client("http://" + m_vms[aIndex].http);
  client.set_connection_timeout(1, 0);
  client.set_read_timeout(1, 0);
  auto reply = client.Get(aPath);
  return reply && reply->status == 200 ? reply->body : "";
}

uint64_t
Deployment::Calls(size_t aIndex)
{
  httplib::Client client("http://" + m_vms[aIndex].targetHttp);
  auto reply = client.Get("/calls");
  return reply && reply->status == 200 ? std::stoull(reply->body) : 0;
}

double
Deployment::Metric(size_t aIndex, const std::string& aName)
{
  const std::string text = "\n" + Page(aIndex, "/metrics");
  const size_t found = text.find("\n" + aName + " ");
  return found == std::string::npos
           ? 0
           : std::stod(text.substr(found + aName.size() + 2));
}

bool
Deployment::SetFault(size_t aIndex, const std::string& aJson)
{
  httplib::Client client("http://" + m_vms[aIndex].targetHttp);
  auto reply = client.Post("/fault", aJson, "application/json");
  return reply && reply->status == 200;
}

// A daemon without a target is reached as the home of tickets, so that knowing
// all targets does not suffice.
bool
Deployment::WaitForPeers(std::chrono::milliseconds aLimit)
{
  auto end = std::chrono::steady_clock::now() + aLimit;
  for (size_t i = 0; i < m_vms.size();) {
    auto status = nlohmann::json::parse(Page(i, "/status"), nullptr, false);
    if (status.is_object() && status["peers"].size() + 1 == m_vms.size()) {
      ++i;
      continue;
    }
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

bool
Deployment::SetPlatformFault(const std::string& aJson)
{
  httplib::Client client("http://" + m_platformAddress);
  auto reply = client.Post("/v1/faults", aJson, "application/json");
  return reply && reply->status / 100 == 2;
}

bool
Deployment::WaitForTargets(size_t aCount, std::chrono::milliseconds aLimit)
{
  auto end = std::chrono::steady_clock::now() + aLimit;
  for (size_t i = 0; i < m_vms.size();) {
    if (m_vms[i].daemon->Wait(std::chrono::milliseconds(0))) {
      ++i;
      continue;
    }
    auto status = nlohmann::json::parse(Page(i, "/status"), nullptr, false);
    size_t seen = 0;
    auto runs = [](const nlohmann::json& aJson) -> size_t {
      return aJson["service"].get<std::string>().empty() ? 0 : 1;
    };
    if (status.is_object()) {
      seen = runs(status);
      for (const auto& peer : status["peers"]) {
        seen += runs(peer);
      }
    }
    if (seen == aCount) {
      ++i;
      continue;
    }
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
  }
  return true;
}

} // namespace wagtailbend::testing
