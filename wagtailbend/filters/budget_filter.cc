#include "wagtailbend/filters/budget_filter.h"

#include <algorithm>

#include <fmt/format.h>

namespace wagtailbend::filters {

using attempts::AttemptLedger;
using attempts::CallCost;

void
BudgetFilter::OpenNested(RequestContext& aContext) const
{
  const auto running =
    aContext.parent ? m_registry.Find(*aContext.parent) : nullptr;
  if (!running) {
    aContext.priority = 0;
    return;
  }
  aContext.nested = true;
  aContext.priority = running->priority;
  aContext.deadline = std::min(aContext.deadline, running->deadline);
  // Shares the ownership of the whole running request.
  aContext.ledger = { running, &running->ledger };
}

std::optional<Error>
BudgetFilter::OnRequest(RequestContext& aContext, TimePoint aNow)
{
  const schema::Method& method = *aContext.method;
  const CallCost cost = attempts::CostOf(method);
  const bool customer = aContext.origin == Origin::kCustomer;
  if (!customer) {
    OpenNested(aContext);
  }
  if (!aContext.ledger) {
    aContext.ledger = std::make_shared<AttemptLedger>(
      customer ? method.attemptBudget : cost.minimum,
      std::vector<CallCost>{ cost });
  }
  if (aContext.deadline <= aNow) {
    return Error{ ErrorKind::kDeadlineTooShort, "deadline of the parent" };
  }
  const uint32_t remaining = aContext.ledger->Remaining();
  if (remaining < cost.minimum) {
    return Error{ ErrorKind::kAttemptsExhausted,
                  fmt::format("{} of {} left", remaining, cost.minimum) };
  }
  return std::nullopt;
}

} // namespace wagtailbend::filters
