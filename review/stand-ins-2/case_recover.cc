// Half of the daemons are killed at the same moment while all clients read the
// same document.

#include <algorithm>
#include <atomic>
#include <csignal>
#include <mutex>
#include <thread>

#include "review/stand-ins-2/harness.h"

namespace wagtailbend::review {
namespace {

constexpr int64_t kBeforeMs = 5000;
constexpr int64_t kDownMs = 2000;
constexpr int64_t kRecoveryMs = 15000;
constexpr int64_t kAfterMs = 15000;
constexpr int kClientsPerMachine = 8;
constexpr int kDeadlineMs = 6000;
constexpr const char* kDocument = "/cjenik/get/season";
// A client that was refused asks again after this time, or later if told so.
constexpr int64_t kPauseMs = 300;
// Of the machines 0 to 3 run a server of the service, 4 to 11 of another one.
constexpr size_t kServers = 4;
constexpr size_t kMachines = 12;
// Share 0.5 of all machines, and of the servers' machines.
constexpr size_t kKilled[] = { 0, 1, 4, 5, 6, 7 };
constexpr double kServedShare = 0.25;

struct Share
{
  int asked = 0;
  int served = 0;

  double Served() const
  {
    return asked == 0 ? 0 : static_cast<double>(served) / asked;
  }
  std::string Describe() const
  {
    return std::to_string(served) + " of " + std::to_string(asked);
  }
};

/// Clients that ask again after a refusal, as told.
class Clients
{
public:
  explicit Clients(Fleet& aFleet)
    : m_fleet(aFleet)
  {
    for (size_t i = 0; i < aFleet.Size() * kClientsPerMachine; ++i) {
      m_threads.emplace_back([this, i] { Run(i); });
    }
  }

  ~Clients()
  {
    m_stopping = true;
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  Share Between(int64_t aFromMs, int64_t aToMs) const
  {
    const std::lock_guard lock(m_mutex);
    Share share;
    for (const Answer& answer : m_answers) {
      if (answer.sentMs < aFromMs || answer.sentMs >= aToMs) {
        continue;
      }
      ++share.asked;
      share.served += answer.status == 200 && answer.complete ? 1 : 0;
    }
    return share;
  }

private:
  void Run(size_t aClient)
  {
    while (!m_stopping) {
      ClientRequest request;
      request.path = kDocument;
      request.deadlineMs = kDeadlineMs;
      const Answer answer = m_fleet.Ask(aClient % m_fleet.Size(), request);
      m_fleet.Log().Line("client " + std::to_string(aClient) + " asked for " +
                         request.path + " and got " + answer.Describe());
      if (answer.status != 200) {
        SleepMs(std::max<int64_t>(
          kPauseMs, static_cast<int64_t>(answer.retryAfterS * 1000)));
      }
      const std::lock_guard lock(m_mutex);
      m_answers.push_back(answer);
    }
  }

  Fleet& m_fleet;
  std::atomic<bool> m_stopping{ false };
  mutable std::mutex m_mutex;
  std::vector<Answer> m_answers;
  std::vector<std::thread> m_threads;
};

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
  Clients clients(fleet);
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
  SleepMs(kRecoveryMs + kAfterMs);
  const Share before = clients.Between(startMs, faultMs);
  const Share after =
    clients.Between(backMs + kRecoveryMs, backMs + kRecoveryMs + kAfterMs);
  fleet.Log().Line("served before the fault: " + before.Describe());
  fleet.Log().Line("served later than 15 s after the machines are back: " +
                   after.Describe());
  if (before.Served() < kServedShare || after.asked == 0) {
    return kCouldNotRun;
  }
  return after.Served() < kServedShare ? kBroken : kHeld;
}

} // namespace
} // namespace wagtailbend::review

int
main(int aCount, char** aArguments)
{
  return aCount == 2 ? wagtailbend::review::Run(aArguments[1])
                     : wagtailbend::review::kCouldNotRun;
}
