// How many more arrivals at a service this daemon may cause.
//
//   allowance.RecordCall(service, now);
//   if (allowance.TryTake(service, important, now)) { ... send it again ... }
//
// Answers targets that fail or reject while all callers retry: the arrivals
// beyond the first of each request are bounded for the whole system by a ratio
// of the requests plus a fixed number in a window of 10 s. Each daemon keeps
// to the ratio over its own requests, and to its part of the fixed number, so
// that no daemon needs to know of the others' retries.

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include "wagtailbend/attempts/ratio_limiter.h"
#include "wagtailbend/base/time.h"

namespace wagtailbend::exchange {

/// What one place of one daemon may use of the bound.
struct RetryTerms
{
  /// Extra arrivals allowed for each request.
  double ratio = 0.1;
  /// Extra arrivals allowed for the whole system in a window.
  uint32_t extra = 10;
  /// Part of the bound for this place. The parts of all places of a daemon
  /// stay below 1: windows of the daemons do not align.
  double part = 0.7;

  bool operator==(const RetryTerms&) const = default;
};

/// Assumed number of daemons until it is known.
inline constexpr size_t kAssumedDaemons = 64;

/// Not thread-safe.
class RetryAllowance
{
public:
  explicit RetryAllowance(RetryTerms aTerms);

  /// Daemons among which the fixed number is divided. Until it is called many
  /// are assumed, so that a daemon that just started takes no more than its
  /// part. A change by more than a quarter starts the windows anew.
  void SetDaemons(size_t aCount);
  void RecordCall(const std::string& aService, TimePoint aNow);
  /// Counts one more arrival and returns true if it is allowed. What is not
  /// important may use a part of the allowance only, which leaves the rest to
  /// the others.
  bool TryTake(const std::string& aService, bool aImportant, TimePoint aNow);

private:
  struct Limits
  {
    std::unique_ptr<attempts::RatioLimiter> all;
    std::unique_ptr<attempts::RatioLimiter> unimportant;
  };

  Limits& For(const std::string& aService);

  const RetryTerms m_terms;
  size_t m_daemons = kAssumedDaemons;
  std::unordered_map<std::string, Limits> m_limits;
};

} // namespace wagtailbend::exchange
