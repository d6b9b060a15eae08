#include "wagtailbend/emulator/emulator.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numbers>
#include <unordered_map>

#include "wagtailbend/exchange/rejected_clients.h"
#include "wagtailbend/exchange/retry_after.h"

namespace wagtailbend::emulator {
namespace {

constexpr TimePoint kBegin{ std::chrono::seconds(1000) };
constexpr Duration kTick = std::chrono::milliseconds(20);
// Rejections by daemons before a request is rejected; as at the entry.
constexpr uint32_t kMaxRejections = 3;
// Share by which one report moves what a daemon knows; as in the daemon.
// Weight of one outcome in the share of failures; as in the daemon.
constexpr double kFailureSampleShare = 0.03;
// Spread of the work of one route.
constexpr double kWorkSigma = 0.35;
constexpr double kLateValue = 0.3;
constexpr double kRetryRatio = 0.2;
constexpr uint32_t kRetryExtra = 50;
// Parts of the bound at the entry and beside the target; as in the daemon.
constexpr double kEntryRetryPart = 0.3;
constexpr double kTargetRetryPart = 0.55;
// Times that one target is sent a request which it rejected; as in the daemon.
constexpr uint32_t kMaxRepeats = 1;
constexpr uint32_t kMaxImportantRepeats = 4;
// Targets that one request may be sent to.
constexpr size_t kMaxAttempts = 2;
// Time from the crash of a target until its daemon knows of it; as in the
// daemon.
constexpr Duration kCrashDetectionTime = std::chrono::milliseconds(50);
// Crash suspects that run at one target at a time; as in the daemon.
constexpr size_t kMaxConcurrentTrials = 4;
// Time in which a target rejects, with the message to it on the same VM.
constexpr Duration kShedTime = std::chrono::milliseconds(1);

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace

/// A VM: the daemon's view of the others, and the target.
struct Emulator::Vm
{
  struct Known
  {
    gate::QueueLoad load;
    double failureShare = 0;
    TimePoint at = kBegin;
    uint32_t sentSince = 0;
    std::unordered_map<size_t, Duration> runs;
  };

  explicit Vm(size_t aIndex)
    : index(aIndex)
    , self{ { std::to_string(aIndex), 1 } }
    , suspects(self.front(),
               { .lifetime = std::chrono::minutes(2),
                 .maxConcurrentTrials = kMaxConcurrentTrials })
    , retries({ kRetryRatio, kRetryExtra, kEntryRetryPart })
    , targetRetries({ kRetryRatio, kRetryExtra, kTargetRetryPart })
  {
  }

