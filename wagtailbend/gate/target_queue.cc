#include "wagtailbend/gate/target_queue.h"

#include <algorithm>

namespace wagtailbend::gate {
namespace {

// Share of the declared slots that is used. Some targets slow down by a third
// above 95% utilization, which costs more than the additional slots gain.
constexpr double kUsableSlotShare = 0.94;
// Ranks are grouped into this many buckets for queue order. Within a bucket,
// nested calls precede new requests, and older requests precede newer ones.
constexpr uint32_t kRankBuckets = 8;
// Weight of a new sample in the moving averages of hold and run times.
constexpr double kSampleWeight = 0.05;
// Mean hold time assumed before the first sample.
constexpr Duration kDefaultHoldTime = std::chrono::milliseconds(50);
// Classes from this one on are rejected when they would miss their latency
// objective, because under overload each late response displaces one in time.
// Class 0 may wait until its deadline.
constexpr size_t kFirstClassWithObjective = 1;
// Requests that run at the same time while it is unknown whether the target
// names a rate limit. A daemon that restarts does not know what its earlier
// process was told, and lets in so many requests more before it is told again.
constexpr uint32_t kSlotsBeforeFirstResponse = 2;
// Multiple of the mean run time that must remain before the deadline.
constexpr double kRunTimeReserve = 1.2;

} // namespace

void
TargetQueue::SetSlots(uint32_t aSlots)
{
  m_slots =
    aSlots == 0
      ? 0
      : std::max<uint32_t>(1, static_cast<uint32_t>(aSlots * kUsableSlotShare));
}

TargetQueue::Key
TargetQueue::MakeKey(const QueuedRequest& aRequest)
{
  return { static_cast<uint32_t>(PriorityClassOf(aRequest.priority)),
           aRequest.rank * kRankBuckets / kRankCount,
           !aRequest.nested,
           ++m_sequence };
}

void
TargetQueue::SetRateLimit(std::optional<double> aRequestsPerSecond,
                          TimePoint aNow)
{
  m_isRateLimitKnown = true;
  m_rateLimiter.SetLimit(aRequestsPerSecond, aNow);
}

void
TargetQueue::ForgetRateLimit(TimePoint aNow)
{
  m_isRateLimitKnown = false;
  m_rateLimiter.SetLimit(std::nullopt, aNow);
}

bool
TargetQueue::CanStart(TimePoint aNow) const
{
  const uint32_t slots =
    m_isRateLimitKnown ? m_slots : std::min(m_slots, kSlotsBeforeFirstResponse);
  return m_running.size() < slots && m_rateLimiter.HasToken(aNow);
}

Duration
TargetQueue::ExpectedWait(size_t aRequestsAhead, TimePoint aNow) const
{
  return std::max(WaitForSlot(aRequestsAhead),
                  m_rateLimiter.Wait(aRequestsAhead, aNow));
}

Duration
TargetQueue::WaitForSlot(size_t aRequestsAhead) const
{
  if (m_slots == 0) {
    return std::chrono::hours(1);
  }
  if (m_running.size() < m_slots && aRequestsAhead == 0) {
    return Duration{};
  }
  const double holdNs = m_meanHoldNs > 0
                          ? m_meanHoldNs
                          : static_cast<double>(kDefaultHoldTime.count());
  return Duration(
    static_cast<int64_t>(holdNs * static_cast<double>(aRequestsAhead + 1) /
                         static_cast<double>(m_slots)));
}

TimePoint
TargetQueue::LatestStart(const QueuedRequest& aRequest, TimePoint aNow) const
{
  const Duration run = MeanRunTime(aRequest.route);
  const TimePoint latestBeforeDeadline =
    aRequest.deadline - Scale(run, kRunTimeReserve);
  if (aRequest.nested ||
      PriorityClassOf(aRequest.priority) < kFirstClassWithObjective) {
    return latestBeforeDeadline;
  }
  const TimePoint latestInObjective = aRequest.objective - run;
  // Once its objective is missed, a request keeps its value until the deadline.
  return latestInObjective > aNow
           ? std::min(latestInObjective, latestBeforeDeadline)
           : latestBeforeDeadline;
}

void
TargetQueue::OccupySlot(const QueuedRequest& aRequest, TimePoint aNow)
{
  m_rateLimiter.Take(aNow);
  m_running.emplace(aRequest.id, RunningRequest{ aRequest.route });
}

AdmissionDecision
TargetQueue::Submit(const QueuedRequest& aRequest, TimePoint aNow)
{
  const size_t priorityClass = PriorityClassOf(aRequest.priority);
  if (aRequest.deadline - Scale(MeanRunTime(aRequest.route), kRunTimeReserve) <
      aNow) {
    m_levels.RecordArrival(priorityClass, false);
    return AdmissionDecision::kDeadlineTooShort;
  }
  if (m_queue.empty() && CanStart(aNow)) {
    m_levels.RecordArrival(priorityClass, false);
    OccupySlot(aRequest, aNow);
    return AdmissionDecision::kRun;
  }
  const Key key = MakeKey(aRequest);
  const auto position = static_cast<size_t>(
    std::distance(m_queue.begin(), m_queue.lower_bound(key)));
  const bool fits =
    aNow + ExpectedWait(position, aNow) <= LatestStart(aRequest, aNow);
  m_levels.RecordArrival(priorityClass, !fits);
  if (!fits) {
    return AdmissionDecision::kOverloaded;
  }
  m_queue.emplace(key, WaitingRequest{ aRequest, aNow });
  m_keys.emplace(aRequest.id, key);
  return AdmissionDecision::kQueued;
}

void
TargetQueue::Finish(uint64_t aId, Duration aHoldTime, bool aSample)
{
  const auto found = m_running.find(aId);
  if (found == m_running.end()) {
    return;
  }
  const auto heldNs = static_cast<double>(aHoldTime.count());
  if (aHoldTime > Duration{}) {
    m_meanHoldNs +=
      m_meanHoldNs > 0 ? kSampleWeight * (heldNs - m_meanHoldNs) : heldNs;
  }
  if (aSample) {
    double& meanRunNs = m_meanRunNs[found->second.route];
    meanRunNs += meanRunNs > 0 ? kSampleWeight * (heldNs - meanRunNs) : heldNs;
  }
  m_running.erase(found);
}

std::vector<QueueDecision>
TargetQueue::Advance(TimePoint aNow)
{
  std::vector<QueueDecision> decisions;
  while (!m_queue.empty() && CanStart(aNow)) {
    const auto first = m_queue.begin();
    const WaitingRequest waiting = first->second;
    m_queue.erase(first);
    m_keys.erase(waiting.request.id);
    const Duration queueTime = aNow - waiting.queuedAt;
    if (waiting.request.deadline -
          Scale(MeanRunTime(waiting.request.route), kRunTimeReserve) <
        aNow) {
      m_levels.RecordDropped(PriorityClassOf(waiting.request.priority));
      decisions.push_back({ waiting.request.id,
                            AdmissionDecision::kDeadlineTooShort,
                            queueTime });
      continue;
    }
    OccupySlot(waiting.request, aNow);
    decisions.push_back(
      { waiting.request.id, AdmissionDecision::kRun, queueTime });
  }
  DropLateRequests(decisions, aNow);
  m_levels.Update(aNow);
  return decisions;
}

void
TargetQueue::DropLateRequests(std::vector<QueueDecision>& aDecisions,
                              TimePoint aNow)
{
  size_t requestsAhead = 0;
  for (auto next = m_queue.begin(); next != m_queue.end();) {
    const WaitingRequest& waiting = next->second;
    if (aNow + ExpectedWait(requestsAhead, aNow) <=
        LatestStart(waiting.request, waiting.queuedAt)) {
      ++requestsAhead;
      ++next;
      continue;
    }
    m_levels.RecordDropped(PriorityClassOf(waiting.request.priority));
    aDecisions.push_back({ waiting.request.id,
                           AdmissionDecision::kOverloaded,
                           aNow - waiting.queuedAt });
    m_keys.erase(waiting.request.id);
    next = m_queue.erase(next);
  }
}

bool
TargetQueue::Cancel(uint64_t aId)
{
  const auto found = m_keys.find(aId);
  if (found == m_keys.end()) {
    return false;
  }
  m_queue.erase(found->second);
  m_keys.erase(found);
  return true;
}

std::vector<uint64_t>
TargetQueue::Clear()
{
  std::vector<uint64_t> ids;
  for (const auto& [key, waiting] : m_queue) {
    ids.push_back(waiting.request.id);
  }
  m_queue.clear();
  m_keys.clear();
  return ids;
}

QueueLoad
TargetQueue::CurrentLoad(TimePoint aNow) const
{
  QueueLoad load;
  load.slots = m_slots;
  load.running = static_cast<uint32_t>(m_running.size());
  load.queued = static_cast<uint32_t>(m_queue.size());
  load.expectedWait = ExpectedWait(m_queue.size(), aNow);
  load.requestsPerSecond = m_rateLimiter.Limit();
  load.meanHoldTime = Duration(static_cast<int64_t>(m_meanHoldNs));
  return load;
}

Duration
TargetQueue::MeanRunTime(const std::string& aRoute) const
{
  const auto found = m_meanRunNs.find(aRoute);
  return found == m_meanRunNs.end()
           ? Duration{}
           : Duration(static_cast<int64_t>(found->second));
}

} // namespace wagtailbend::gate
