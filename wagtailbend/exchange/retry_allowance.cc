#include "wagtailbend/exchange/retry_allowance.h"

namespace wagtailbend::exchange {
namespace {

// Part of the bound that is used: windows of the daemons do not align, and
// calls made by a repeated run count as repeats too.
constexpr double kRatioPart = 0.7;
constexpr double kExtraPart = 0.5;
// Part of the allowance that priorities from this one on may use.
constexpr uint32_t kUnimportantFrom = 1;
constexpr double kUnimportantPart = 0.7;

} // namespace

RetryAllowance::RetryAllowance(RetryTerms aTerms)
  : m_terms(aTerms)
{
}

void
RetryAllowance::SetDaemons(size_t aCount)
{
  m_daemons = aCount == 0 ? 1 : aCount;
}

RetryAllowance::Limits&
RetryAllowance::For(const std::string& aService)
{
  Limits& limits = m_limits[aService];
  if (!limits.all) {
    const double percent = 100.0 * m_terms.ratio * kRatioPart;
    const double extra =
      kExtraPart * m_terms.extra / static_cast<double>(m_daemons);
    limits.all = std::make_unique<attempts::RatioLimiter>(
      static_cast<uint32_t>(percent), static_cast<uint32_t>(extra));
    limits.unimportant = std::make_unique<attempts::RatioLimiter>(
      static_cast<uint32_t>(percent * kUnimportantPart),
      static_cast<uint32_t>(extra * kUnimportantPart));
  }
  return limits;
}

void
RetryAllowance::RecordCall(const std::string& aService, TimePoint aNow)
{
  Limits& limits = For(aService);
  limits.all->RecordCall(aNow);
  limits.unimportant->RecordCall(aNow);
}

bool
RetryAllowance::TryTake(const std::string& aService,
                        uint32_t aPriority,
                        TimePoint aNow)
{
  Limits& limits = For(aService);
  if (aPriority >= kUnimportantFrom && !limits.unimportant->TryTake(aNow)) {
    return false;
  }
  return limits.all->TryTake(aNow);
}

} // namespace wagtailbend::exchange
