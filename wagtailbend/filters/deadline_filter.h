// Shortens the deadline at each hop and rejects requests that cannot complete
// in time.
//
//   chain.Add(std::make_unique<DeadlineFilter>(std::chrono::milliseconds(1)));

#pragma once

#include "wagtailbend/filters/filter.h"

namespace wagtailbend::filters {

/// Caps the deadline at that of the method and subtracts the time that the
/// response needs to reach the caller.
class DeadlineFilter final : public Filter
{
public:
  /// aResponseTime: time reserved for the response to reach the caller,
  /// subtracted at each hop.
  explicit DeadlineFilter(Duration aResponseTime)
    : m_responseTime(aResponseTime)
  {
  }

  /// Returns kDeadlineTooShort if no time remains.
  std::optional<Error> OnRequest(RequestContext& aContext,
                                 TimePoint aNow) override;
  void OnResponse(RequestContext& /*aContext*/,
                  const Outcome& /*aOutcome*/,
                  TimePoint /*aNow*/) override
  {
  }

private:
  Duration m_responseTime;
};

} // namespace wagtailbend::filters
