// A deployment of real processes on loopback: one daemon and one fake target
// for each VM.
//
//   Deployment deployment("association", { { "association.Balances" } });
//   ASSERT_TRUE(deployment.Start());
//   Caller caller(deployment.At(0).customer);

#pragma once

#include <memory>
#include <string>
#include <vector>

#include "testing/process.h"

namespace wagtailbend::testing {

/// What a VM runs.
struct VmPlan
{
  /// Full service name of the target; "" for a daemon without a target.
  std::string service;
  /// More arguments of wagtail-fake-target.
  std::vector<std::string> targetArguments{};
  /// "": the same for all VMs.
  std::string failureDomain{};
};

struct DeploymentOptions
{
  /// "": without a platform.
  std::string platformUrl{};
  /// The daemons compile the schema themselves.
  bool schemaFile = true;
  /// Indices of the VMs whose gossip addresses all daemons know.
  std::vector<size_t> seeds{ 0 };
};

struct Vm
{
  VmPlan plan;
  std::string name;
  std::string customer;
  std::string peer;
  std::string egress;
  std::string http;
  std::string admin;
  std::string gossip;
  std::string target;
  std::string targetHttp;
  std::unique_ptr<Process> daemon;
  std::unique_ptr<Process> targetProcess;
};

class Deployment
{
public:
  /// aSchema is "association" or "vukovic".
  Deployment(const std::string& aSchema,
             std::vector<VmPlan> aPlans,
             DeploymentOptions aOptions = {});
  ~Deployment();

  /// Starts all processes and waits until every daemon knows every target and
  /// every other daemon.
  /// Returns false after 20 s.
  bool Start();
  /// Starts all processes and waits until each is ready.
  bool StartProcesses();
  /// Makes Start run a platform that all daemons use.
  void UsePlatform() { m_usePlatform = true; }
  /// Posts aJson to the fault switch of the platform. Returns false on failure.
  bool SetPlatformFault(const std::string& aJson);
  /// Exports the spans of all requests to aUrl. Call before Start.
  void TraceTo(const std::string& aUrl) { m_traceUrl = aUrl; }
  Vm& At(size_t aIndex) { return m_vms[aIndex]; }
  /// Posts aJson to the fault switch of the target. Returns false on failure.
  bool SetFault(size_t aIndex, const std::string& aJson);
  /// Calls that have reached the target so far.
  uint64_t Calls(size_t aIndex);
  /// Value of a line of the daemon's metrics page; 0 if it is missing.
  double Metric(size_t aIndex, const std::string& aName);
  /// Returns the body of a page of the daemon; "" on failure.
  std::string Page(size_t aIndex, const std::string& aPath);
  /// Waits until every running daemon sees aCount targets, its own included.
  bool WaitForTargets(size_t aCount, std::chrono::milliseconds aLimit);
  /// Starts the daemon of a VM, again if it had ended.
  void StartDaemon(size_t aIndex);
  /// Starts the target of a VM, again if it had ended.
  void StartTarget(size_t aIndex);
  const std::string& SchemaFile() const { return m_schema; }
  const std::string& Folder() const { return m_folder; }

private:
  bool WaitForPeers(std::chrono::milliseconds aLimit);

  DeploymentOptions m_options;
  std::string m_schema;
  std::string m_folder;
  std::string m_traceUrl;
  std::vector<Vm> m_vms;
  bool m_usePlatform = false;
  std::string m_platformAddress = FreeAddress();
  std::unique_ptr<Process> m_platform;
};

} // namespace wagtailbend::testing
