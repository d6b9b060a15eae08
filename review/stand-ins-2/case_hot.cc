// Half of the daemons are killed at the same moment while all clients read the
// same document.

#include <csignal>

#include "review/stand-ins-2/harness.h"

namespace wagtailbend::review {
namespace {

constexpr int64_t kBeforeMs = 5000;
constexpr int64_t kDownMs = 2000;
constexpr int kClientsPerMachine = 8;
constexpr int kDeadlineMs = 6000;
constexpr const char* kDocument = "/cjenik/get/season";
// Of the machines 0 to 3 run a server of the service, 4 to 11 of another one.
constexpr size_t kServers = 4;
constexpr size_t kMachines = 12;
// Share 0.5 of all machines, and of the servers' machines.
constexpr size_t kKilled[] = { 0, 1, 4, 5, 6, 7 };

int
Run(const std::string& aRecordPath)
{
  std::vector<MachinePlan> plans;
  for (size_t i = 0; i < kMachines; ++i) {
    plans.push_back({ i < kServers ? "cjenik" : "narudzbe",
                      i % 2 == 0 ? "ranong" : "phuket" });
  }
  Fleet fleet(aRecordPath, plans);
  for (size_t i = 0; i < kServers; ++i) {
    fleet.OptionsOf(i).workMs = 300;
  }
  if (!fleet.Start()) {
    return kCouldNotRun;
  }
  const int64_t startMs = NowMs();
  Clients clients(fleet, kClientsPerMachine, [](size_t, int) {
    ClientRequest request;
    request.path = kDocument;
    request.deadlineMs = kDeadlineMs;
    return request;
  });
  SleepMs(kBeforeMs);
  const int64_t faultMs = NowMs();
  if (WithTrouble()) {
    for (const size_t machine : kKilled) {
      fleet.SignalDaemon(machine, SIGKILL);
    }
    for (const size_t machine : kKilled) {
      while (!fleet.HasDaemonEnded(machine)) {
        SleepMs(1);
      }
    }
    SleepMs(kDownMs);
    for (const size_t machine : kKilled) {
      fleet.StartDaemon(machine);
    }
    for (const size_t machine : kKilled) {
      if (!fleet.WaitReady(machine, 10000)) {
        return kCouldNotRun;
      }
    }
  }
  const int64_t backMs = NowMs();
  fleet.Log().Line("all machines are back and ready");
  return CheckRecovery(fleet, clients, startMs, faultMs, backMs);
}

} // namespace
} // namespace wagtailbend::review

int
main(int aCount, char** aArguments)
{
  return aCount == 2 ? wagtailbend::review::Run(aArguments[1])
                     : wagtailbend::review::kCouldNotRun;
}
