#include "wagtailbend/filters/budget_filter.h"

#include <algorithm>

#include <fmt/format.h>

namespace wagtailbend::filters {

using attempts::AttemptLedger;
using attempts::CallCost;

void
BudgetFilter::InheritFromParent(RequestContext& aContext) const
{
  const auto parentRequest =
    aContext.parent ? m_registry.Find(*aContext.parent) : nullptr;
  if (!parentRequest) {
    aContext.priority = 0;
    return;
  }
  aContext.nested = true;
  aContext.priority = parentRequest->priority;
  aContext.deadline = std::min(aContext.deadline, parentRequest->deadline);
  // Aliases the ledger; the pointer keeps the whole running request alive.
  aContext.ledger = { parentRequest, &parentRequest->ledger };
}

std::optional<Error>
BudgetFilter::OnRequest(RequestContext& aContext, TimePoint aNow)
{
  const schema::Method& method = *aContext.method;
  const CallCost cost = attempts::CostOf(method);
  const bool isFromCustomer = aContext.origin == Origin::kCustomer;
  if (!isFromCustomer) {
    InheritFromParent(aContext);
  }
  if (!aContext.ledger) {
    aContext.ledger = std::make_shared<AttemptLedger>(
      isFromCustomer ? method.attemptBudget : cost.minimum,
      std::vector<CallCost>{ cost });
  }
  if (aContext.deadline <= aNow) {
    return Error{ ErrorKind::kDeadlineTooShort,
                  "the deadline of the parent request has passed" };
  }
  const uint32_t remaining = aContext.ledger->Remaining();
  if (remaining < cost.minimum) {
    return Error{ ErrorKind::kAttemptsExhausted,
                  fmt::format(
                    "{} attempts left, {} needed", remaining, cost.minimum) };
  }
  return std::nullopt;
}

} // namespace wagtailbend::filters
