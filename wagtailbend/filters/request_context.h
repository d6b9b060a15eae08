// The state of one request at one daemon, shared by the filters of its chain.
//
//   RequestContext context;
//   context.method = schema.FindMethod(path);
//   std::optional<Error> error = chain.OnRequest(context, MonotonicNow());

#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "wagtailbend/attempts/ledger.h"
#include "wagtailbend/base/error.h"
#include "wagtailbend/base/ids.h"
#include "wagtailbend/base/time.h"
#include "wagtailbend/observability/trace.h"
#include "wagtailbend/schema/schema.h"

namespace wagtailbend::filters {

/// The kind of listening address at which a request arrived.
enum class Origin : uint8_t
{
  kCustomer,
  kPeer,
  kTarget,
};

/// One request at one daemon. Not thread-safe: its owner serializes the
/// callbacks of one request.
struct RequestContext
{
  /// Schema of the method. Valid while the request holds its schema snapshot.
  const schema::Method* method = nullptr;
  Origin origin = Origin::kCustomer;
  /// Whether a peer relayed the order to this daemon as its home. Unlike other
  /// calls from peers, it may be sent to targets of peer daemons.
  bool relayed = false;
  RequestId requestId;
  /// The caller's id of this attempt; echoed to the caller.
  AttemptId attemptId;
  /// The request running at the local target that made this downstream call.
  std::optional<RequestId> parent;
  TimePoint arrival;
  TimePoint deadline;
  uint32_t priority = 0;
  /// Whether this is a downstream call of a request that runs at the local
  /// target, or at the target of the peer that sent the call.
  bool nested = false;
  /// Ledger that attempts are deducted from: that of this request at entry,
  /// that of the parent at egress. Null at ingress, where the caller has
  /// deducted the attempt.
  std::shared_ptr<attempts::AttemptLedger> ledger;
  /// Number of attempts that this daemon started.
  uint32_t attemptsStarted = 0;
  /// xxHash64 of the request payload.
  uint64_t payloadHash = 0;
  uint64_t requestBytes = 0;
  /// Fingerprint of method and payload, set by the quarantine filter.
  uint64_t fingerprint = 0;
  /// For a crash suspect, the only daemon that may run it.
  std::optional<DaemonId> trialDaemon;
  /// Whether this daemon runs the request as the trial of a crash suspect.
  bool isTrial = false;
  /// Whether this request was relayed by a daemon that is a contact of its
  /// failure domain. It must then run at the local target.
  bool relayedByContact = false;
  /// Time in the local target's admission queue.
  Duration queueTime{};
  std::string ticket;
  std::string orderKey;
  /// Value of the W3C `traceparent` header: the caller's until the trace filter
  /// has run, then the one sent to callees.
  std::string traceParent;
  /// Span of this hop and the id of its parent span; 0 without one.
  observability::TraceContext trace;
  uint64_t parentSpanId = 0;
};

/// How a request ended at this daemon.
struct Outcome
{
  /// Empty if a complete and verified response was returned.
  std::optional<Error> error;
  RunState runState = RunState::kRan;
  /// gRPC status code sent to the caller. Without an error it is nonzero if the
  /// target itself responded with that status.
  int grpcCode = 0;
  uint64_t responseBytes = 0;
};

} // namespace wagtailbend::filters
