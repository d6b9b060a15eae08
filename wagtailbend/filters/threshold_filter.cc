#include "wagtailbend/filters/threshold_filter.h"

#include <fmt/format.h>

namespace wagtailbend::filters {

std::optional<Error>
ThresholdFilter::OnRequest(RequestContext& aContext, TimePoint aNow)
{
  const schema::Method& method = *aContext.method;
  if (m_thresholds.AllowsService(method.service,
                                 method.kind,
                                 aContext.priority,
                                 aContext.nested,
                                 aNow,
                                 ThreadRng())) {
    return std::nullopt;
  }
  return Error{ ErrorKind::kOverloaded,
                fmt::format(
                  "priority {} is below the threshold {:.2f} of the service",
                  aContext.priority,
                  m_thresholds.ServiceThreshold(method.service, aNow)) };
}

} // namespace wagtailbend::filters
