// Clients read large responses slowly. A stand-in for the platform kills each
// daemon that exceeds its memory limit, and starts it again.

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <memory>
#include <thread>

#include "review/stand-ins-2/harness.h"

namespace wagtailbend::review {
namespace {

constexpr uint64_t kMemoryLimit = 260UL << 20;
constexpr size_t kResponseBytes = 8UL << 20;
// Each client has its whole response 8 s after it asked.
constexpr size_t kReadBytesPerSecond = 1UL << 20;
constexpr int kDeadlineMs = 10000;
constexpr int kClientsPerMachine = 40;
constexpr int64_t kBetweenClientsMs = 60;
constexpr int kRounds = 3;
constexpr int64_t kRestartDelayMs = 500;
// The machines whose clients ask; they run no server of the service.
constexpr std::array<size_t, 2> kMachines = { 2, 3 };

/// The clients of one machine in one round.
class Clients
{
public:
  Clients(Fleet& aFleet, size_t aMachine)
  {
    for (int i = 0; i < kClientsPerMachine; ++i) {
      m_threads.emplace_back([this, &aFleet, aMachine, i] {
        SleepMs(i * kBetweenClientsMs);
        ClientRequest request;
        request.path = "/ledgers/file/" + std::to_string(i);
        request.deadlineMs = kDeadlineMs;
        request.readBytesPerSecond = WithTrouble() ? kReadBytesPerSecond : 0;
        const Answer answer = aFleet.Ask(aMachine, request);
        aFleet.Log().Line("client of machine " + std::to_string(aMachine) +
                          " got " + answer.Describe());
        m_cut += answer.isSigned && !answer.complete ? 1 : 0;
        ++m_done;
      });
    }
  }

  ~Clients()
  {
    for (std::thread& thread : m_threads) {
      thread.join();
    }
  }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  bool AreDone() const { return m_done == kClientsPerMachine; }
  int Cut() const { return m_cut; }

private:
  std::atomic<int> m_done{ 0 };
  std::atomic<int> m_cut{ 0 };
  std::vector<std::thread> m_threads;
};

int
Run(const std::string& aRecordPath)
{
  Fleet fleet(aRecordPath,
              { { "ledgers", "ranong" },
                { "ledgers", "phuket" },
                { "payouts", "ranong" },
                { "payouts", "phuket" } });
  fleet.OptionsOf(0).responseBytes = kResponseBytes;
  fleet.OptionsOf(1).responseBytes = kResponseBytes;
  if (!fleet.Start()) {
    return kCouldNotRun;
  }
  std::array<int, kMachines.size()> kills{};
  int cut = 0;
  uint64_t most = 0;
  for (int round = 0; round < kRounds; ++round) {
    std::array<std::unique_ptr<Clients>, kMachines.size()> clients;
    std::array<int64_t, kMachines.size()> restartMs{};
    for (size_t i = 0; i < kMachines.size(); ++i) {
      clients[i] = std::make_unique<Clients>(fleet, kMachines[i]);
    }
    while (!std::all_of(clients.begin(), clients.end(), [](const auto& aPart) {
      return aPart->AreDone();
    })) {
      for (size_t i = 0; i < kMachines.size(); ++i) {
        const uint64_t memory = fleet.DaemonMemory(kMachines[i]);
        most = std::max(most, memory);
        if (restartMs[i] == 0 && memory > kMemoryLimit) {
          fleet.Log().Line(
            "machine " + std::to_string(kMachines[i]) +
            " exceeds its memory: " + std::to_string(memory >> 20) + " MB");
          fleet.SignalDaemon(kMachines[i], SIGKILL);
          ++kills[i];
          restartMs[i] = NowMs() + kRestartDelayMs;
        }
      }
      SleepMs(10);
    }
    for (size_t i = 0; i < kMachines.size(); ++i) {
      cut += clients[i]->Cut();
      if (restartMs[i] == 0) {
        continue;
      }
      while (!fleet.HasDaemonEnded(kMachines[i]) || NowMs() < restartMs[i]) {
        SleepMs(1);
      }
      fleet.StartDaemon(kMachines[i]);
      if (!fleet.WaitReady(kMachines[i], 10000)) {
        return kCouldNotRun;
      }
    }
  }
  fleet.Log().Line("most memory: " + std::to_string(most >> 20) +
                   " MB, processes ended: " + std::to_string(kills[0]) +
                   " and " + std::to_string(kills[1]) +
                   ", answers cut off: " + std::to_string(cut));
  return kills[0] >= kRounds && kills[1] >= kRounds ? kBroken : kHeld;
}

} // namespace
} // namespace wagtailbend::review

int
main(int aCount, char** aArguments)
{
  return aCount == 2 ? wagtailbend::review::Run(aArguments[1])
                     : wagtailbend::review::kCouldNotRun;
}
