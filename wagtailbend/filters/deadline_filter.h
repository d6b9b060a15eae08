// Shortens the deadline at each hop and rejects work that cannot finish.
//
//   chain.Add(std::make_unique<DeadlineFilter>(std::chrono::milliseconds(1)));

#pragma once

#include "wagtailbend/filters/filter.h"

namespace wagtailbend::filters {

/// Caps the deadline at the method's own and subtracts the time that the
/// response needs to travel back to the caller.
class DeadlineFilter final : public Filter
{
public:
  /// aReturnTime: time reserved for the way back, subtracted at each hop.
  explicit DeadlineFilter(Duration aReturnTime)
    : m_returnTime(aReturnTime)
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
  Duration m_returnTime;
};

} // namespace wagtailbend::filters
