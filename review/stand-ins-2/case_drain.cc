// A server leaves while the store is down, and the daemons are killed before
// the leave is stored.

#include <algorithm>
#include <csignal>
#include <map>

#include "review/stand-ins-2/harness.h"

namespace wagtailbend::review {
namespace {

using users_platform::testing::StoreFault;

constexpr int64_t kStoreDownMs = 4500;
constexpr int64_t kKilledAfterLeaveMs = 500;
constexpr int64_t kRestartDelayMs = 1000;
constexpr int64_t kLateBeatMs = 300;
constexpr int64_t kDrainMs = 2500;
constexpr int64_t kStableWindowMs = 4000;
// The server goes on serving for so long after the store is back.
constexpr int64_t kServesOnMs = 8000;

int
Run(const std::string& aRecordPath)
{
  Fleet fleet(aRecordPath,
              { { "payouts", "ranong" },
                { "payouts", "phuket" },
                { "ledgers", "ranong" },
                { "ledgers", "phuket" } });
  fleet.OptionsOf(0).workMs = 100;
  fleet.OptionsOf(1).workMs = 100;
  if (!fleet.Start()) {
    return kCouldNotRun;
  }
  SleepMs(2000);
  Server& server = fleet.ServerOf(0);
  const int64_t downMs = NowMs();
  if (WithTrouble()) {
    fleet.Log().Line("the store answers 503");
    fleet.Store().SetFault(StoreFault::kBusy);
  }
  SleepMs(500);
  const bool acknowledged = server.Leave();
  const int64_t leftMs = NowMs();
  fleet.Log().Line(acknowledged ? "the leave of server 0 is acknowledged"
                                : "the leave of server 0 isn't acknowledged");
  if (!acknowledged) {
    return kHeld;
  }
  SleepMs(kKilledAfterLeaveMs);
  if (WithTrouble()) {
    for (size_t i = 0; i < fleet.Size(); ++i) {
      fleet.SignalDaemon(i, SIGKILL);
    }
    for (size_t i = 0; i < fleet.Size(); ++i) {
      while (!fleet.HasDaemonEnded(i)) {
        SleepMs(1);
      }
    }
    SleepMs(kRestartDelayMs);
    for (size_t i = 0; i < fleet.Size(); ++i) {
      fleet.StartDaemon(i);
    }
  }
  SleepMs(downMs + kStoreDownMs - NowMs());
  fleet.Store().SetFault(StoreFault::kNone);
  const int64_t backMs = NowMs();
  fleet.Log().Line("the store answers");
  SleepMs(kLateBeatMs);
  fleet.Log().Line("a heartbeat that server 0 sent before its leave arrives");
  server.SendLateBeat();
  std::map<int, int> statuses;
  for (int i = 0; NowMs() < backMs + kServesOnMs; ++i) {
    ClientRequest request;
    request.method = "POST";
    request.path = "/payouts/post/" + std::to_string(i);
    request.body = "order";
    const Answer answer =
      fleet.Ask(static_cast<size_t>(i) % fleet.Size(), request);
    ++statuses[answer.status];
    fleet.Log().Line("client got " + answer.Describe());
    SleepMs(20);
  }
  // Requests count if the machines have been in touch for long enough.
  const size_t late =
    server.RunsSince(std::max(leftMs + kDrainMs, backMs + kStableWindowMs))
      .size();
  for (const auto& [status, count] : statuses) {
    fleet.Log().Line("status " + std::to_string(status) + ": " +
                     std::to_string(count));
  }
  fleet.Log().Line("orders that reached server 0 too late: " +
                   std::to_string(late));
  return late > 0 ? kBroken : kHeld;
}

} // namespace
} // namespace wagtailbend::review

int
main(int aCount, char** aArguments)
{
  return aCount == 2 ? wagtailbend::review::Run(aArguments[1])
                     : wagtailbend::review::kCouldNotRun;
}
