// Priority queue in front of a target: decides which requests run, wait or are
// rejected.
//
//   TargetQueue queue;
//   queue.SetSlots(100);
//   AdmissionDecision decision = queue.Submit(request, now);
//   if (decision == AdmissionDecision::kRun) { ... send it to the target ... }
//   queue.Finish(id, holdTime, /*aSample=*/true);
//   for (const QueueDecision& next : queue.Advance(now)) { ... }
//
// The target is never sent more requests than it has slots for, so that it does
// not reject them and its own queue stays empty. Requests wait in order of
// priority class, then rank of the customer request (so that under overload the
// calls of the same customer requests are preferred by every service), then
// nested calls before new requests, then age. A request that cannot start in
// time is rejected immediately, while its caller can still try another target.
//
// A target in need names a limit on the rate of requests. It then gets no more
// than that, whatever slots are free; the order and the rejections are the
// same.

#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "wagtailbend/base/time.h"
#include "wagtailbend/gate/admission_level.h"
#include "wagtailbend/gate/rate_limiter.h"

namespace wagtailbend::gate {

/// Number of ranks. Ranks start at 0; higher ranks are rejected first.
inline constexpr uint32_t kRankCount = 1000;

/// A request submitted to the queue.
struct QueuedRequest
{
  /// Unique among the waiting and running requests.
  uint64_t id = 0;
  std::string route;
  uint32_t priority = 0;
  uint32_t rank = 0;
  /// A call made by a request that is already running at another target.
  bool nested = false;
  /// Time until which a response has its full value.
  TimePoint objective;
  /// Time after which a response has no value.
  TimePoint deadline;
};

enum class AdmissionDecision : uint8_t
{
  kRun,
  kQueued,
  /// Cannot start in time.
  kOverloaded,
  /// Less time remains before the deadline than the target needs.
  kDeadlineTooShort,
};

/// The decision about a request that was queued.
struct QueueDecision
{
  uint64_t id = 0;
  AdmissionDecision decision = AdmissionDecision::kRun;
  /// Time spent in the queue.
  Duration queueTime{};

  bool operator==(const QueueDecision&) const = default;
};

/// Load of the target and its queue.
struct QueueLoad
{
  uint32_t slots = 0;
  uint32_t running = 0;
  uint32_t queued = 0;
  /// Expected wait of a new request.
  Duration expectedWait{};
  /// Mean time for which a request occupies a slot.
  Duration meanHoldTime{};
  /// Requests per second that the target accepts; empty: any rate.
  std::optional<double> requestsPerSecond;

  bool operator==(const QueueLoad&) const = default;
};

/// Admits requests to the slots of one target. Not thread-safe.
class TargetQueue
{
public:
  /// aSlots: number of requests that the target declares to run concurrently.
  void SetSlots(uint32_t aSlots);

  /// Sets the requests per second that the target accepts; empty: any rate.
  void SetRateLimit(std::optional<double> aRequestsPerSecond, TimePoint aNow);

  /// Forgets the rate limit, since the target is one that has not responded
  /// yet. Until SetRateLimit is called, only a few requests run at the same
  /// time.
  void ForgetRateLimit(TimePoint aNow);

  /// Returns true if the rate limit allows sending a running request to the
  /// target once more.
  bool MayResend(TimePoint aNow) const { return m_rateLimiter.HasToken(aNow); }
  /// Counts such a request. If the limit does not allow it, later requests wait
  /// for longer.
  void CountResend(TimePoint aNow) { m_rateLimiter.Take(aNow); }

  /// Decides about a new request. If it is queued, a later call of Advance
  /// returns the final decision.
  AdmissionDecision Submit(const QueuedRequest& aRequest, TimePoint aNow);

  /// Frees the slot of a finished request. If aSample is true, aHoldTime also
  /// counts as a sample of the run time of its route. Call Advance afterwards.
  void Finish(uint64_t aId, Duration aHoldTime, bool aSample);

  /// Returns the queued requests that are started or rejected at aNow. Call it
  /// after Finish and every few tens of milliseconds.
  [[nodiscard]] std::vector<QueueDecision> Advance(TimePoint aNow);

  /// Removes a queued request. Returns false if it is not queued.
  bool Cancel(uint64_t aId);

  /// Removes all queued requests and returns their ids.
  [[nodiscard]] std::vector<uint64_t> Clear();

  bool IsRunning(uint64_t aId) const { return m_running.contains(aId); }
  QueueLoad CurrentLoad(TimePoint aNow) const;
  /// Mean time that requests of a route take at the target; zero if unknown.
  Duration MeanRunTime(const std::string& aRoute) const;
  const AdmissionLevels& Levels() const { return m_levels; }

private:
  struct Key
  {
    uint32_t priority = 0;
    uint32_t rankBucket = 0;
    /// False sorts first, so nested calls precede new requests.
    bool isNewRequest = false;
    uint64_t sequence = 0;

    // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const Key&) const = default;
  };
  struct WaitingRequest
  {
    QueuedRequest request;
    TimePoint queuedAt;
  };
  struct RunningRequest
  {
    std::string route;
  };

  Key MakeKey(const QueuedRequest& aRequest);
  /// Returns true if the target may be sent a request at aNow.
  bool CanStart(TimePoint aNow) const;
  Duration WaitForSlot(size_t aRequestsAhead) const;
  Duration ExpectedWait(size_t aRequestsAhead, TimePoint aNow) const;
  TimePoint LatestStart(const QueuedRequest& aRequest, TimePoint aNow) const;
  void OccupySlot(const QueuedRequest& aRequest, TimePoint aNow);
  void DropLateRequests(std::vector<QueueDecision>& aDecisions, TimePoint aNow);

  uint32_t m_slots = 0;
  RateLimiter m_rateLimiter;
  bool m_isRateLimitKnown = true;
  std::map<Key, WaitingRequest> m_queue;
  std::unordered_map<uint64_t, Key> m_keys;
  std::unordered_map<uint64_t, RunningRequest> m_running;
  std::unordered_map<std::string, double> m_meanRunNs;
  double m_meanHoldNs = 0;
  uint64_t m_sequence = 0;
  AdmissionLevels m_levels;
};

} // namespace wagtailbend::gate
