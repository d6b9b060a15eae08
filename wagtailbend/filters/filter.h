// The filter chain of a request, one filter per concern.
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

/// One concern of request handling. Implementations are called from all
/// traffic threads at the same time, for different requests.
class Filter
{
public:
  virtual ~Filter() = default;

  /// Returns an error to reject the request. Must not block. Thread-safe.
  virtual std::optional<Error> OnRequest(RequestContext& aContext,
                                         TimePoint aNow) = 0;
  /// Called once for each request whose OnRequest ran, also if it returned an
  /// error. Must not block. Thread-safe.
  virtual void OnResponse(RequestContext& aContext,
                          const Outcome& aOutcome,
                          TimePoint aNow) = 0;
};

/// The filters of one listening address, in order. Immutable once traffic
/// starts, so the calls are thread-safe as far as the filters are.
class FilterChain
{
public:
  /// Appends a filter. Precondition: no request has run yet.
  void Add(std::unique_ptr<Filter> aFilter);

  /// Runs the filters in order until one returns an error. Sets aEntered to
  /// the number of filters that ran.
  std::optional<Error> OnRequest(RequestContext& aContext,
                                 TimePoint aNow,
                                 size_t& aEntered) const;

  /// Runs the first aEntered filters in reverse order.
  void OnResponse(RequestContext& aContext,
                  const Outcome& aOutcome,
                  TimePoint aNow,
                  size_t aEntered) const;

private:
  std::vector<std::unique_ptr<Filter>> m_filters;
};

/// The final decision on a request at the gate. It was not run so far.
struct AdmissionResult
{
  /// Empty: the request holds a slot.
  std::optional<Error> error;
  /// With an error: when the caller may try again.
  Duration retryAfter{};
  Duration queueTime{};
};

/// One request at the gate. Thread-safe.
class AdmissionEntry
{
public:
  /// Called exactly once, from any thread, possibly before Wait has returned.
  using Decision = std::function<void(const AdmissionResult&)>;

  virtual ~AdmissionEntry() = default;

  /// Asks for a slot. Called once. The entry must live until aDecision runs.
  virtual void Wait(TimePoint aNow, Decision aDecision) = 0;
  /// Gives up waiting: the decision is kCancelled if none was made yet. Does
  /// nothing for a request that holds a slot.
  virtual void Cancel() = 0;
  /// Frees the slot of an admitted request. Called once. aAnswered: a complete
  /// response arrived.
  virtual void Leave(bool aAnswered, TimePoint aNow) = 0;
};

/// What the gate decides on.
struct GateRequest
{
  /// Lives until the decision.
  const schema::Method* method = nullptr;
  uint32_t priority = 0;
  TimePoint deadline;
  bool nested = false;
};

/// Where requests wait for a slot of the local target. A request may wait in a
/// queue without a thread, so the decision arrives through a callback.
class AdmissionGate
{
public:
  virtual ~AdmissionGate() = default;

  /// Thread-safe.
  virtual std::shared_ptr<AdmissionEntry> Open(const GateRequest& aRequest) = 0;
  /// Value of `wb-threshold`, from 0 (admits all) to 9. Thread-safe.
  virtual double Threshold() const = 0;
};

} // namespace wagtailbend::filters
