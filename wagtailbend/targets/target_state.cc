#include "wagtailbend/targets/target_state.h"

#include <algorithm>

namespace wagtailbend::targets {
namespace {

// Maximum number of targets that are remembered after they left. Late
// heartbeats arrive within seconds.
constexpr size_t kMaxLeftTargets = 64;

} // namespace

bool
TargetState::HasLeft(const TargetRun& aRun) const
{
  const auto found = m_leftRuns.find(aRun.id);
  return found != m_leftRuns.end() && aRun.startTimeMs <= found->second;
}

ViewChange
TargetState::OnHeartbeat(const Heartbeat& aHeartbeat, TimePoint aNow)
{
  const TargetRun run{ aHeartbeat.id, aHeartbeat.startTimeMs };
  if (HasLeft(run)) {
    return ViewChange::kStale;
  }
  if (m_hasHeartbeat) {
    if (run.startTimeMs < m_view.run.startTimeMs) {
      return ViewChange::kStale;
    }
    if (run == m_view.run && aHeartbeat.sequence <= m_sequence) {
      return ViewChange::kStale;
    }
  }
  TargetView view;
  view.run = run;
  view.accepting = !aHeartbeat.draining && aHeartbeat.slots > 0;
  view.slots = aHeartbeat.slots;
  // Each heartbeat gives a slightly different end of the cold phase. Keeping
  // the first one of a run avoids reporting changes for an unchanged target.
  const bool sameRun = m_hasHeartbeat && run == m_view.run;
  view.coldUntil = sameRun ? m_view.coldUntil : aNow + aHeartbeat.coldRemaining;
  m_sequence = aHeartbeat.sequence;
  if (m_hasHeartbeat && view == m_view) {
    return ViewChange::kNone;
  }
  m_hasHeartbeat = true;
  m_view = view;
  return ViewChange::kChanged;
}

ViewChange
TargetState::OnLeave(const std::string& aId,
                     uint64_t aStartTimeMs,
                     uint64_t aNowMs)
{
  const bool current = m_hasHeartbeat && aId == m_view.run.id;
  if (aStartTimeMs != 0 && current && aStartTimeMs < m_view.run.startTimeMs) {
    return ViewChange::kStale;
  }
  const uint64_t defaultStartTimeMs = current ? m_view.run.startTimeMs : aNowMs;
  RecordLeave({ aId, aStartTimeMs == 0 ? defaultStartTimeMs : aStartTimeMs });
  if (!current || !m_view.accepting) {
    return ViewChange::kNone;
  }
  m_view.accepting = false;
  return ViewChange::kChanged;
}

ViewChange
TargetState::RestoreLeave(const TargetRun& aRun)
{
  RecordLeave(aRun);
  if (!m_hasHeartbeat || !m_view.accepting || !HasLeft(m_view.run)) {
    return ViewChange::kNone;
  }
  m_view.accepting = false;
  return ViewChange::kChanged;
}

void
TargetState::RecordLeave(const TargetRun& aRun)
{
  uint64_t& startTimeMs = m_leftRuns[aRun.id];
  startTimeMs = std::max(startTimeMs, aRun.startTimeMs);
  if (IsLater(aRun, m_latestLeave)) {
    m_latestLeave = aRun;
  }
  if (m_leftRuns.size() > kMaxLeftTargets) {
    m_leftRuns.erase(m_leftRuns.begin());
  }
}

} // namespace wagtailbend::targets
