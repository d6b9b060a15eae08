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
                fmt::format("priority {} below threshold {:.2f}",
                            aContext.priority,
                            m_thresholds.OfService(method.service, aNow)) };
}

} // namespace wagtailbend::filters
