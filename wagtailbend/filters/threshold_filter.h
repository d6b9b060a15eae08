// Rejects requests that every target of the service would reject, at entry and
// egress.
//
//   chain.Add(std::make_unique<ThresholdFilter>(thresholds));

#pragma once

#include "wagtailbend/admission/threshold_table.h"
#include "wagtailbend/filters/filter.h"

namespace wagtailbend::filters {

/// Applies the admission thresholds that the targets of the service reported.
class ThresholdFilter final : public Filter
{
public:
  /// aThresholds must outlive the filter.
  explicit ThresholdFilter(const admission::ThresholdTable& aThresholds)
    : m_thresholds(aThresholds)
  {
  }

  /// Returns kOverloaded if the priority is below the lowest threshold that the
  /// service's targets reported with their responses.
  std::optional<Error> OnRequest(RequestContext& aContext,
                                 TimePoint aNow) override;
  void OnResponse(RequestContext& /*aContext*/,
                  const Outcome& /*aOutcome*/,
                  TimePoint /*aNow*/) override
  {
  }

private:
  const admission::ThresholdTable& m_thresholds;
};

} // namespace wagtailbend::filters
