// Assigns the attempt budget of a request, at entry and egress.
//
//   chain.Add(std::make_unique<BudgetFilter>(registry));

#pragma once

#include "wagtailbend/attempts/registry.h"
#include "wagtailbend/filters/filter.h"

namespace wagtailbend::filters {

/// A customer's request gets the budget that the schema declares. A downstream
/// call of a running request draws on that request's ledger, inherits its
/// priority and must end by its deadline. A call that names no running request
/// gets the method's minimum budget at priority 0.
class BudgetFilter final : public Filter
{
public:
  /// aRegistry: the requests that run at the local target. Must outlive the
  /// filter.
  explicit BudgetFilter(const attempts::RequestRegistry& aRegistry)
    : m_registry(aRegistry)
  {
  }

  /// Returns kAttemptsExhausted if the budget does not cover one attempt, and
  /// kDeadlineTooShort if the deadline has passed, which may be that of the
  /// parent.
  std::optional<Error> OnRequest(RequestContext& aContext,
                                 TimePoint aNow) override;
  void OnResponse(RequestContext& /*aContext*/,
                  const Outcome& /*aOutcome*/,
                  TimePoint /*aNow*/) override
  {
  }

private:
  /// Applies the ledger, priority and deadline of the running parent request.
  /// Sets the priority to 0 if there is none.
  void InheritFromParent(RequestContext& aContext) const;

  const attempts::RequestRegistry& m_registry;
};

} // namespace wagtailbend::filters
