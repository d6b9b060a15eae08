// An attempt to run a request at one target, and its result.
//
//   channel.Start(attempt, [](AttemptResult aResult) { ... });

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "wagtailbend/base/error.h"
#include "wagtailbend/base/time.h"
#include "wagtailbend/exchange/retry_budget.h"
#include "wagtailbend/exchange/service_levels.h"
#include "wagtailbend/http1/message.h"

namespace wagtailbend::exchange {

struct Attempt
{
  /// Unique within one run of the sending daemon's process.
  uint64_t id = 0;
  /// Request id chosen by the client.
  std::string requestId;
  std::shared_ptr<const http1::RequestMessage> message;
  std::string service;
  std::string route;
  /// Whether the request may run more than once.
  bool idempotent = false;
  uint32_t priority = 0;
  /// The request is admitted if its rank is below the admission level times
  /// gate::kRankCount. Nested calls inherit the rank of the client request.
  uint32_t rank = 0;
  bool nested = false;
  /// Whether an earlier attempt of the request may have run.
  bool isRetry = false;
  TimePoint objective;
  TimePoint deadline;
  std::string callerService;
  uint64_t fingerprint = 0;
  /// Sent by the daemon of another VM.
  bool fromPeer = false;
};

inline RetryClaim
ClaimOf(const Attempt& aAttempt)
{
  return { aAttempt.priority, aAttempt.rank, aAttempt.nested };
}

/// Load of one target as measured by its daemon.
struct LoadReport
{
  bool accepting = false;
  /// The daemon is about to stop; requests should use other targets if
  /// possible.
  bool stopping = false;
  uint32_t slots = 0;
  uint32_t running = 0;
  uint32_t queued = 0;
  Duration expectedWait{};
  /// Mean run time of the route that the report was requested for; 0: unknown.
  Duration meanRunTime{};
  /// By priority class: share of new customer requests for which the service
  /// and all services that it calls have capacity.
  Levels admissionLevels{ 1, 1, 1, 1 };
  /// Requests per second that the target accepts from all daemons together;
  /// empty: it names no limit.
  std::optional<double> requestsPerSecond;
  uint64_t configVersion = 0;
  /// The daemon receives no updates from the store.
  bool storeLost = false;
  /// Newest known generation of the store; see store::Platform::Generation.
  uint64_t storeGeneration = 0;
  double failureShare = 0;
  /// Digest of the daemon's crash suspects; 0: not stated.
  uint64_t suspectsDigest = 0;

  bool operator==(const LoadReport&) const = default;
};

enum class Outcome : uint8_t
{
  /// The target responded.
  kResponded,
  /// The target has not run the request and never will.
  kNotRun,
  /// The request may have run; there is no usable response.
  kUnknown,
};

struct AttemptResult
{
  Outcome outcome = Outcome::kUnknown;
  /// Set unless the outcome is kResponded.
  Error error;
  http1::ResponseMessage response;
  /// The target received the request, although it may have rejected it.
  bool reachedTarget = false;
  /// A nested call of the run failed.
  bool nestedFailed = false;
  Duration runTime{};
  LoadReport report;
};

using AttemptDone = std::function<void(AttemptResult)>;

/// Destination of attempts: the local target or a peer daemon. Must be used on
/// the traffic thread only.
class AttemptChannel
{
public:
  virtual ~AttemptChannel() = default;
  /// Calls aDone exactly once, possibly before Start returns.
  virtual void Start(const Attempt& aAttempt, AttemptDone aDone) = 0;
  /// Cancels an attempt whose result is no longer needed. aDone is not called
  /// afterwards. A running request that is not idempotent is not interrupted.
  virtual void Cancel(uint64_t aAttemptId) = 0;
};

} // namespace wagtailbend::exchange
