#include "wagtailbend/exchange/retry_after.h"

#include <algorithm>

namespace wagtailbend::exchange {
namespace {

// Callers retry within this share of their remaining time.
constexpr double kMaxDelayShare = 0.33;
constexpr Duration kMinDelay = std::chrono::milliseconds(50);
// Delays are spread over this range of the longest delay. In the
// deep_overload experiment a spread over the whole range made 3 in 100 checks
// miss their objective (wagtail-sim, 6 seeds).
constexpr double kSpreadBegin = 0.15;
constexpr double kSpreadEnd = 0.5;

} // namespace

Duration
RetryAfterDelay(Duration aRemaining,
                Duration aObjectiveLeft,
                double aAdmissionLevel,
                Duration aExpectedRun,
                Rng& aRng)
{
  const Duration maxDelay = Scale(aRemaining, kMaxDelayShare);
  const Duration delayWithinObjective =
    std::clamp(aObjectiveLeft - 2 * aExpectedRun, Duration{}, maxDelay);
  // If capacity is low, most callers that retry within the objective would be
  // rejected again, so they are spread over all the time that they would wait.
  const Duration longestDelay = Scale(delayWithinObjective, aAdmissionLevel) +
                                Scale(maxDelay, 1.0 - aAdmissionLevel);
  const Duration delay =
    Scale(longestDelay,
          kSpreadBegin + (kSpreadEnd - kSpreadBegin) * UniformUnit(aRng));
  return std::clamp(delay, std::min(kMinDelay, maxDelay), maxDelay);
}

} // namespace wagtailbend::exchange
