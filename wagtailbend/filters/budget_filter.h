// Creates or finds the attempt budget of a request, at entry and egress.
//
//   chain.Add(std::make_unique<BudgetFilter>(registry));

#pragma once

#include "wagtailbend/attempts/registry.h"
#include "wagtailbend/filters/filter.h"

namespace wagtailbend::filters {

/// A customer's request gets the schema's budget. A call of a running request
/// draws on that request's ledger, has its priority, and ends by its deadline.
/// A call that names no running request gets the method's minimum at priority
/// 0.
class BudgetFilter final : public Filter
{
public:
  /// aRegistry: the requests that the local target runs. Must outlive the
  /// filter.
  explicit BudgetFilter(const attempts::RequestRegistry& aRegistry)
    : m_registry(aRegistry)
  {
  }

  /// Returns kAttemptsExhausted if the budget does not cover one attempt, and
  /// kDeadlineTooShort if the parent's deadline has passed.
  std::optional<Error> OnRequest(RequestContext& aContext,
                                 TimePoint aNow) override;
  void OnResponse(RequestContext& /*aContext*/,
                  const Outcome& /*aOutcome*/,
                  TimePoint /*aNow*/) override
  {
  }

private:
  void OpenNested(RequestContext& aContext) const;

  const attempts::RequestRegistry& m_registry;
};

} // namespace wagtailbend::filters