  size_t index = 0;
  /// The daemons that may run trials here.
  std::vector<DaemonId> self;
  quarantine::QuarantineList suspects;
  std::vector<RequestPtr> waitingSuspects;
  std::map<uint64_t, RequestPtr> running;
  /// The target is down until then.
  TimePoint downUntil{};
  size_t domain = 0;
  size_t service = 0;
  double speed = 1;
  gate::TargetQueue queue;
  /// First come, first served, for the plain policy.
  std::deque<RequestPtr> line;
  uint32_t busy = 0;
  std::unordered_map<uint64_t, RequestPtr> requests;
  /// By route.
  std::map<size_t, exchange::ServiceLevels> levels;
  std::vector<Known> known;
  exchange::RetryBudget retries;
  exchange::RetryBudget targetRetries;
  /// See LoadReport::failureShare.
  double failureShare = 0;
};

struct Emulator::Request
{
  uint64_t id = 0;
  size_t route = 0;
  size_t entry = 0;
  size_t target = 0;
  TimePoint first;
  TimePoint arrived;
  TimePoint deadline;
  TimePoint clientDeadline;
  TimePoint objective;
  uint32_t priority = 0;
  uint32_t rank = 0;
  uint32_t returns = 0;
  uint32_t rejections = 0;
  /// Rejections by the present target.
  uint32_t shed = 0;
  /// Targets that the request was sent to.
  size_t arrivals = 0;
  std::vector<size_t> tried;
  RequestPtr parent;
  bool nested = false;
  bool running = false;
  bool ended = false;
  TimePoint startedAt;
  size_t call = 0;
  uint32_t callTimes = 0;
  double level = 1;
  /// Restart time of the targets that it crashes; 0: it crashes none.
  Duration crashRestart{};
  uint64_t fingerprint = 0;
  bool mayHaveRun = false;
  std::function<void(Ending)> done;
};

Emulator::Emulator(const World& aWorld, const Policy& aPolicy, uint64_t aSeed)
  : m_world(aWorld)
  , m_policy(aPolicy)
  , m_rng(aSeed)
  , m_now(kBegin)
{
  m_outcome.routes.resize(m_world.routes.size());
}

Emulator::~Emulator() = default;

void
Emulator::At(TimePoint aTime, Action aAction)
{
  m_events.push({ std::max(aTime, m_now), ++m_sequence, std::move(aAction) });
}

void
Emulator::BuildVms()
{
  for (size_t service = 0; service < m_world.services.size(); ++service) {
    const Service& spec = m_world.services[service];
    size_t made = 0;
    for (size_t domain = 0; domain < m_world.domains.size(); ++domain) {
      for (uint32_t i = 0; i < spec.perDomain; ++i) {
        auto vm = std::make_unique<Vm>(m_vms.size());
        vm->domain = domain;
        vm->service = service;
        vm->speed = spec.speeds[made++ % spec.speeds.size()];
        vm->queue.SetSlots(spec.slots);
        m_vms.push_back(std::move(vm));
      }
    }
  }
  for (const auto& vm : m_vms) {
    vm->known.resize(m_vms.size());
    vm->retries.SetDaemons(m_vms.size());
    vm->targetRetries.SetDaemons(m_vms.size());
    for (size_t i = 0; i < m_vms.size(); ++i) {
      vm->known[i].load = m_vms[i]->queue.CurrentLoad(m_now);
    }
  }
}

double
Emulator::RateFactor(TimePoint aTime) const
{
  const Duration passed = aTime - kBegin;
  const double turn = Seconds(passed) / Seconds(m_world.swingPeriod);
  double factor = 1.0 + m_world.swing * std::sin(2.0 * std::numbers::pi * turn);
  for (const Surge& surge : m_world.surges) {
    if (passed >= surge.begin && passed < surge.end) {
      factor *= surge.factor;
    }
  }
  return factor;
}

void
Emulator::ScheduleArrivals()
{
  for (size_t route = 0; route < m_world.routes.size(); ++route) {
    const double rate = m_world.routes[route].perSecond;
    if (rate <= 0) {
      continue;
    }
    TimePoint at = kBegin;
    while (at < kBegin + m_world.length) {
      const double gap = -std::log(1.0 - UniformUnit(m_rng)) /
                         (rate * std::max(RateFactor(at), 0.01));
      at += Duration(static_cast<int64_t>(gap * 1e9));
      const size_t vm = UniformBelow(m_rng, m_vms.size());
      At(at, [this, route, vm] {
        ++m_outcome.routes[route].offered;
        Customer(route, vm, m_now, 0);
      });
    }
  }
}

void
Emulator::ScheduleLimits()
{
  for (const RateLimit& limit : m_world.limits) {
    At(kBegin + limit.begin,
       [this, &limit] { SetLimit(limit, limit.perSecond); });
    At(kBegin + limit.end, [this, &limit] { SetLimit(limit, std::nullopt); });
  }
}

void
Emulator::SetLimit(const RateLimit& aLimit, std::optional<double> aPerSecond)
{
  std::vector<Vm*> targets;
  for (const auto& vm : m_vms) {
    if (vm->service == aLimit.service) {
      targets.push_back(vm.get());
    }
  }
  targets.resize(static_cast<size_t>(
    std::lround(aLimit.share * static_cast<double>(targets.size()))));
  for (Vm* vm : targets) {
    vm->queue.SetRateLimit(aPerSecond, m_now);
  }
}

void
Emulator::ScheduleCrashingRequests()
{
  for (const CrashingRequest& crashing : m_world.crashes) {
    for (uint32_t i = 0; i < crashing.times; ++i) {
      At(kBegin + crashing.begin + i * crashing.interval, [this, &crashing, i] {
        SendCrashingRequest(crashing, i % m_vms.size());
      });
    }
  }
}

void
Emulator::SendCrashingRequest(const CrashingRequest& aCrashing, size_t aVm)
{
  const RequestPtr request = MakeRequest(aCrashing.route, aVm, m_now);
  // Ids of requests are below the number of events.
  request->fingerprint =
    ~static_cast<uint64_t>(&aCrashing - m_world.crashes.data());
  request->crashRestart = aCrashing.restart;
  Place(request);
}

bool
Emulator::IsQuarantined(size_t aVm, const Request& aRequest) const
{
  const Vm& vm = *m_vms[aVm];
  return m_policy.quarantined &&
         vm.suspects.Check(aRequest.fingerprint, vm.self, m_now).kind ==
           quarantine::QuarantineAction::kQuarantined;
}

bool
Emulator::BeginRun(const RequestPtr& aRequest)
{
  Vm& vm = *m_vms[aRequest->target];
  if (m_now < vm.downUntil || IsQuarantined(vm.index, *aRequest)) {
    vm.queue.Finish(aRequest->id, {}, false);
    Rejected(aRequest);
    return false;
  }
  const bool isSuspect =
    m_policy.quarantined &&
    vm.suspects.Check(aRequest->fingerprint, vm.self, m_now).kind ==
      quarantine::QuarantineAction::kTrialHere;
  if (isSuspect &&
      !vm.suspects.BeginTrial(aRequest->fingerprint, vm.self, m_now)) {
    vm.waitingSuspects.push_back(aRequest);
    return false;
  }
  return true;
}

void
Emulator::RunWaitingSuspects(Vm& aVm)
{
  for (const RequestPtr& request : std::exchange(aVm.waitingSuspects, {})) {
    if (request->ended) {
      aVm.queue.Finish(request->id, {}, false);
      continue;
    }
    Begin(request);
  }
}

void
Emulator::CrashTarget(Vm& aVm, Duration aRestart)
{
  ++m_outcome.crashes;
  aVm.downUntil = m_now + aRestart;
  std::vector<RequestPtr> running;
  for (const auto& [id, request] : std::exchange(aVm.running, {})) {
    running.push_back(request);
  }
  for (const RequestPtr& request : running) {
    Leave(request, Ending::kFailed);
  }
  At(m_now + kCrashDetectionTime,
     [this, &aVm, running] { OnCrashDetected(aVm, running); });
}

void
Emulator::OnCrashDetected(Vm& aVm, const std::vector<RequestPtr>& aRunning)
{
  if (m_policy.quarantined) {
    std::vector<uint64_t> fingerprints;
    fingerprints.reserve(aRunning.size());
    for (const RequestPtr& request : aRunning) {
      fingerprints.push_back(request->fingerprint);
    }
    SendSuspects(aVm, aVm.suspects.OnTargetCrashed(fingerprints, m_now, m_rng));
  }
  for (const RequestPtr& request : aRunning) {
    if (request->ended) {
      continue;
    }
    request->tried.push_back(aVm.index);
    request->mayHaveRun = true;
    const bool retried = m_world.routes[request->route].idempotent &&
                         request->arrivals < kMaxAttempts &&
                         TryTakeRetry(m_vms[request->entry]->retries, *request);
    At(m_now + Delay(aVm.index, request->entry), [this, request, retried] {
      if (retried && !request->ended) {
        Place(request);
      } else {
        Reply(request, Ending::kFailed);
      }
    });
  }
}

void
Emulator::SendSuspects(const Vm& aFrom,
                       const std::vector<quarantine::SuspectEntry>& aEntries)
{
  for (const auto& vm : m_vms) {
    At(m_now + Delay(aFrom.index, vm->index),
       [this, &vm, aEntries] { vm->suspects.Merge(aEntries, m_now); });
  }
}

Emulator::RequestPtr
Emulator::MakeRequest(size_t aRoute, size_t aVm, TimePoint aFirst)
{
  const RouteLoad& route = m_world.routes[aRoute];
  auto request = std::make_shared<Request>();
  request->id = ++m_nextId;
  request->fingerprint = request->id;
  request->route = aRoute;
  request->entry = aVm;
  request->first = aFirst;
  request->arrived = m_now;
  request->objective = m_now + route.objective;
  request->clientDeadline = aFirst + route.deadline;
  request->deadline = request->clientDeadline;
  if (route.timeout > Duration{}) {
    request->deadline = std::min(request->deadline, m_now + route.timeout);
  }
  request->priority = route.priority;
  request->rank = static_cast<uint32_t>(UniformBelow(m_rng, gate::kRankCount));
  return request;
}

void
Emulator::Customer(size_t aRoute,
                   size_t aVm,
                   TimePoint aFirst,
                   uint32_t aReturns)
{
  const RequestPtr request = MakeRequest(aRoute, aVm, aFirst);
  request->returns = aReturns;
  if (m_policy.remembered && aReturns > 0) {
    request->objective = aFirst + m_world.routes[aRoute].objective;
    if (request->objective > m_now + m_world.routes[aRoute].work) {
      request->rank = exchange::RankAfterRejection(request->rank);
    }
  }
  request->done = [this, request](Ending aEnding) {
    CustomerEnds(request, aEnding);
  };
  if (!Admitted(*request)) {
    Reply(request, Ending::kRejected);
    return;
  }
  At(request->deadline, [this, request] {
    if (!request->ended) {
      Leave(request, Ending::kFailed);
      Reply(request, Ending::kFailed);
    }
  });
  m_vms[aVm]->retries.RecordCall(ServiceName(*request), m_now);
  Place(request);
}

void
Emulator::CustomerEnds(const RequestPtr& aRequest, Ending aEnding)
{
  const RouteLoad& route = m_world.routes[aRequest->route];
  RouteOutcome& outcome = m_outcome.routes[aRequest->route];
  if (aEnding == Ending::kAnswered) {
    ++(m_now <= aRequest->first + route.objective ? outcome.onTime
                                                  : outcome.late);
    return;
  }
  const Duration left = aRequest->clientDeadline - m_now;
  const bool mayReturn = aEnding == Ending::kRejected || route.idempotent;
  if (mayReturn && aRequest->returns < m_world.returns && left > Duration{}) {
    Duration after{};
    if (aEnding == Ending::kRejected && m_policy.spread) {
      after =
        exchange::RetryAfterDelay(left,
                                  aRequest->first + route.objective - m_now,
                                  aRequest->level,
                                  route.work,
                                  m_rng);
    }
    At(m_now + after, [this, aRequest] {
      Customer(aRequest->route,
               aRequest->entry,
               aRequest->first,
               aRequest->returns + 1);
    });
    return;
  }
  ++(aEnding == Ending::kRejected ? outcome.rejected : outcome.failed);
}

double
Emulator::LevelOf(Vm& aVm, size_t aRoute, size_t aClass)
{
  return aVm.levels[aRoute].At(m_now)[aClass];
}

bool
Emulator::Admitted(Request& aRequest)
{
  if (!m_policy.levels) {
    return true;
  }
  const double level = LevelOf(*m_vms[aRequest.entry],
                               aRequest.route,
                               gate::PriorityClassOf(aRequest.priority));
  aRequest.level = level;
  return aRequest.rank < level * gate::kRankCount;
}

Duration
Emulator::Delay(size_t aFrom, size_t aTo) const
{
  const Domain& from = m_world.domains[m_vms[aFrom]->domain];
  const Domain& to = m_world.domains[m_vms[aTo]->domain];
  if (aFrom == aTo) {
    return Duration{};
  }
  if (from.region != to.region) {
    return m_world.betweenRegions;
  }
  return from == to ? m_world.betweenDomains / 4 : m_world.betweenDomains;
}

std::vector<placement::Candidate>
Emulator::Candidates(const Request& aRequest, std::vector<size_t>& aVms) const
{
  const Vm& entry = *m_vms[aRequest.entry];
  std::vector<placement::Candidate> candidates;
  for (const auto& vm : m_vms) {
    if (vm->service != m_world.routes[aRequest.route].service ||
        std::find(aRequest.tried.begin(), aRequest.tried.end(), vm->index) !=
          aRequest.tried.end()) {
      continue;
    }
    const Vm::Known& known = entry.known[vm->index];
    placement::Candidate candidate;
    const Duration delay = Delay(entry.index, vm->index);
    candidate.distance =
      vm->index == entry.index     ? placement::Distance::kLocalTarget
      : vm->domain == entry.domain ? placement::Distance::kSameFailureDomain
      : delay == m_world.betweenRegions ? placement::Distance::kOtherRegion
                                        : placement::Distance::kSameRegion;
    candidate.roundTrip = 2 * delay;
    candidate.slots = known.load.slots;
    candidate.running = known.load.running;
    candidate.expectedWait = known.load.expectedWait;
    const auto run = known.runs.find(aRequest.route);
    candidate.meanRunTime = run == known.runs.end() ? Duration{} : run->second;
    candidate.reportAge = m_now - known.at;
    candidate.sentSinceReport = known.sentSince;
    candidate.rateShare = known.load.requestsPerSecond.value_or(0) /
                          static_cast<double>(m_vms.size());
    candidate.failureShare = known.failureShare;
    candidates.push_back(candidate);
    aVms.push_back(vm->index);
  }
  return candidates;
}

void
Emulator::Place(const RequestPtr& aRequest)
{
  if (IsQuarantined(aRequest->entry, *aRequest)) {
    Reply(aRequest, aRequest->mayHaveRun ? Ending::kFailed : Ending::kRejected);
    return;
  }
  std::vector<size_t> vms;
  const auto candidates = Candidates(*aRequest, vms);
  if (candidates.empty()) {
    Reply(aRequest, Ending::kRejected);
    return;
  }
  size_t chosen = UniformBelow(m_rng, candidates.size());
  if (m_policy.placed) {
    placement::AttemptRequirements need;
    need.objective = m_world.routes[aRequest->route].objective;
    need.remaining = aRequest->deadline - m_now;
    chosen = placement::ChooseTarget(candidates, need, m_rng).value();
  }
  aRequest->target = vms[chosen];
  ++m_vms[aRequest->entry]->known[aRequest->target].sentSince;
  At(m_now + Delay(aRequest->entry, aRequest->target),
     [this, aRequest] { Arrive(aRequest); });
}

void
Emulator::Arrive(const RequestPtr& aRequest)
{
  if (aRequest->ended) {
    return;
  }
  Vm& vm = *m_vms[aRequest->target];
  if (!m_policy.ordered) {
    const uint32_t slots = m_world.services[vm.service].slots;
    if (vm.busy < slots) {
      Begin(aRequest);
    } else if (vm.line.size() < slots) {
      vm.line.push_back(aRequest);
    } else {
      Rejected(aRequest);
    }
    return;
  }
  const RouteLoad& route = m_world.routes[aRequest->route];
  const gate::QueuedRequest work{ aRequest->id,       route.name,
                                  aRequest->priority, aRequest->rank,
                                  aRequest->nested,   aRequest->objective,
                                  aRequest->deadline };
  switch (vm.queue.Submit(work, m_now)) {
    case gate::AdmissionDecision::kRun:
      Begin(aRequest);
      return;
    case gate::AdmissionDecision::kQueued:
      vm.requests.emplace(aRequest->id, aRequest);
      return;
    case gate::AdmissionDecision::kOverloaded:
    case gate::AdmissionDecision::kDeadlineTooShort:
      Rejected(aRequest);
      return;
  }
}

void
Emulator::Rejected(const RequestPtr& aRequest)
{
  Report(*aRequest);
  At(m_now + Delay(aRequest->target, aRequest->entry), [this, aRequest] {
    if (aRequest->ended) {
      return;
    }
    aRequest->tried.push_back(aRequest->target);
    if (++aRequest->rejections > kMaxRejections ||
        m_now >= aRequest->deadline) {
      Reply(aRequest, Ending::kRejected);
      return;
    }
    Place(aRequest);
  });
}

void
Emulator::Begin(const RequestPtr& aRequest)
{
  Vm& vm = *m_vms[aRequest->target];
  if (!BeginRun(aRequest)) {
    return;
  }
  ++vm.busy;
  vm.running.emplace(aRequest->id, aRequest);
  aRequest->running = true;
  aRequest->startedAt = m_now;
  aRequest->shed = 0;
  ++aRequest->arrivals;
  vm.targetRetries.RecordCall(ServiceName(*aRequest), m_now);
  Offer(aRequest);
}

const std::string&
Emulator::ServiceName(const Request& aRequest) const
{
  return m_world.services[m_world.routes[aRequest.route].service].name;
}

void
Emulator::Offer(const RequestPtr& aRequest)
{
  Vm& vm = *m_vms[aRequest->target];
  const bool shed = IsShed(vm);
  vm.failureShare +=
    kFailureSampleShare * ((shed ? 1.0 : 0.0) - vm.failureShare);
  if (aRequest->crashRestart > Duration{}) {
    CrashTarget(vm, aRequest->crashRestart);
    return;
  }
  if (!shed) {
    NextCall(aRequest);
    return;
  }
  At(m_now + kShedTime, [this, aRequest, &vm] {
    if (!aRequest->running) {
      return;
    }
    const uint32_t most =
      IsImportant(ClaimOf(*aRequest)) ? kMaxImportantRepeats : kMaxRepeats;
    if (aRequest->shed < most && TryTakeRetry(vm.targetRetries, *aRequest)) {
      ++aRequest->shed;
      Offer(aRequest);
      return;
    }
    Leave(aRequest, Ending::kRejected);
    ShedByTarget(aRequest);
  });
}

bool
Emulator::IsShed(const Vm& aVm)
{
  const Duration passed = m_now - kBegin;
  for (const Shedding& shedding : m_world.sheddings) {
    if (shedding.service == aVm.service && passed >= shedding.begin &&
        passed < shedding.end) {
      return UniformUnit(m_rng) < shedding.share;
    }
  }
  return false;
}

exchange::RetryClaim
Emulator::ClaimOf(const Request& aRequest) const
{
  return m_policy.rationed ? exchange::RetryClaim{ aRequest.priority,
                                                   aRequest.rank,
                                                   aRequest.nested }
                           : exchange::RetryClaim{};
}

bool
Emulator::TryTakeRetry(exchange::RetryBudget& aAllowance,
                       const Request& aRequest)
{
  return aAllowance.TryTake(ServiceName(aRequest), ClaimOf(aRequest), m_now);
}

void
Emulator::ShedByTarget(const RequestPtr& aRequest)
{
  At(m_now + Delay(aRequest->target, aRequest->entry), [this, aRequest] {
    if (aRequest->ended) {
      return;
    }
    aRequest->tried.push_back(aRequest->target);
    if (aRequest->arrivals >= kMaxAttempts || m_now >= aRequest->deadline ||
        !TryTakeRetry(m_vms[aRequest->entry]->retries, *aRequest)) {
      Reply(aRequest, Ending::kRejected);
      return;
    }
    Place(aRequest);
  });
}

void
Emulator::NextCall(const RequestPtr& aRequest)
{
  const RouteLoad& route = m_world.routes[aRequest->route];
  if (aRequest->call >= route.calls.size()) {
    Work(aRequest);
    return;
  }
  const Call& call = route.calls[aRequest->call];
  if (aRequest->callTimes >= call.times) {
    ++aRequest->call;
    aRequest->callTimes = 0;
    NextCall(aRequest);
    return;
  }
  ++aRequest->callTimes;
  const RequestPtr child =
    MakeRequest(call.route, aRequest->target, aRequest->first);
  child->nested = true;
  child->parent = aRequest;
  child->priority = aRequest->priority;
  child->rank = aRequest->rank;
  child->deadline =
    std::min(aRequest->deadline, m_now + m_world.routes[call.route].deadline);
  child->done = [this, aRequest](Ending aEnding) {
    if (aRequest->ended || !aRequest->running) {
      return;
    }
    if (aEnding == Ending::kAnswered) {
      NextCall(aRequest);
      return;
    }
    Leave(aRequest, Ending::kFailed);
    Reply(aRequest, Ending::kFailed);
  };
  At(child->deadline, [this, child] {
    if (!child->ended) {
      Leave(child, Ending::kFailed);
      Reply(child, Ending::kFailed);
    }
  });
  m_vms[child->entry]->retries.RecordCall(ServiceName(*child), m_now);
  Place(child);
}

void
Emulator::Work(const RequestPtr& aRequest)
{
  const Vm& vm = *m_vms[aRequest->target];
  const Service& service = m_world.services[vm.service];
  double factor =
    vm.speed * std::exp(std::normal_distribution<double>(
                 -kWorkSigma * kWorkSigma / 2, kWorkSigma)(m_rng));
  if (vm.busy > service.knee * service.slots) {
    factor *= service.kneeFactor;
  }
  At(m_now + Scale(m_world.routes[aRequest->route].work, factor),
     [this, aRequest] {
       if (aRequest->ended || !aRequest->running) {
         return;
       }
       Leave(aRequest, Ending::kAnswered);
       At(m_now + Delay(aRequest->target, aRequest->entry),
          [this, aRequest] { Reply(aRequest, Ending::kAnswered); });
     });
}

void
Emulator::Leave(const RequestPtr& aRequest, Ending aEnding)
{
  Vm& vm = *m_vms[aRequest->target];
  if (!std::exchange(aRequest->running, false)) {
    if (vm.requests.erase(aRequest->id) > 0) {
      vm.queue.Cancel(aRequest->id);
    }
    std::erase(vm.line, aRequest);
    return;
  }
  --vm.busy;
  vm.running.erase(aRequest->id);
  if (const auto entry = vm.suspects.EndTrial(
        aRequest->fingerprint, aEnding == Ending::kAnswered, m_now)) {
    SendSuspects(vm, { *entry });
  }
  const Duration held = m_now - aRequest->startedAt;
  m_slotTime += Seconds(held);
  if (aEnding == Ending::kAnswered) {
    m_usefulSlotTime += Seconds(held);
  }
  if (m_policy.ordered) {
    vm.queue.Finish(aRequest->id, held, aEnding == Ending::kAnswered);
  }
  Report(*aRequest);
  Advance(vm);
}

void
Emulator::Advance(Vm& aVm)
{
  if (!m_policy.ordered) {
    while (!aVm.line.empty() &&
           aVm.busy < m_world.services[aVm.service].slots) {
      const RequestPtr next = aVm.line.front();
      aVm.line.pop_front();
      Begin(next);
    }
    return;
  }
  for (const gate::QueueDecision& step : aVm.queue.Advance(m_now)) {
    const auto found = aVm.requests.find(step.id);
    if (found == aVm.requests.end()) {
      continue;
    }
    const RequestPtr request = found->second;
    aVm.requests.erase(found);
    if (step.decision == gate::AdmissionDecision::kRun) {
      Begin(request);
    } else {
      Rejected(request);
    }
  }
}

void
Emulator::Report(const Request& aRequest)
{
  Vm& entry = *m_vms[aRequest.entry];
  Vm& target = *m_vms[aRequest.target];
  Vm::Known& known = entry.known[aRequest.target];
  known.load = target.queue.CurrentLoad(m_now);
  known.failureShare = target.failureShare;
  known.at = m_now;
  known.sentSince = 0;
  const Duration run =
    target.queue.MeanRunTime(m_world.routes[aRequest.route].name);
  if (run > Duration{}) {
    known.runs[aRequest.route] = run;
  }
  exchange::Levels share;
  for (size_t i = 0; i < gate::kPriorityClasses; ++i) {
    share[i] = target.queue.Levels().Level(i);
    for (const Call& call : m_world.routes[aRequest.route].calls) {
      share[i] = std::min(share[i], LevelOf(target, call.route, i));
    }
  }
  if (exchange::IsRepresentative(known.load.requestsPerSecond.has_value(),
                                 KnowsUnlimitedTarget(entry, target.service))) {
    entry.levels[aRequest.route].Record(share, m_now);
  }
}

bool
Emulator::KnowsUnlimitedTarget(const Vm& aVm, size_t aService) const
{
  return std::any_of(
    m_vms.begin(), m_vms.end(), [&aVm, aService](const auto& aOther) {
      return aOther->service == aService &&
             !aVm.known[aOther->index].load.requestsPerSecond;
    });
}

void
Emulator::Reply(const RequestPtr& aRequest, Ending aEnding)
{
  if (std::exchange(aRequest->ended, true)) {
    return;
  }
  const auto done = std::exchange(aRequest->done, nullptr);
  if (done) {
    done(aEnding);
  }
}

Outcome
Emulator::Run()
{
  BuildVms();
  ScheduleArrivals();
  ScheduleLimits();
  ScheduleCrashingRequests();
  const TimePoint end = kBegin + m_world.length + std::chrono::seconds(12);
  for (TimePoint at = kBegin; at < end; at += kTick) {
    At(at, [this] {
      for (const auto& vm : m_vms) {
        Advance(*vm);
        RunWaitingSuspects(*vm);
      }
    });
  }
  while (!m_events.empty() && m_events.top().at < end) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.action();
  }
  double offered = 0;
  double earned = 0;
  for (size_t i = 0; i < m_world.routes.size(); ++i) {
    const RouteOutcome& outcome = m_outcome.routes[i];
    offered += m_world.routes[i].value * outcome.offered;
    earned +=
      m_world.routes[i].value * (outcome.onTime + kLateValue * outcome.late);
  }
  m_outcome.value = offered > 0 ? earned / offered : 1;
  m_outcome.wasted = m_slotTime > 0 ? 1.0 - m_usefulSlotTime / m_slotTime : 0;
  return m_outcome;
}

} // namespace wagtailbend::emulator
