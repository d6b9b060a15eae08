#include "wagtailbend/admission/admission.h"

#include <algorithm>

namespace wagtailbend::admission {
namespace {

using schema::Kind;

// One in this many requests that are expected to miss their deadline runs
// anyway. Otherwise a method whose estimated service time is too high would
// never run again, and the estimate would never be corrected.
constexpr uint32_t kProbeEvery = 16;
// The target drain time of the queue is the maximum queue time divided by this:
// long enough to keep the slots busy between arrivals, with capacity left for
// bursts.
constexpr int kDrainTargetDivisor = 4;
constexpr Duration kRetryAfterBase = std::chrono::milliseconds(100);

uint32_t
ReservedSlots(const AdmissionConfig& aConfig)
{
  if (!aConfig.reservesOrderSlots) {
    return 0;
  }
  return std::min(std::max(1U, aConfig.slots / 10), aConfig.slots - 1);
}

} // namespace

Admission::Admission(const AdmissionConfig& aConfig)
  : m_config(aConfig)
  , m_reservedSlots(ReservedSlots(aConfig))
  , m_limit(aConfig.slots)
  , m_thresholdController(aConfig.maxQueueTime / kDrainTargetDivisor)
{
}

uint32_t
Admission::MaxLongRequests() const
{
  return m_longRequestShare.Cap(m_limit.Current());
}

bool
Admission::HasSlotFor(bool aOrder, bool aLong) const
{
  const uint32_t limit = m_limit.Current();
  if (aOrder) {
    return m_inFlight < limit;
  }
  if (aLong && m_longInFlight >= MaxLongRequests()) {
    return false;
  }
  const uint32_t keptFree =
    m_reservedSlots - std::min(m_reservedSlots, m_ordersInFlight);
  return m_inFlight + keptFree < limit;
}

Slot
Admission::AcquireSlot(uint32_t aMethod, Kind aKind, bool aLong, TimePoint aNow)
{
  m_inFlight++;
  m_ordersInFlight += aKind == Kind::kOrder ? 1 : 0;
  m_longInFlight += aLong ? 1 : 0;
  return Slot{ aMethod, aKind, aLong, aNow };
}

bool
Admission::CanMeetDeadline(uint32_t aMethod,
                           TimePoint aDeadline,
                           TimePoint aNow)
{
  if (aDeadline <= aNow) {
    return false;
  }
  const std::optional<Duration> expected = m_serviceTimes.ExpectedTime(aMethod);
  if (!expected || aNow + *expected <= aDeadline) {
    return true;
  }
  return ++m_predictedDeadlineMisses % kProbeEvery == 0;
}

Duration
Admission::EstimatedWait(const QueueCandidate& aPlacement) const
{
  const internal::WaitQueue& queue = aPlacement.isLong ? m_longQueue : m_queue;
  const std::optional<Duration> service =
    aPlacement.isLong ? m_serviceTimes.ExpectedTime(aPlacement.entry.method)
                      : m_serviceTimes.MeanShortTime();
  const uint32_t slots =
    aPlacement.isLong ? MaxLongRequests() : m_limit.Current();
  if (!service) {
    return Duration{};
  }
  return *service * queue.CountUpToRank(aPlacement.key.rank) /
         std::max(1U, slots);
}

Admission::QueueCandidate
Admission::MakeQueueCandidate(const AdmissionRequest& aRequest,
                              uint32_t aMethod,
                              bool aLong,
                              TimePoint aNow)
{
  const bool isOrder = aRequest.kind == Kind::kOrder;
  QueueCandidate placement;
  placement.isLong = aLong;
  placement.key = { internal::RankOf(
                      isOrder, aRequest.nested, aRequest.priority),
                    aRequest.deadline,
                    m_nextSequence++ };
  const Duration expected =
    m_serviceTimes.ExpectedTime(aMethod).value_or(Duration{});
  // A probe, whose estimated latest start has passed, may start until its
  // deadline.
  const TimePoint latestStart = aRequest.deadline - expected > aNow
                                  ? aRequest.deadline - expected
                                  : aRequest.deadline;
  // Orders stay queued as long as they can still meet their deadline.
  const TimePoint queueDeadline =
    isOrder
      ? latestStart
      : aNow + (aLong ? m_config.maxLongQueueTime : m_config.maxQueueTime);
  placement.entry = { aRequest.waiter,
                      aMethod,
                      aRequest.kind,
                      std::min(queueDeadline, latestStart),
                      queueDeadline < latestStart
                        ? ErrorKind::kOverloaded
                        : ErrorKind::kDeadlineTooShort };
  return placement;
}

Rejection
Admission::Reject(ErrorKind aKind, Rng& aRng)
{
  const double scale =
    (0.5 + UniformUnit(aRng)) * (1.0 + m_thresholdController.Threshold());
  const auto delayNs = static_cast<double>(kRetryAfterBase.count()) * scale;
  return Rejection{ aKind, Duration(static_cast<int64_t>(delayNs)) };
}

AdmissionDecision
Admission::Submit(const AdmissionRequest& aRequest, TimePoint aNow, Rng& aRng)
{
  const std::lock_guard lock(m_mutex);
  UpdateThreshold(aNow);
  const uint32_t method = m_serviceTimes.IndexOf(aRequest.method);
  const bool isOrder = aRequest.kind == Kind::kOrder;
  const bool isLong =
    !isOrder && (aRequest.kind == Kind::kBulk || m_serviceTimes.IsLong(method));
  if (!CanMeetDeadline(method, aRequest.deadline, aNow)) {
    return Reject(ErrorKind::kDeadlineTooShort, aRng);
  }
  // Free slots are offered to the queue first, so a request that finds a free
  // slot overtakes no queued request that could use it. The threshold does not
  // apply here, because rejecting a request while a slot is free wastes
  // capacity.
  if (HasSlotFor(isOrder, isLong)) {
    return AcquireSlot(method, aRequest.kind, isLong, aNow);
  }
  if (!isOrder && !aRequest.nested &&
      ThresholdRejects(
        aRequest.priority, m_thresholdController.Threshold(), aRng)) {
    return Reject(ErrorKind::kOverloaded, aRng);
  }
  const QueueCandidate placement =
    MakeQueueCandidate(aRequest, method, isLong, aNow);
  // Orders are not rejected on an estimate: if a slot became free earlier than
  // estimated, it would go to a request of lower priority.
  if (!isOrder && aNow + EstimatedWait(placement) > placement.entry.expiry) {
    ReportOverload(isLong);
    return Reject(ErrorKind::kOverloaded, aRng);
  }
  (isLong ? m_longQueue : m_queue).Insert(placement.key, placement.entry);
  return QueueHandle{ placement.key, isLong };
}

std::vector<Wakeup>
Admission::Complete(const Slot& aSlot,
                    RunResult aEnding,
                    TimePoint aNow,
                    Rng& aRng)
{
  std::vector<Wakeup> wakeups;
  const std::lock_guard lock(m_mutex);
  UpdateThreshold(aNow);
  if (aEnding == RunResult::kCompleted) {
    const std::optional<double> ratio = m_serviceTimes.Record(
      aSlot.method, aNow - aSlot.start, aSlot.kind == Kind::kBulk, aNow);
    if (ratio && !aSlot.isLong) {
      m_limit.Record(*ratio, m_inFlight, aNow);
      m_longRequestShare.Record(
        *ratio, m_longInFlight, m_limit.Current(), aNow);
    }
  }
  m_inFlight--;
  m_ordersInFlight -= aSlot.kind == Kind::kOrder ? 1 : 0;
  m_longInFlight -= aSlot.isLong ? 1 : 0;
  RejectExpired(wakeups, aNow, aRng);
  AdmitQueued(wakeups, aNow);
  return wakeups;
}

std::vector<Wakeup>
Admission::Poll(TimePoint aNow, Rng& aRng)
{
  std::vector<Wakeup> wakeups;
  const std::lock_guard lock(m_mutex);
  UpdateThreshold(aNow);
  RejectExpired(wakeups, aNow, aRng);
  return wakeups;
}

bool
Admission::Cancel(const QueueHandle& aQueued)
{
  const std::lock_guard lock(m_mutex);
  return (aQueued.isLong ? m_longQueue : m_queue)
    .Remove(aQueued.key)
    .has_value();
}

void
Admission::RejectExpired(std::vector<Wakeup>& aWakeups,
                         TimePoint aNow,
                         Rng& aRng)
{
  for (internal::WaitQueue* queue : { &m_queue, &m_longQueue }) {
    while (const auto entry = queue->PopExpired(aNow)) {
      aWakeups.push_back({ entry->waiter, Reject(entry->expiryKind, aRng) });
      ReportOverload(queue == &m_longQueue);
    }
  }
}

void
Admission::ReportOverload(bool aLong)
{
  // An excess of long requests says nothing about the slots of short requests,
  // and raising the threshold would reject short requests.
  if (!aLong) {
    m_thresholdController.RecordOverload();
  }
}

void
Admission::AdmitQueued(std::vector<Wakeup>& aWakeups, TimePoint aNow)
{
  while (true) {
    const bool shortFits =
      !m_queue.Empty() &&
      HasSlotFor(m_queue.Front().second.kind == Kind::kOrder, false);
    const bool longFits = !m_longQueue.Empty() && HasSlotFor(false, true);
    if (!shortFits && !longFits) {
      return;
    }
    const bool takeLong = longFits && (!shortFits || m_longQueue.Front().first <
                                                       m_queue.Front().first);
    internal::WaitQueue& queue = takeLong ? m_longQueue : m_queue;
    const auto entry = queue.Remove(internal::QueueKey(queue.Front().first));
    aWakeups.push_back(
      { entry->waiter,
        AcquireSlot(entry->method, entry->kind, takeLong, aNow) });
  }
}

void
Admission::UpdateThreshold(TimePoint aNow)
{
  const Duration drain = m_serviceTimes.MeanShortTime().value_or(Duration{}) *
                         m_queue.Size() / std::max(1U, m_limit.Current());
  m_thresholdController.Update(
    drain, m_queue.Empty() && HasSlotFor(false, false), aNow);
  m_threshold.store(m_thresholdController.Threshold(),
                    std::memory_order_relaxed);
}

std::optional<TimePoint>
Admission::NextExpiry() const
{
  const std::lock_guard lock(m_mutex);
  const std::optional<TimePoint> first = m_queue.NextExpiry();
  const std::optional<TimePoint> second = m_longQueue.NextExpiry();
  if (!first || !second) {
    return first ? first : second;
  }
  return std::min(*first, *second);
}

AdmissionState
Admission::State() const
{
  const std::lock_guard lock(m_mutex);
  return AdmissionState{ m_limit.Current(),
                         m_inFlight,
                         m_ordersInFlight,
                         m_longInFlight,
                         m_queue.Size() + m_longQueue.Size(),
                         m_thresholdController.Threshold() };
}

} // namespace wagtailbend::admission
