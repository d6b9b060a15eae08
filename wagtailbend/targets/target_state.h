// State of the local target, derived from its heartbeats and leave
// announcements.
//
//   TargetState state;
//   if (state.OnHeartbeat(heartbeat, now) == ViewChange::kChanged) {
//     Publish(state.View());
//   }
//
// Announcements may be delayed, duplicated or reordered, and a target may
// restart under its old id. The start time orders the runs of a target, and the
// sequence number orders the heartbeats of one run.

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "wagtailbend/base/time.h"

namespace wagtailbend::targets {

/// Periodic announcement of a target.
struct Heartbeat
{
  std::string id;
  /// Start time of the target in Unix milliseconds; 0 if not specified.
  uint64_t startTimeMs = 0;
  uint64_t sequence = 0;
  std::string service;
  std::string address;
  std::string failureDomain;
  std::string version;
  uint32_t slots = 0;
  bool draining = false;
  /// Remaining time for which the target is slow after its start.
  Duration coldRemaining{};

  bool operator==(const Heartbeat&) const = default;
};

/// One run of a target, from start to exit.
struct TargetRun
{
  std::string id;
  uint64_t startTimeMs = 0;

  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const TargetRun&) const = default;
};

/// Returns true if aRun is the run aLeft of a target, or an earlier one of the
/// same target. Thread-safe.
inline bool
IsCovered(const TargetRun& aRun, const TargetRun& aLeft)
{
  return !aLeft.id.empty() && aRun.id == aLeft.id &&
         aRun.startTimeMs <= aLeft.startTimeMs;
}

/// Returns true if aNew started later than aOld, or is the first that is known:
/// the id of a run is empty if there is none. Thread-safe.
inline bool
IsLater(const TargetRun& aNew, const TargetRun& aOld)
{
  return !aNew.id.empty() &&
         (aOld.id.empty() || aNew.startTimeMs > aOld.startTimeMs);
}

/// What the daemon needs to know of its target to send it requests.
struct TargetView
{
  TargetRun run;
  /// New requests may be sent to the target.
  bool accepting = false;
  uint32_t slots = 0;
  /// Until then the target is expected to be slow.
  TimePoint coldUntil;

  bool operator==(const TargetView&) const = default;
};

/// Effect of an announcement on the view.
enum class ViewChange : uint8_t
{
  /// The view is unchanged.
  kNone,
  kChanged,
  /// The announcement is older than the known state and was ignored.
  kStale,
};

/// Tracks the runs of the local target. Not thread-safe.
class TargetState
{
public:
  ViewChange OnHeartbeat(const Heartbeat& aHeartbeat, TimePoint aNow);

  /// Records that a run of the target leaves and accepts no new requests again.
  /// If the announcement gives no start time, aStartTimeMs is 0, and the known
  /// run of that id or, if there is none, every run started until aNowMs (Unix
  /// milliseconds) has left.
  ViewChange OnLeave(const std::string& aId,
                     uint64_t aStartTimeMs,
                     uint64_t aNowMs);

  /// Restores a leave that an earlier process of this daemon recorded.
  /// Heartbeats of that run are ignored: they were sent before it left.
  ViewChange RestoreLeave(const TargetRun& aRun);

  /// Returns the run that started last among those that left, also if no
  /// heartbeat of it was received; the id is empty if none left.
  const TargetRun& LatestLeave() const { return m_latestLeave; }
  /// Not accepting requests until the first heartbeat.
  const TargetView& View() const { return m_view; }
  bool IsKnown() const { return m_hasHeartbeat; }

private:
  bool HasLeft(const TargetRun& aRun) const;
  void RecordLeave(const TargetRun& aRun);

  TargetView m_view;
  bool m_hasHeartbeat = false;
  uint64_t m_sequence = 0;
  /// By target id: start time of the latest run that left. Bounded in size.
  std::map<std::string, uint64_t> m_leftRuns;
  TargetRun m_latestLeave;
};

} // namespace wagtailbend::targets
