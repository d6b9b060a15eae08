// A planned stop of a daemon while its clients read large responses slowly.

#include <csignal>
#include <mutex>
#include <thread>

#include "review/stand-ins-2/harness.h"

namespace wagtailbend::review {
namespace {

constexpr size_t kResponseBytes = 15UL << 20;
// Each client has read its response 5 s after it asked, 1.7 s before the grace
// period ends.
constexpr size_t kReadBytesPerSecond = 3UL << 20;
constexpr int kDeadlineMs = 10000;
constexpr int kClients = 3;
// One response is ready before the next is asked for.
constexpr int64_t kBetweenClientsMs = 150;
constexpr size_t kStopped = 1;
constexpr int64_t kStopAfterMs = 300;
constexpr int64_t kGracePeriodMs = 6000;

int
Run(const std::string& aRecordPath)
{
  Fleet fleet(aRecordPath,
              { { "ledgers", "ranong" },
                { "payouts", "ranong" },
                { "ledgers", "phuket" } });
  fleet.OptionsOf(0).responseBytes = kResponseBytes;
  fleet.OptionsOf(2).responseBytes = kResponseBytes;
  if (!fleet.Start()) {
    return kCouldNotRun;
  }
  std::mutex mutex;
  int cut = 0;
  int failed = 0;
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      ClientRequest request;
      request.path = "/ledgers/file/" + std::to_string(i);
      request.deadlineMs = kDeadlineMs;
      request.readBytesPerSecond = kReadBytesPerSecond;
      const Answer answer = fleet.Ask(kStopped, request);
      fleet.Log().Line("client got " + answer.Describe());
      const std::lock_guard lock(mutex);
      cut += answer.isSigned && !answer.complete ? 1 : 0;
      failed += answer.isSigned ? 0 : 1;
    });
    SleepMs(kBetweenClientsMs);
  }
  SleepMs(kStopAfterMs);
  const int64_t stoppedMs = NowMs();
  if (WithTrouble()) {
    fleet.SignalDaemon(kStopped, SIGTERM);
    while (!fleet.HasDaemonEnded(kStopped) &&
           NowMs() < stoppedMs + kGracePeriodMs) {
      SleepMs(10);
    }
    fleet.Log().Line("the daemon ended " + std::to_string(NowMs() - stoppedMs) +
                     " ms after SIGTERM");
  }
  for (std::thread& client : clients) {
    client.join();
  }
  fleet.Log().Line(
    "complete answers cut off: " + std::to_string(cut) +
    ", without an answer of the server: " + std::to_string(failed));
  if (failed > 0) {
    return kCouldNotRun;
  }
  return cut > 0 ? kBroken : kHeld;
}

} // namespace
} // namespace wagtailbend::review

int
main(int aCount, char** aArguments)
{
  return aCount == 2 ? wagtailbend::review::Run(aArguments[1])
                     : wagtailbend::review::kCouldNotRun;
}
