#include "wagtailbend/exchange/retry_budget.h"

#include <algorithm>

#include "wagtailbend/gate/target_queue.h"

namespace wagtailbend::exchange {
namespace {

// Share of the budget that the lowest rank of each group may use. The
// most important priority class must fail last in an overload. In
// the other classes, a customer request that waits for one response is more
// likely to succeed than a request with several nested calls.
constexpr double kTopClassShare = 1.0;
constexpr double kClientRequestShare = 0.4;
constexpr double kNestedCallShare = 0.15;
// Share of the lowest rank's limit that the highest rank may use. A narrow
// range leaves little of the budget unused when only low ranks get retries.
constexpr double kHighestRankShare = 0.7;

} // namespace

double
BudgetShareOf(const RetryClaim& aClaim)
{
  const double lowestRankShare = aClaim.priority == 0 ? kTopClassShare
                                 : aClaim.nested      ? kNestedCallShare
                                                      : kClientRequestShare;
  const double rank =
    static_cast<double>(std::min(aClaim.rank, gate::kRankCount)) /
    gate::kRankCount;
  return lowestRankShare * (1.0 - (1.0 - kHighestRankShare) * rank);
}

RetryBudget::RetryBudget(RetryBudgetLimits aLimits)
  : m_budgetLimits(aLimits)
{
}

void
RetryBudget::SetDaemons(size_t aCount)
{
  const size_t count = aCount == 0 ? 1 : aCount;
  if (4 * count <= 5 * m_daemons && 4 * m_daemons <= 5 * count) {
    return;
  }
  m_daemons = count;
  m_limiters.clear();
}

attempts::RatioLimiter&
RetryBudget::LimiterFor(const std::string& aService)
{
  std::unique_ptr<attempts::RatioLimiter>& limiter = m_limiters[aService];
  if (!limiter) {
    const double percent = 100.0 * m_budgetLimits.ratio * m_budgetLimits.share;
    const double extra = m_budgetLimits.share * m_budgetLimits.extraRetries /
                         static_cast<double>(m_daemons);
    limiter = std::make_unique<attempts::RatioLimiter>(
      static_cast<uint32_t>(percent), static_cast<uint32_t>(extra));
  }
  return *limiter;
}

void
RetryBudget::RecordCall(const std::string& aService, TimePoint aNow)
{
  LimiterFor(aService).RecordCall(aNow);
}

bool
RetryBudget::TryTake(const std::string& aService,
                     const RetryClaim& aClaim,
                     TimePoint aNow)
{
  return LimiterFor(aService).TryAcquire(aNow, BudgetShareOf(aClaim));
}

void
RetryBudget::RecordExtra(const std::string& aService, TimePoint aNow)
{
  LimiterFor(aService).RecordUncheckedRetry(aNow);
}

} // namespace wagtailbend::exchange
