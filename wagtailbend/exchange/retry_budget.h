// Retry budget of this daemon for each service.
//
//   budget.RecordCall(service, now);
//   if (budget.TryTake(service, { priority, rank, nested }, now)) {
//     ... retry ...
//   }
//
// Limits the extra load when targets fail or reject requests and all callers
// retry: the arrivals beyond the first of each request are bounded for the
// whole system by a ratio of the requests plus a fixed number in a window of 10
// s. Each daemon applies the ratio to its own requests and takes its share of
// the fixed number, so daemons need not exchange their retry counts.
//
// If demand exceeds the budget, the most important requests get the
// retries, and among equally important ones those of the lowest rank get all
// that they need. A request with several nested calls fails if any of them
// fails, so a retry of one call is wasted unless the others get theirs as well.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "wagtailbend/attempts/ratio_limiter.h"
#include "wagtailbend/base/time.h"

namespace wagtailbend::exchange {

/// Limits of the retry budget at one of the components of a daemon that retry.
struct RetryBudgetLimits
{
  /// Extra arrivals allowed per request.
  double ratio = 0.1;
  /// Extra arrivals allowed in the whole system per window.
  uint32_t extraRetries = 10;
  /// Share of the bound for this component. The shares of all components of a
  /// daemon must sum to less than 1, because the daemons' windows do not align.
  double share = 0.7;

  bool operator==(const RetryBudgetLimits&) const = default;
};

/// Request for which a retry is claimed.
struct RetryClaim
{
  uint32_t priority = 0;
  /// Rank of the customer request; its nested calls inherit it.
  uint32_t rank = 0;
  /// Whether this is a call made by a request that runs at a target.
  bool nested = false;

  bool operator==(const RetryClaim&) const = default;
};

/// Returns true for the most important priority class and for
/// requests on which customers wait directly.
constexpr bool
IsImportant(const RetryClaim& aClaim)
{
  return aClaim.priority == 0 || !aClaim.nested;
}

/// Returns the share of the budget, 0 to 1, up to which aClaim may be granted.
/// Thread-safe.
double
BudgetShareOf(const RetryClaim& aClaim);

/// Number of daemons assumed until SetDaemons is called.
inline constexpr size_t kInitialDaemonCount = 64;

/// Not thread-safe.
class RetryBudget
{
public:
  explicit RetryBudget(RetryBudgetLimits aLimits);

  /// Sets the number of daemons that share the fixed number. The assumed number
  /// is high so that a daemon that has just started does not exceed its share.
  /// A change by more than a quarter resets the windows.
  void SetDaemons(size_t aCount);
  void RecordCall(const std::string& aService, TimePoint aNow);
  /// Returns true and counts one extra arrival if the budget allows it.
  bool TryTake(const std::string& aService,
               const RetryClaim& aClaim,
               TimePoint aNow);
  /// Counts an extra arrival that has been allowed already, without a check.
  void RecordExtra(const std::string& aService, TimePoint aNow);

private:
  attempts::RatioLimiter& LimiterFor(const std::string& aService);

  const RetryBudgetLimits m_budgetLimits;
  size_t m_daemons = kInitialDaemonCount;
  std::unordered_map<std::string, std::unique_ptr<attempts::RatioLimiter>>
    m_limiters;
};

} // namespace wagtailbend::exchange
