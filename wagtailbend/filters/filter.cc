#include "wagtailbend/filters/filter.h"

#include <utility>

namespace wagtailbend::filters {

void
FilterChain::Add(std::unique_ptr<Filter> aFilter)
{
  m_filters.push_back(std::move(aFilter));
}

std::optional<Error>
FilterChain::OnRequest(RequestContext& aContext,
                       TimePoint aNow,
                       size_t& aEntered) const
{
  aEntered = 0;
  for (const auto& filter : m_filters) {
    ++aEntered;
    if (auto error = filter->OnRequest(aContext, aNow)) {
      return error;
    }
  }
  return std::nullopt;
}

void
FilterChain::OnResponse(RequestContext& aContext,
                        const Outcome& aOutcome,
                        TimePoint aNow,
                        size_t aEntered) const
{
  for (size_t i = aEntered; i > 0; --i) {
    m_filters[i - 1]->OnResponse(aContext, aOutcome, aNow);
  }
}

} // namespace wagtailbend::filters
