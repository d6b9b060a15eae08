// Decides which requests to one target run now, which are queued and which are
// rejected.
//
//   Admission admission({ .slots = 100, .reservesOrderSlots = true });
//   AdmissionDecision decision = admission.Submit(request, now, rng);
//   if (const Slot* slot = std::get_if<Slot>(&decision)) { ... run it ... }
//   for (Wakeup& wakeup : admission.Complete(slot, RunResult::kCompleted, now,
//   rng))
//     Deliver(wakeup.waiter, wakeup.decision);
//
// Every submitted request gets exactly one final decision: the return value of
// Submit or, if that was a QueueHandle, either one Wakeup or a Cancel that
// returned true.

#pragma once

#include <atomic>
#include <mutex>
#include <string_view>
#include <variant>
#include <vector>

#include "wagtailbend/admission/internal/concurrency_limit.h"
#include "wagtailbend/admission/internal/long_request_share.h"
#include "wagtailbend/admission/internal/service_times.h"
#include "wagtailbend/admission/internal/threshold_controller.h"
#include "wagtailbend/admission/internal/wait_queue.h"
#include "wagtailbend/base/error.h"
#include "wagtailbend/base/rng.h"
#include "wagtailbend/base/time.h"
#include "wagtailbend/schema/schema.h"

namespace wagtailbend::admission {

struct AdmissionConfig
{
  /// Concurrent requests that the target declares. Precondition: > 0.
  uint32_t slots = 1;
  /// Whether the target's service has methods of kind order. If so, 10% of the
  /// slots (at least one, unless there is only one) are reserved for orders.
  bool reservesOrderSlots = false;
  /// Maximum queue time of requests that are neither orders nor long.
  Duration maxQueueTime = std::chrono::milliseconds(100);
  /// Maximum queue time of long requests, whose slots become free less often.
  Duration maxLongQueueTime = std::chrono::seconds(1);
};

struct AdmissionRequest
{
  /// gRPC path. Must outlive the Submit call only.
  std::string_view method;
  schema::Kind kind = schema::Kind::kLookup;
  uint32_t priority = 0;
  TimePoint deadline;
  /// Whether this is a downstream call of a request that was admitted
  /// elsewhere.
  bool nested = false;
  /// Returned in the Wakeup if the request is queued. Never dereferenced.
  void* waiter = nullptr;
};

/// Permission to run one request at the target. Must be passed to Complete
/// exactly once.
struct Slot
{
  uint32_t method = 0;
  schema::Kind kind = schema::Kind::kLookup;
  /// Whether the request counts towards the share of long requests.
  bool isLong = false;
  TimePoint start;

  bool operator==(const Slot&) const = default;
};

/// Identifies a request in the queue; pass it to Cancel.
struct QueueHandle
{
  internal::QueueKey key;
  bool isLong = false;

  bool operator==(const QueueHandle&) const = default;
};

struct Rejection
{
  /// kOverloaded or kDeadlineTooShort. The request has not run.
  ErrorKind kind = ErrorKind::kOverloaded;
  /// Randomized, so that rejected callers do not retry at the same time.
  Duration retryAfter{};

  bool operator==(const Rejection&) const = default;
};

using AdmissionDecision = std::variant<Slot, QueueHandle, Rejection>;

/// The final decision on a queued request.
struct Wakeup
{
  void* waiter = nullptr;
  std::variant<Slot, Rejection> decision;
};

/// How a run ended.
enum class RunResult : uint8_t
{
  kCompleted,
  /// The run failed or was cancelled. Its duration is not used to estimate
  /// service times, because a fast failure says nothing about the time that a
  /// response takes.
  kFailed,
};

struct AdmissionState
{
  uint32_t limit = 0;
  uint32_t inFlight = 0;
  uint32_t ordersInFlight = 0;
  uint32_t longInFlight = 0;
  size_t queued = 0;
  double threshold = 0;

