#include "wagtailbend/gate/rate_limiter.h"

#include <algorithm>

namespace wagtailbend::gate {
namespace {

// Time for which unused tokens accumulate, in addition to one token. Longer
// than the interval at which the queue is processed, so that no token is lost
// while requests wait.
constexpr double kBurstSeconds = 0.1;

} // namespace

void
RateLimiter::SetLimit(std::optional<double> aRequestsPerSecond, TimePoint aNow)
{
  m_tokens = m_limit ? Tokens(aNow) : 1;
  m_updatedAt = aNow;
  m_limit = aRequestsPerSecond;
  if (m_limit) {
    m_limit = std::max(*m_limit, kMinRequestsPerSecond);
  }
}

double
RateLimiter::Tokens(TimePoint aNow) const
{
  const double seconds =
    std::chrono::duration<double>(aNow - m_updatedAt).count();
  return std::min(m_tokens + *m_limit * seconds, 1 + *m_limit * kBurstSeconds);
}

bool
RateLimiter::HasToken(TimePoint aNow) const
{
  return !m_limit || Tokens(aNow) >= 1;
}

bool
RateLimiter::TryTake(TimePoint aNow)
{
  if (!HasToken(aNow)) {
    return false;
  }
  Take(aNow);
  return true;
}

void
RateLimiter::Take(TimePoint aNow)
{
  if (!m_limit) {
    return;
  }
  m_tokens = Tokens(aNow) - 1;
  m_updatedAt = aNow;
}

Duration
RateLimiter::Wait(size_t aRequestsAhead, TimePoint aNow) const
{
  if (!m_limit) {
    return Duration{};
  }
  const double missing = static_cast<double>(aRequestsAhead) + 1 - Tokens(aNow);
  if (missing <= 0) {
    return Duration{};
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(missing / *m_limit));
}

} // namespace wagtailbend::gate
