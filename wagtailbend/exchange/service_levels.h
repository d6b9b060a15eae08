// The admission levels of a service as its callers know them, from the reports
// of its targets.
//
//   if (IsRepresentative(report.requestsPerSecond.has_value(), hasUnlimited)) {
//     levels.Record(report.admissionLevels, now);
//   }
//   if (rank < levels.At(now)[priorityClass] * gate::kRankCount) { ... }
//
// For overload of a service: callers reject the share of new requests that it
// has no capacity for.

#pragma once

#include <array>

#include "wagtailbend/base/time.h"
#include "wagtailbend/gate/admission_level.h"

namespace wagtailbend::exchange {

/// By priority class: share of new customer requests for which there is
/// capacity.
using Levels = std::array<double, gate::kPriorityClasses>;

/// Returns true if the levels of a target are a measure of its service. One
/// that has named a rate limit rejects requests that its service still has
/// capacity for, as long as other targets have named none. Thread-safe.
constexpr bool
IsRepresentative(bool aIsLimited, bool aHasUnlimitedTargets)
{
  return !aIsLimited || !aHasUnlimitedTargets;
}

/// Moving average of the reported levels, which rise again while no reports
/// come. Not thread-safe.
class ServiceLevels
{
public:
  void Record(const Levels& aReported, TimePoint aNow);
  Levels At(TimePoint aNow) const;

private:
  Levels m_levels{ 1, 1, 1, 1 };
  TimePoint m_updatedAt{};
};

} // namespace wagtailbend::exchange