  bool operator==(const AdmissionState&) const = default;
};

/// Thread-safe. Uses one lock per target, held for O(log queue) operations. No
/// callbacks run under the lock: Complete and Poll return the wakeups, and the
/// calling thread delivers them afterwards.
class Admission
{
public:
  explicit Admission(const AdmissionConfig& aConfig);

  /// Decides on a new request.
  AdmissionDecision Submit(const AdmissionRequest& aRequest,
                           TimePoint aNow,
                           Rng& aRng);

  /// Releases aSlot. Returns the queued requests that are now admitted or have
  /// expired. The caller must deliver all of them.
  [[nodiscard]] std::vector<Wakeup> Complete(const Slot& aSlot,
                                             RunResult aEnding,
                                             TimePoint aNow,
                                             Rng& aRng);

  /// Returns the queued requests that have expired. Must be called at
  /// NextExpiry or every few milliseconds.
  [[nodiscard]] std::vector<Wakeup> Poll(TimePoint aNow, Rng& aRng);

  /// Removes a queued request whose caller has disconnected. Returns false if
  /// the request was already decided; the thread that received its Wakeup then
  /// delivers it.
  bool Cancel(const QueueHandle& aQueued);

  /// Returns when the next queued request expires, or nullopt if the queue is
  /// empty.
  std::optional<TimePoint> NextExpiry() const;

  /// Returns the value of the `wb-threshold` response metadata, from 0 (admits
  /// all) to 9. Takes no lock.
  double Threshold() const
  {
    return m_threshold.load(std::memory_order_relaxed);
  }

  AdmissionState State() const;

private:
  struct QueueCandidate
  {
    internal::QueueKey key;
    internal::QueueEntry entry;
    bool isLong = false;
  };

  /// Returns the maximum number of concurrent long requests. It is a share of
  /// the learned limit rather than of the declared slots, because a target may
  /// process fewer requests concurrently than it declares.
  uint32_t MaxLongRequests() const;
  bool HasSlotFor(bool aOrder, bool aLong) const;
  Slot AcquireSlot(uint32_t aMethod,
                   schema::Kind aKind,
                   bool aLong,
                   TimePoint aNow);
  /// Returns whether the request is expected to finish by aDeadline, or is
  /// admitted as a probe of the estimate.
  bool CanMeetDeadline(uint32_t aMethod, TimePoint aDeadline, TimePoint aNow);
  Duration EstimatedWait(const QueueCandidate& aPlacement) const;
  QueueCandidate MakeQueueCandidate(const AdmissionRequest& aRequest,
                                    uint32_t aMethod,
                                    bool aLong,
                                    TimePoint aNow);
  Rejection Reject(ErrorKind aKind, Rng& aRng);
  void RejectExpired(std::vector<Wakeup>& aWakeups, TimePoint aNow, Rng& aRng);
  void AdmitQueued(std::vector<Wakeup>& aWakeups, TimePoint aNow);
  void ReportOverload(bool aLong);
  /// Updates the threshold from the current queue length.
  void UpdateThreshold(TimePoint aNow);

  const AdmissionConfig m_config;
  const uint32_t m_reservedSlots;

  mutable std::mutex m_mutex;
  internal::ConcurrencyLimit m_limit;
  internal::LongRequestShare m_longRequestShare;
  internal::ServiceTimes m_serviceTimes;
  internal::ThresholdController m_thresholdController;
  /// Long requests have a separate queue, so that they cannot block short
  /// requests behind them.
  internal::WaitQueue m_queue;
  internal::WaitQueue m_longQueue;
  uint32_t m_inFlight = 0;
  uint32_t m_ordersInFlight = 0;
  uint32_t m_longInFlight = 0;
  uint64_t m_nextSequence = 0;
  /// Requests that were estimated to miss their deadline; selects the probes.
  uint32_t m_predictedDeadlineMisses = 0;
  std::atomic<double> m_threshold{ 0 };
};

} // namespace wagtailbend::admission
