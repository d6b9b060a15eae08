// All machines lose power. Their servers are slow for some seconds after they
// are back.

#include <csignal>
#include <thread>

#include <fmt/format.h>

#include "review/stand-ins-2/harness.h"

namespace wagtailbend::review {
namespace {

constexpr int kTimeoutMs = 800;
constexpr int kWorkMs = 375;
constexpr int kSpreadMs = 15;
constexpr int64_t kColdMs = 3000;
constexpr int64_t kBeforeMs = 5000;
constexpr int64_t kDownMs = 1200;
constexpr int kClientsPerMachine = 4;
constexpr int kDeadlineMs = 5000;
constexpr const char* kServices[] = { "balances", "settlements" };

/// Returns false if the machines do not come back.
bool
LosePower(Fleet& aFleet)
{
  std::vector<std::thread> ends;
  for (size_t i = 0; i < aFleet.Size(); ++i) {
    aFleet.SignalDaemon(i, SIGKILL);
    ends.emplace_back([&aFleet, i] { aFleet.ServerOf(i).End(); });
  }
  for (std::thread& end : ends) {
    end.join();
  }
  for (size_t i = 0; i < aFleet.Size(); ++i) {
    while (!aFleet.HasDaemonEnded(i)) {
      SleepMs(1);
    }
  }
  aFleet.Log().Line("all machines have lost power");
  SleepMs(kDownMs);
  for (size_t i = 0; i < aFleet.Size(); ++i) {
    aFleet.StartDaemon(i);
    if (!aFleet.RestartServer(i)) {
      return false;
    }
  }
  for (size_t i = 0; i < aFleet.Size(); ++i) {
    if (!aFleet.WaitReady(i, 10000)) {
      return false;
    }
  }
  return true;
}

int
Run(const std::string& aRecordPath)
{
  std::vector<MachinePlan> plans;
  for (const char* service : kServices) {
    for (const char* zone : { "ranong", "phuket" }) {
      plans.push_back({ service, zone });
    }
  }
  Fleet fleet(aRecordPath, plans);
  fleet.SetTimeoutMs(kTimeoutMs);
  for (size_t i = 0; i < fleet.Size(); ++i) {
    fleet.OptionsOf(i).workMs = kWorkMs;
    fleet.OptionsOf(i).spreadMs = kSpreadMs;
    fleet.OptionsOf(i).coldMs = kColdMs;
  }
  if (!fleet.Start()) {
    return kCouldNotRun;
  }
  const int64_t startMs = NowMs();
  Clients clients(fleet, kClientsPerMachine, [](size_t aClient, int aNumber) {
    ClientRequest request;
    request.path = fmt::format("/{}/get/{}-{}",
                               kServices[static_cast<size_t>(aNumber) % 2],
                               aClient,
                               aNumber);
    request.deadlineMs = kDeadlineMs;
    return request;
  });
  SleepMs(kBeforeMs);
  const int64_t faultMs = NowMs();
  if (WithTrouble() && !LosePower(fleet)) {
    return kCouldNotRun;
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
