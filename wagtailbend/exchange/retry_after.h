// Computes the Retry-After delay of rejected callers.
//
//   const Duration after = RetryAfterDelay(remaining, objectiveLeft, level,
//                                          expectedRunTime, rng);
//
// After a surge, retries are spread over the time in which the response still
// meets the latency objective. They are later if less capacity is left, but
// never so late that callers would give up.

#pragma once

#include "wagtailbend/base/rng.h"
#include "wagtailbend/base/time.h"

namespace wagtailbend::exchange {

/// aRemaining: time until the caller's deadline. aObjectiveLeft: time until the
/// latency objective; may be negative. aAdmissionLevel: share of requests that
/// are admitted. aExpectedRun: expected time to a response.
Duration
RetryAfterDelay(Duration aRemaining,
                Duration aObjectiveLeft,
                double aAdmissionLevel,
                Duration aExpectedRun,
                Rng& aRng);

} // namespace wagtailbend::exchange
