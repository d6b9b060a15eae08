#include "wagtailbend/exchange/return_time.h"

#include <algorithm>

namespace wagtailbend::exchange {
namespace {

// Callers come back within a third of the time that they have left.
constexpr double kPatience = 0.33;
constexpr Duration kShortest = std::chrono::milliseconds(50);
// Callers are spread over this part of the time. In deep_overload a spread over
// all of it cost 3 in 100 checks their objective (wagtail-sim, 6 seeds).
constexpr double kFirstPart = 0.15;
constexpr double kLastPart = 0.5;

} // namespace

Duration
ReturnAfter(Duration aRemaining,
            Duration aObjectiveLeft,
            double aLevel,
            Duration aRun,
            Rng& aRng)
{
  const Duration patience = Scale(aRemaining, kPatience);
  const Duration punctual =
    std::clamp(aObjectiveLeft - 2 * aRun, Duration{}, patience);
  // With room for few, most of those who return in time would be rejected
  // again; they are spread over all the time that they would wait.
  const Duration longest =
    Scale(punctual, aLevel) + Scale(patience, 1.0 - aLevel);
  const Duration spread =
    Scale(longest, kFirstPart + (kLastPart - kFirstPart) * UniformUnit(aRng));
  return std::clamp(spread, std::min(kShortest, patience), patience);
}

} // namespace wagtailbend::exchange
