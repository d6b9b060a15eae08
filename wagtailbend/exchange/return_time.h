// When a caller that is rejected should come back.
//
//   const Duration after = ReturnAfter(remaining, objectiveLeft, level, rng);
//
// Answers a surge of callers who are rejected at once: they come back spread
// over the time in which their answer is still worth its full value, later if
// less room is left, and never so late that they would not come back at all.

#pragma once

#include "wagtailbend/base/rng.h"
#include "wagtailbend/base/time.h"

namespace wagtailbend::exchange {

/// aRemaining: time until the caller leaves. aObjectiveLeft: time until the
/// answer loses value; may be negative. aLevel: share of requests that are
/// admitted. aRun: usual time to an answer. The caller owns aRng.
Duration
ReturnAfter(Duration aRemaining,
            Duration aObjectiveLeft,
            double aLevel,
            Duration aRun,
            Rng& aRng);

} // namespace wagtailbend::exchange
