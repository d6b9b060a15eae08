#include "review/common/fleet.h"

#include <cstdlib>
#include <filesystem>
#include <set>
#include <utility>

#include <unistd.h>

#include <nlohmann/json.hpp>

#include "wagtailbend/base/rng.h"

namespace wagtailbend::review {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// The command of the deploy file, run in the repository's root.
constexpr const char* kDaemon = "target/bin/wagtaild-http";
constexpr const char* kSettingsVariable = "WAGTAILBEND_SETTINGS";

// Ports of a machine, as offsets from the base port.
constexpr int kReady = 1;
constexpr int kControl = 2;
constexpr int kServer = 3;
constexpr int kInternal = 4;
constexpr int kPortsPerMachine = 20;
// Below the ports that the system hands out.
constexpr int kFirstPort = 12000;
constexpr int kPortRanges = 900;
constexpr int kWaitMs = 20000;
constexpr int kPollMs = 50;

/// Returns a base port at which the first machine's ports are free.
int
FindBasePort()
{
  for (int tries = 0; tries < kPortRanges; ++tries) {
    const int base =
      kFirstPort + kPortsPerMachine *
                     static_cast<int>(UniformBelow(ThreadRng(), kPortRanges));
    bool isFree = true;
    for (int offset = 0; offset < kPortsPerMachine && isFree; ++offset) {
      const int descriptor = ListenOn("0.0.0.0", base + offset);
      isFree = descriptor >= 0;
      Connection(descriptor).Close();
    }
    if (isFree) {
      return base;
    }
  }
  return kFirstPort;
}

} // namespace

Fleet::Fleet(std::vector<MachinePlan> aPlans, Record& aRecord)
  : m_record(aRecord)
  , m_basePort(FindBasePort())
{
  std::string pattern =
    std::filesystem::temp_directory_path() / "wagtailbend-review-XXXXXX";
  m_folder = mkdtemp(pattern.data());
  for (MachinePlan& plan : aPlans) {
    Machine machine;
    machine.plan = std::move(plan);
    machine.host = "127.0.4." + std::to_string(m_machines.size() + 1);
    machine.settingsFile = m_folder + "/" + machine.host + ".conf";
    m_machines.push_back(std::move(machine));
  }
}

Fleet::~Fleet()
{
  for (Machine& machine : m_machines) {
    machine.daemon.reset();
    machine.server.reset();
  }
  std::error_code ignored;
  std::filesystem::remove_all(m_folder, ignored);
}

std::string
Fleet::SettingsOf(const Machine& aMachine) const
{
  const auto address = [this, &aMachine](int aOffset) {
    return aMachine.host + ":" + std::to_string(m_basePort + aOffset) + "\n";
  };
  return "SelfNode.NodeName=sidecar-" + aMachine.host +
         "\nSelfNode.Role=wagtaild\nSelfNode.MachineClass=sidecar"
         "\nSelfNode.Serves=sidecar\nSelfNode.Ip=" +
         aMachine.host + "\nSelfNode.Zone=" + aMachine.plan.zone +
         "\nSelfNode.Region=andaman\nSelfNode.Bootstrap=true"
         "\nSelfNode.Limits.CpuShare=0.4\nSelfNode.Limits.Cores=1"
         "\nSelfNode.Limits.MemoryMb=" +
         std::to_string(kMemoryMb) +
         "\nSelfNode.Limits.FileDescriptors=4100"
         "\nSelfNode.Limits.LinkMbps=1000.0\nSelfNode.Limits.DiskMb=0"
         "\nSelfNode.Service=" +
         aMachine.plan.service + "\nSelfNode.AppAddress=" + address(kServer) +
         "Network.Listen.Outbound=" + address(0) +
         "Network.Listen.Ready=" + address(kReady) +
         "Network.Listen.Control=" + address(kControl) +
         "Network.InternalPortRange=" + std::to_string(m_basePort + kInternal) +
         "," + std::to_string(m_basePort + kPortsPerMachine - 1) +
         "\nNetwork.SeedNodes=\nNetwork.Zones.ranong=andaman"
         "\nNetwork.Zones.phuket=andaman\nPlatform.Discovery=local"
         "\nPlatform.Entry=local\nPlatform.HeartbeatIntervalMs=500"
         "\nPlatform.Platform.Address=" +
         m_store.Address() +
         "\nTerms.Bounds.StableWindowMs=4000\nTerms.Bounds.DrainMs=2500"
         "\nTerms.Bounds.GracePeriodS=" +
         std::to_string(kGracePeriodS) +
         "\nTerms.Bounds.LossSlackMs=200\nTerms.Bounds.ConfigApplyMs=2500"
         "\nTerms.Bounds.RetryBudgetRatio=0.2\nTerms.Bounds.BudgetWindowS=10"
         "\nTerms.Bounds.BudgetExtraRetries=49\n";
}

