// The filter chain that every request passes, with one filter per concern.
//
//   FilterChain chain;
//   chain.Add(std::make_unique<DeadlineFilter>(Duration{}));
//   size_t entered = 0;
//   if (auto error = chain.OnRequest(context, now, entered)) { ... }
//   chain.OnResponse(context, outcome, now, entered);

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "wagtailbend/filters/request_context.h"

namespace wagtailbend::filters {

/// One concern of request handling. Implementations are called concurrently
/// from all traffic threads, for different requests.
class Filter
{
public:
  virtual ~Filter() = default;

  /// Returns an error to reject the request. Must not block. Thread-safe.
  virtual std::optional<Error> OnRequest(RequestContext& aContext,
                                         TimePoint aNow) = 0;
  /// Called once for each request whose OnRequest was called, including those
  /// that it rejected. Must not block. Thread-safe.
  virtual void OnResponse(RequestContext& aContext,
                          const Outcome& aOutcome,
                          TimePoint aNow) = 0;
};

/// The filters of one listening address, in order. Immutable once traffic
/// starts, so its const methods are thread-safe if the filters are.
class FilterChain
{
public:
  /// Appends a filter. Precondition: no request has been processed yet.
  void Add(std::unique_ptr<Filter> aFilter);

  /// Runs the filters in order until one returns an error. Sets aEntered to the
  /// number of filters that ran, including the one that rejected.
  std::optional<Error> OnRequest(RequestContext& aContext,
                                 TimePoint aNow,
                                 size_t& aEntered) const;

  /// Calls OnResponse of the first aEntered filters in reverse order.
  void OnResponse(RequestContext& aContext,
                  const Outcome& aOutcome,
                  TimePoint aNow,
                  size_t aEntered) const;

private:
  std::vector<std::unique_ptr<Filter>> m_filters;
};

/// The final admission decision on a request, which has not run yet.
struct AdmissionResult
{
  /// If empty, the request holds a slot.
  std::optional<Error> error;
  /// If there is an error, the delay after which the caller may retry.
  Duration retryAfter{};
  Duration queueTime{};
};

/// One request that asks the admission gate for a slot. Thread-safe.
class SlotRequest
{
public:
  /// Called exactly once, from any thread, possibly before Acquire returns.
  using Decision = std::function<void(const AdmissionResult&)>;

  virtual ~SlotRequest() = default;

  /// Requests a slot. Must be called once. This object must live until
  /// aDecision is called.
  virtual void Acquire(TimePoint aNow, Decision aDecision) = 0;
  /// Stops waiting: the decision is kCancelled if none was made yet. Does
  /// nothing if the request holds a slot.
  virtual void Cancel() = 0;
  /// Releases the slot of an admitted request. Must be called once. aCompleted:
  /// whether a complete response arrived.
  virtual void Release(bool aCompleted, TimePoint aNow) = 0;
};

/// The properties of a request that its admission depends on.
struct GateRequest
{
  /// Must outlive the decision.
  const schema::Method* method = nullptr;
  uint32_t priority = 0;
  TimePoint deadline;
  bool nested = false;
};

/// Admits requests to the local target. Queued requests do not occupy a thread,
/// so decisions are delivered through a callback.
class AdmissionGate
{
public:
  virtual ~AdmissionGate() = default;

  /// Creates the slot request of one request. Thread-safe.
  virtual std::shared_ptr<SlotRequest> CreateSlotRequest(
    const GateRequest& aRequest) = 0;
  /// Returns the value of `wb-threshold`, from 0 (admits all) to 9.
  /// Thread-safe.
  virtual double Threshold() const = 0;
};

} // namespace wagtailbend::filters
