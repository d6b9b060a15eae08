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
  return found != m_leftRuns.end() && aRun.bornMs <= found->second;
}

Change
TargetState::OnHeartbeat(const Heartbeat& aHeartbeat, TimePoint aNow)
{
  const TargetRun run{ aHeartbeat.id, aHeartbeat.bornMs };
  if (HasLeft(run)) {
    return Change::kStale;
  }
  if (m_hasHeartbeat) {
    if (run.bornMs < m_view.run.bornMs) {
      return Change::kStale;
    }
    if (run == m_view.run && aHeartbeat.sequence <= m_sequence) {
      return Change::kStale;
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
    return Change::kNone;
  }
  m_hasHeartbeat = true;
  m_view = view;
  return Change::kChanged;
}

Change
TargetState::OnLeave(const std::string& aId,
                     uint64_t aStartTimeMs,
                     uint64_t aNowMs)
{
  const bool current = m_hasHeartbeat && aId == m_view.run.id;
  if (aStartTimeMs != 0 && current && aStartTimeMs < m_view.run.bornMs) {
    return Change::kStale;
  }
  const uint64_t defaultStartTimeMs = current ? m_view.run.bornMs : aNowMs;
  RecordLeave({ aId, aStartTimeMs == 0 ? defaultStartTimeMs : aStartTimeMs });
  if (!current || !m_view.accepting) {
    return Change::kNone;
  }
  m_view.accepting = false;
  return Change::kChanged;
}

Change
TargetState::RestoreLeaving(const TargetRun& aRun)
{
  RecordLeave(aRun);
  if (!m_hasHeartbeat || !m_view.accepting || !HasLeft(m_view.run)) {
    return Change::kNone;
  }
  m_view.accepting = false;
  return Change::kChanged;
}

void
TargetState::RecordLeave(const TargetRun& aRun)
{
  uint64_t& startTimeMs = m_leftRuns[aRun.id];
  startTimeMs = std::max(startTimeMs, aRun.bornMs);
  if (m_leftRuns.size() > kMaxLeftTargets) {
    m_leftRuns.erase(m_leftRuns.begin());
  }
}

} // namespace wagtailbend::targets