std::string
Fleet::ConfigOf(const std::vector<RoutePlan>& aRoutes) const
{
  Json routes = Json::array();
  for (const RoutePlan& route : aRoutes) {
    routes.push_back(Json::array({ route.name,
                                   kHost,
                                   route.prefix,
                                   route.kind,
                                   route.timeoutMs,
                                   route.targetLatencyMs,
                                   route.priority,
                                   route.service,
                                   2 }));
  }
  std::set<std::string> names;
  for (const Machine& machine : m_machines) {
    names.insert(machine.plan.service);
  }
  Json services = Json::array();
  for (const std::string& name : names) {
    services.push_back(Json::array({ name, "/health", 900 }));
  }
  const Json config = {
    { "Version", 3 },
    { "Routes",
      { { "Columns",
          { "Name",
            "Host",
            "Prefix",
            "Kind",
            "TimeoutMs",
            "TargetLatencyMs",
            "Priority",
            "Service",
            "MaxAttempts" } },
        { "Rows", routes } } },
    { "Services",
      { { "Columns", { "Name", "HealthCheckPath", "ConnectionLimit" } },
        { "Rows", services } } },
    { "Limits",
      { { "MaxHeaderBytes", 16384 },
        { "MaxBodyBytes", 67108864 },
        { "HeaderTimeoutMs", 3000 },
        { "IdleTimeoutMs", 15000 } } }
  };
  return config.dump();
}

void
Fleet::StartDaemon(size_t aMachine)
{
  Machine& machine = m_machines[aMachine];
  machine.daemon.reset();
  setenv(kSettingsVariable, machine.settingsFile.c_str(), 1);
  machine.daemon = std::make_unique<wagtailbend::testing::Process>(
    std::vector<std::string>{ kDaemon });
  m_record.Add("daemon of " + machine.host + " started, process " +
               std::to_string(machine.daemon->Id()));
}

bool
Fleet::Start(const std::vector<RoutePlan>& aRoutes)
{
  if (access(kDaemon, X_OK) != 0 || !m_store.Start("127.0.0.1")) {
    return false;
  }
  m_store.PutConfig(ConfigOf(aRoutes));
  for (size_t i = 0; i < m_machines.size(); ++i) {
    Machine& machine = m_machines[i];
    std::ofstream(machine.settingsFile) << SettingsOf(machine);
    StartDaemon(i);
    machine.server = std::make_unique<Server>(
      ServerOptions{ .service = machine.plan.service,
                     .host = machine.host,
                     .port = m_basePort + kServer,
                     .controlPort = m_basePort + kControl,
                     .zone = machine.plan.zone },
      m_record);
    if (!machine.server->Start()) {
      return false;
    }
  }
  for (size_t i = 0; i < m_machines.size(); ++i) {
    int waited = 0;
    for (; !IsReady(i) && waited < kWaitMs; waited += kPollMs) {
      std::this_thread::sleep_for(milliseconds(kPollMs));
    }
    if (waited >= kWaitMs) {
      return false;
    }
  }
  return WaitUntilServed(aRoutes);
}

bool
Fleet::WaitUntilServed(const std::vector<RoutePlan>& aRoutes) const
{
  for (const Machine& machine : m_machines) {
    for (const RoutePlan& route : aRoutes) {
      int status = 0;
      for (int waited = 0; status != 200 && waited < kWaitMs;
           waited += kPollMs) {
        Connection connection = Connection::To(machine.host, m_basePort, 0);
        const std::string id = MakeAttemptId();
        if (connection.IsOpen() &&
            connection.SendAll(
              MakeRequest("GET", route.prefix + "start", id, 2000))) {
          const auto head =
            connection.ReadHead(Clock::now() + milliseconds(2500));
          status = head ? head->Status() : 0;
        }
        if (status != 200) {
          std::this_thread::sleep_for(milliseconds(kPollMs));
        }
      }
      if (status != 200) {
        return false;
      }
    }
  }
  return true;
}

bool
Fleet::IsReady(size_t aMachine) const
{
  Connection connection =
    Connection::To(m_machines[aMachine].host, m_basePort + kReady, 0);
  if (!connection.IsOpen() ||
      !connection.SendAll("GET /v1/readiness HTTP/1.1\r\nHost: d\r\n\r\n")) {
    return false;
  }
  const auto head = connection.ReadHead(Clock::now() + milliseconds(1000));
  return head && head->Status() == 200;
}

std::vector<Run>
Fleet::Runs() const
{
  std::vector<Run> runs;
  for (const Machine& machine : m_machines) {
    const std::vector<Run> some = machine.server->Runs();
    runs.insert(runs.end(), some.begin(), some.end());
  }
  return runs;
}

void
Fleet::RecordRuns() const
{
  for (const Run& run : Runs()) {
    m_record.Add("ran " + run.id + " " + run.path + " from " +
                 std::to_string(run.startedMs) + " ms, answered at " +
                 std::to_string(run.answeredMs) + " ms");
  }
}

std::string
MakeRequest(const std::string& aMethod,
            const std::string& aPath,
            const std::string& aId,
            int aDeadlineMs,
            const std::string& aBody)
{
  std::string text = aMethod + " " + aPath + " HTTP/1.1\r\nHost: " + kHost +
                     "\r\nAttempt-Id: " + aId + "\r\nDeadline-Milliseconds: " +
                     std::to_string(aDeadlineMs) + "\r\n";
  if (aMethod == "POST") {
    text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  }
  return text + "\r\n" + aBody;
}

std::string
MakeAttemptId()
{
  return "a" + std::to_string(ThreadRng()());
}

bool
IsTroubleWanted()
{
  const char* wanted = std::getenv("TROUBLE");
  return wanted == nullptr || std::string(wanted) != "0";
}

} // namespace wagtailbend::review
