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

/// Where an admitted request waits for a slot of the local target. The request
/// may wait in a queue, so the decision arrives through a callback.
class AdmissionGate
{
public:
  /// Called exactly once, from any thread: empty to admit, else the rejection.
  using Decision = std::function<void(std::optional<Error>)>;

  virtual ~AdmissionGate() = default;

  /// aContext outlives the call of aDecision. Thread-safe.
  virtual void Enter(RequestContext& aContext,
                     TimePoint aNow,
                     Decision aDecision) = 0;
  /// Called once for each admitted request when it has ended. Thread-safe.
  virtual void Leave(RequestContext& aContext,
                     const Outcome& aOutcome,
                     TimePoint aNow) = 0;
};

} // namespace wagtailbend::filters
