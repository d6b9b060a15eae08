#include "wagtailbend/filters/deadline_filter.h"

#include <algorithm>

#include <fmt/format.h>

namespace wagtailbend::filters {

std::optional<Error>
DeadlineFilter::OnRequest(RequestContext& aContext, TimePoint aNow)
{
  aContext.deadline =
    std::min(aContext.deadline, aNow + aContext.method->deadline) -
    m_responseTime;
  if (aContext.deadline <= aNow) {
    return Error{ ErrorKind::kDeadlineTooShort,
                  fmt::format("{} ms left until the deadline",
                              ToMilliseconds(aContext.deadline - aNow)) };
  }
  return std::nullopt;
}

} // namespace wagtailbend::filters
