#include "wagtailbend/gate/target_queue.h"

#include <algorithm>

namespace wagtailbend::gate {
namespace {

// Share of the declared slots that is used. Some targets slow down by a third
// above 95%, which costs more than the slots bring.
constexpr double kSlotShare = 0.94;
// Ranks compete in this many groups; within one, calls of running requests go
// first and then the oldest.
constexpr uint32_t kRankBuckets = 8;
// Weight of one sample in the moving averages of times.
constexpr double kSampleShare = 0.05;
// Assumed until a time was measured.
constexpr Duration kUnknownHold = std::chrono::milliseconds(50);
// Classes from this one on are rejected when they would miss their objective:
// in an overload each late answer displaces one in time. Class 0 waits until
// its deadline.
constexpr size_t kFirstPunctualClass = 1;
// Share of the mean run time that must be left before the deadline.
constexpr double kRunReserve = 1.2;

} // namespace

void
TargetQueue::SetSlots(uint32_t aSlots)
{
  m_slots =
    aSlots == 0
      ? 0
      : std::max<uint32_t>(1, static_cast<uint32_t>(aSlots * kSlotShare));
}

TargetQueue::Key
TargetQueue::KeyOf(const Work& aWork)
{
  return { static_cast<uint32_t>(ClassOf(aWork.priority)),
           aWork.rank * kRankBuckets / kRanks,
           !aWork.nested,
           ++m_sequence };
}

Duration
TargetQueue::WaitBehind(size_t aAhead) const
{
  if (m_slots == 0) {
    return std::chrono::hours(1);
  }
  if (m_running.size() < m_slots && aAhead == 0) {
    return Duration{};
  }
  const double hold =
    m_holdNs > 0 ? m_holdNs : static_cast<double>(kUnknownHold.count());
  return Duration(static_cast<int64_t>(hold * static_cast<double>(aAhead + 1) /
                                       static_cast<double>(m_slots)));
}

TimePoint
TargetQueue::LatestStart(const Work& aWork, TimePoint aNow) const
{
  const Duration run = MeanRun(aWork.route);
  const TimePoint last = aWork.deadline - Scale(run, kRunReserve);
  if (aWork.nested || ClassOf(aWork.priority) < kFirstPunctualClass) {
    return last;
  }
  const TimePoint punctual = aWork.objective - run;
  // Work that is late already is worth the same until its deadline.
  return punctual > aNow ? std::min(punctual, last) : last;
}

void
TargetQueue::Occupy(const Work& aWork)
{
  m_running.emplace(aWork.id, Running{ aWork.route });
}

Verdict
TargetQueue::Submit(const Work& aWork, TimePoint aNow)
{
  const size_t group = ClassOf(aWork.priority);
  if (aWork.deadline - Scale(MeanRun(aWork.route), kRunReserve) < aNow) {
    m_levels.Count(group, false);
    return Verdict::kTooLate;
  }
  if (m_queue.empty() && m_running.size() < m_slots) {
    m_levels.Count(group, false);
    Occupy(aWork);
    return Verdict::kRun;
  }
  const Key key = KeyOf(aWork);
  const auto position = static_cast<size_t>(
    std::distance(m_queue.begin(), m_queue.lower_bound(key)));
  const bool fits = aNow + WaitBehind(position) <= LatestStart(aWork, aNow);
  m_levels.Count(group, !fits);
  if (!fits) {
    return Verdict::kNoRoom;
  }
  m_queue.emplace(key, Entry{ aWork, aNow });
  m_keys.emplace(aWork.id, key);
  return Verdict::kQueued;
}

void
TargetQueue::Finish(uint64_t aId, Duration aHeld, bool aSample)
{
  const auto found = m_running.find(aId);
  if (found == m_running.end()) {
    return;
  }
  const auto held = static_cast<double>(aHeld.count());
  if (aHeld > Duration{}) {
    m_holdNs += m_holdNs > 0 ? kSampleShare * (held - m_holdNs) : held;
  }
  if (aSample) {
    double& run = m_runNs[found->second.route];
    run += run > 0 ? kSampleShare * (held - run) : held;
  }
  m_running.erase(found);
}

std::vector<Step>
TargetQueue::Advance(TimePoint aNow)
{
  std::vector<Step> steps;
  while (!m_queue.empty() && m_running.size() < m_slots) {
    const auto first = m_queue.begin();
    const Entry entry = first->second;
    m_queue.erase(first);
    m_keys.erase(entry.work.id);
    const Duration waited = aNow - entry.since;
    if (entry.work.deadline - Scale(MeanRun(entry.work.route), kRunReserve) <
        aNow) {
      m_levels.CountDropped(ClassOf(entry.work.priority));
      steps.push_back({ entry.work.id, Verdict::kTooLate, waited });
      continue;
    }
    Occupy(entry.work);
    steps.push_back({ entry.work.id, Verdict::kRun, waited });
  }
  DropHopeless(steps, aNow);
  m_levels.Roll(aNow);
  return steps;
}

void
TargetQueue::DropHopeless(std::vector<Step>& aSteps, TimePoint aNow)
{
  size_t ahead = 0;
  for (auto next = m_queue.begin(); next != m_queue.end();) {
    const Entry& entry = next->second;
    if (aNow + WaitBehind(ahead) <= LatestStart(entry.work, entry.since)) {
      ++ahead;
      ++next;
      continue;
    }
    m_levels.CountDropped(ClassOf(entry.work.priority));
    aSteps.push_back({ entry.work.id, Verdict::kNoRoom, aNow - entry.since });
    m_keys.erase(entry.work.id);
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
  for (const auto& [key, entry] : m_queue) {
    ids.push_back(entry.work.id);
  }
  m_queue.clear();
  m_keys.clear();
  return ids;
}

Load
TargetQueue::CurrentLoad() const
{
  Load load;
  load.slots = m_slots;
  load.running = static_cast<uint32_t>(m_running.size());
  load.queued = static_cast<uint32_t>(m_queue.size());
  load.wait = WaitBehind(m_queue.size());
  load.hold = Duration(static_cast<int64_t>(m_holdNs));
  return load;
}

Duration
TargetQueue::MeanRun(const std::string& aRoute) const
{
  const auto found = m_runNs.find(aRoute);
  return found == m_runNs.end() ? Duration{}
                                : Duration(static_cast<int64_t>(found->second));
}

} // namespace wagtailbend::gate
