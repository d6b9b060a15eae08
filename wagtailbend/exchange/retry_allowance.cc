#include "wagtailbend/exchange/retry_allowance.h"

namespace wagtailbend::exchange {
namespace {

// Part of the allowance for what is not important.
constexpr double kUnimportantPart = 0.4;

} // namespace

RetryAllowance::RetryAllowance(RetryTerms aTerms)
  : m_terms(aTerms)
{
}

void
RetryAllowance::SetDaemons(size_t aCount)
{
  const size_t count = aCount == 0 ? 1 : aCount;
  if (4 * count <= 5 * m_daemons && 4 * m_daemons <= 5 * count) {
    return;
  }
  m_daemons = count;
  m_limits.clear();
}

RetryAllowance::Limits&
RetryAllowance::For(const std::string& aService)
{
  Limits& limits = m_limits[aService];
  if (!limits.all) {
    const double percent = 100.0 * m_terms.ratio * m_terms.part;
    const double extra =
      m_terms.part * m_terms.extra / static_cast<double>(m_daemons);
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
                        bool aImportant,
                        TimePoint aNow)
{
  Limits& limits = For(aService);
  if (!aImportant && !limits.unimportant->TryTake(aNow)) {
    return false;
  }
  return limits.all->TryTake(aNow);
}

} // namespace wagtailbend::exchange
