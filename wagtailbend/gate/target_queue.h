// Who runs at the target now, who waits, and who is rejected.
//
//   TargetQueue queue;
//   queue.SetSlots(100);
//   Verdict verdict = queue.Submit(work, now);
//   if (verdict == Verdict::kRun) { ... send it to the target ... }
//   queue.Finish(id, held, true, now);
//   for (const Step& step : queue.Advance(now)) { ... run or reject ... }
//
// Answers a target that is asked for more than its slots. The target is never
// sent more than it has slots for, so that nothing arrives there in vain and
// its own queue stays empty. The order of the wait is by priority class, then
// by rank of the customer request (in overload the calls of the same customer
// requests win everywhere), then calls of running requests before new ones,
// then age. A request that cannot start in time is rejected at once, while its
// caller can still ask elsewhere.

#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "wagtailbend/base/time.h"
#include "wagtailbend/gate/admit_level.h"

namespace wagtailbend::gate {

/// Ranks are 0 to kRanks - 1; the lowest are kept longest.
inline constexpr uint32_t kRanks = 1000;

struct Work
{
  /// Unique among the works in the queue.
  uint64_t id = 0;
  std::string route;
  uint32_t priority = 0;
  uint32_t rank = 0;
  /// A call of a request that runs elsewhere.
  bool nested = false;
  /// An answer before it is worth its full value.
  TimePoint objective;
  /// An answer after it is worth nothing.
  TimePoint deadline;
};

enum class Verdict : uint8_t
{
  kRun,
  kQueued,
  /// Could not start in time.
  kNoRoom,
  /// Less time is left than the target needs.
  kTooLate,
};

/// A queued work that is decided.
struct Step
{
  uint64_t id = 0;
  Verdict verdict = Verdict::kRun;
  /// Time in the queue.
  Duration waited{};

  bool operator==(const Step&) const = default;
};

struct Load
{
  uint32_t slots = 0;
  uint32_t running = 0;
  uint32_t queued = 0;
  /// Expected wait of a new request.
  Duration wait{};
  /// Mean time that a request holds a slot.
  Duration hold{};

  bool operator==(const Load&) const = default;
};

/// Not thread-safe.
class TargetQueue
{
public:
  /// aSlots: requests that the target runs at the same time, as it says.
  void SetSlots(uint32_t aSlots);

  /// Decides about a new request. After kQueued its decision follows from
  /// Advance.
  Verdict Submit(const Work& aWork, TimePoint aNow);

  /// Frees the slot of a request that ran. aSample: aHeld tells how long such
  /// requests take. Call Advance afterwards.
  void Finish(uint64_t aId, Duration aHeld, bool aSample);

  /// Returns the queued works that run or are rejected now. Call it after
  /// Finish and every few 10 ms.
  [[nodiscard]] std::vector<Step> Advance(TimePoint aNow);

  /// Removes a queued work. Returns false if it is not queued.
  bool Cancel(uint64_t aId);

  /// Removes and returns all queued works.
  [[nodiscard]] std::vector<uint64_t> Clear();

  bool IsRunning(uint64_t aId) const { return m_running.contains(aId); }
  Load CurrentLoad() const;
  /// Mean time at the target of a route's requests; zero if unknown.
  Duration MeanRun(const std::string& aRoute) const;
  const AdmitLevels& Levels() const { return m_levels; }

private:
  struct Key
  {
    uint32_t priority = 0;
    uint32_t bucket = 0;
    /// Calls of running requests first.
    bool fresh = false;
    uint64_t sequence = 0;

    // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Key&) const = default;
  };
  struct Entry
  {
    Work work;
    TimePoint since;
  };
  struct Running
  {
    std::string route;
  };

  Key KeyOf(const Work& aWork);
  Duration WaitBehind(size_t aAhead) const;
  TimePoint LatestStart(const Work& aWork, TimePoint aNow) const;
  void Occupy(const Work& aWork);
  void DropHopeless(std::vector<Step>& aSteps, TimePoint aNow);

  uint32_t m_slots = 0;
  std::map<Key, Entry> m_queue;
  std::unordered_map<uint64_t, Key> m_keys;
  std::unordered_map<uint64_t, Running> m_running;
  std::unordered_map<std::string, double> m_runNs;
  double m_holdNs = 0;
  uint64_t m_sequence = 0;
  AdmitLevels m_levels;
};

} // namespace wagtailbend::gate
