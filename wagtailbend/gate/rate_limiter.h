// Limits the rate of requests to a target that names a limit for all callers
// together.
//
//   RateLimiter limiter;
//   limiter.SetLimit(29.2, now);
//   if (limiter.TryTake(now)) { ... send the request ... }
//
// For a target in need: it still runs what it is sent, more slowly for
// everybody, so only its callers can protect it. A token bucket with a small
// burst, since a target without reserves is hurt by bursts too.

#pragma once

#include <cstddef>
#include <optional>

#include "wagtailbend/base/time.h"

namespace wagtailbend::gate {

/// Lower bound of a limit in requests per second. A target that accepts nothing
/// still gets a request now and then, whose response shows when that ends.
inline constexpr double kMinRequestsPerSecond = 0.5;

/// Not thread-safe.
class RateLimiter
{
public:
  /// aRequestsPerSecond >= 0; empty: no limit. The first limit starts with one
  /// token; a changed one keeps the tokens that are left.
  void SetLimit(std::optional<double> aRequestsPerSecond, TimePoint aNow);

  /// Returns true if a request may be sent at aNow. Does not take a token.
  bool HasToken(TimePoint aNow) const;
  /// Takes a token. Returns false if there is none.
  bool TryTake(TimePoint aNow);
  /// Takes a token for a request that has to be sent in any case. If there is
  /// none, later requests wait for longer.
  void Take(TimePoint aNow);

  /// Returns how long a request has to wait for a token at aNow if
  /// aRequestsAhead others precede it.
  Duration Wait(size_t aRequestsAhead, TimePoint aNow) const;

  std::optional<double> Limit() const { return m_limit; }

private:
  double Tokens(TimePoint aNow) const;

  std::optional<double> m_limit;
  double m_tokens = 0;
  TimePoint m_updatedAt{};
};

} // namespace wagtailbend::gate
