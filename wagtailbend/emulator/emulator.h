// Plays the load of a deployment in virtual time against the product's own
// decisions: queue at the target, levels, placement, return times, retries.
//
//   Emulator emulator(world, kProduct, seed);
//   Outcome outcome = emulator.Run();
//
// The same seed gives the same outcome. What the product does with sockets and
// processes is left out; what it decides is the code that the daemon runs.

#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <vector>

#include "wagtailbend/base/rng.h"
#include "wagtailbend/base/time.h"
#include "wagtailbend/emulator/world.h"
#include "wagtailbend/exchange/retry_budget.h"
#include "wagtailbend/exchange/service_levels.h"
#include "wagtailbend/gate/target_queue.h"
#include "wagtailbend/placement/placement.h"
#include "wagtailbend/quarantine/quarantine_list.h"

namespace wagtailbend::emulator {

/// Which of the product's decisions are in use; the rest of them is replaced by
/// the plain way.
struct Policy
{
  /// Callers reject by the levels that the services report.
  bool levels = true;
  /// Work at the target is ordered and rejected by TargetQueue; otherwise
  /// first come, first served, with a queue as long as the slots.
  bool ordered = true;
  /// Targets are chosen by expected time; otherwise at random.
  bool placed = true;
  /// Customers are told when to come back; otherwise they come back at once.
  bool spread = true;
  /// Customers who come back are known: they go before new ones, and their
  /// time counts from their first arrival.
  bool remembered = true;
  /// Repeats at targets that reject go to important requests first; otherwise
  /// to whoever asks while the allowance lasts.
  bool rationed = true;
  /// Requests that were running when targets crashed run a few at a time, and
  /// are rejected after two crashes; otherwise they are sent on like others.
  bool quarantined = true;

  bool operator==(const Policy&) const = default;
};

inline constexpr Policy kProduct{};
inline constexpr Policy kPlain{
  false, false, false, false, false, false, false
};

struct RouteOutcome
{
  uint32_t offered = 0;
  uint32_t onTime = 0;
  uint32_t late = 0;
  uint32_t rejected = 0;
  uint32_t failed = 0;

  double ServedShare() const
  {
    return offered == 0 ? 1.0 : static_cast<double>(onTime + late) / offered;
  }
  bool operator==(const RouteOutcome&) const = default;
};

struct Outcome
{
  /// By route; customers' requests only, each counted once.
  std::vector<RouteOutcome> routes;
  /// Value of the answers, as a share of the value of all requests.
  double value = 0;
  /// Slot time of runs that ended without an answer, as a share of all.
  double wasted = 0;
  /// Crashes of targets by requests.
  uint32_t crashes = 0;

  bool operator==(const Outcome&) const = default;
};

/// Not thread-safe. Run is called once.
class Emulator
{
public:
  Emulator(const World& aWorld, const Policy& aPolicy, uint64_t aSeed);
  ~Emulator();
  Emulator(const Emulator&) = delete;
  Emulator& operator=(const Emulator&) = delete;

  Outcome Run();

private:
  struct Vm;
  struct Request;
  using RequestPtr = std::shared_ptr<Request>;
  using Action = std::function<void()>;
  struct Event
  {
    TimePoint at;
    uint64_t sequence = 0;
    Action action;
    bool operator>(const Event& aOther) const
    {
      return std::pair(at, sequence) > std::pair(aOther.at, aOther.sequence);
    }
  };
  /// What a caller gets.
  enum class Ending : uint8_t
  {
    kAnswered,
    /// Not run.
    kRejected,
    kFailed,
  };

  void At(TimePoint aTime, Action aAction);
  void BuildVms();
  void ScheduleArrivals();
  void ScheduleLimits();
  void ScheduleCrashingRequests();
  void SendCrashingRequest(const CrashingRequest& aCrashing, size_t aVm);
  bool IsQuarantined(size_t aVm, const Request& aRequest) const;
  /// Returns false if the request was rejected or has to wait.
  bool BeginRun(const RequestPtr& aRequest);
  void RunWaitingSuspects(Vm& aVm);
  void CrashTarget(Vm& aVm, Duration aRestart);
  void OnCrashDetected(Vm& aVm, const std::vector<RequestPtr>& aRunning);
  void SendSuspects(const Vm& aFrom,
                    const std::vector<quarantine::SuspectEntry>& aEntries);
  void SetLimit(const RateLimit& aLimit, std::optional<double> aPerSecond);
  double RateFactor(TimePoint aTime) const;
  void Customer(size_t aRoute, size_t aVm, TimePoint aFirst, uint32_t aReturns);
  void CustomerEnds(const RequestPtr& aRequest, Ending aEnding);
  RequestPtr MakeRequest(size_t aRoute, size_t aVm, TimePoint aFirst);
  bool Admitted(Request& aRequest);
  void Place(const RequestPtr& aRequest);
  std::vector<placement::Candidate> Candidates(const Request& aRequest,
                                               std::vector<size_t>& aVms) const;
  void Arrive(const RequestPtr& aRequest);
  void Begin(const RequestPtr& aRequest);
  const std::string& ServiceName(const Request& aRequest) const;
  void Offer(const RequestPtr& aRequest);
  bool IsShed(const Vm& aVm);
  exchange::RetryClaim ClaimOf(const Request& aRequest) const;
  bool TryTakeRetry(exchange::RetryBudget& aAllowance, const Request& aRequest);
  void ShedByTarget(const RequestPtr& aRequest);
  void NextCall(const RequestPtr& aRequest);
  void Work(const RequestPtr& aRequest);
  void Leave(const RequestPtr& aRequest, Ending aEnding);
  void Rejected(const RequestPtr& aRequest);
  void Advance(Vm& aVm);
  void Reply(const RequestPtr& aRequest, Ending aEnding);
  void Report(const Request& aRequest);
  bool KnowsUnlimitedTarget(const Vm& aVm, size_t aService) const;
  Duration Delay(size_t aFrom, size_t aTo) const;
  double LevelOf(Vm& aVm, size_t aRoute, size_t aClass);

  const World m_world;
  const Policy m_policy;
  Rng m_rng;
  TimePoint m_now;
  uint64_t m_sequence = 0;
  uint64_t m_nextId = 0;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
  std::vector<std::unique_ptr<Vm>> m_vms;
  Outcome m_outcome;
  double m_usefulSlotTime = 0;
  double m_slotTime = 0;
};

} // namespace wagtailbend::emulator
