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

/// The listening address at which a request arrived.
enum class Origin : uint8_t
{
  kCustomer,
  kPeer,
  kTarget,
};

/// One request at one daemon. Not thread-safe: the callbacks of one request
/// are serialized by their owner.
struct RequestContext
{
  /// Row of the schema; lives as long as the snapshot that the request holds.
  const schema::Method* method = nullptr;
  Origin origin = Origin::kCustomer;
  /// A peer passed the order on to this daemon as its home. Unlike other calls
  /// of peers it may go to targets of other daemons.
  bool relayed = false;
  RequestId requestId;
  /// Attempt under which the caller knows this request; echoed to the caller.
  AttemptId attemptId;
  /// Request that the local target runs and on whose behalf it calls.
  std::optional<RequestId> parent;
  TimePoint arrival;
  TimePoint deadline;
  uint32_t priority = 0;
  /// A call that a running request of the local target makes, here or at the
  /// peer that sent it.
  bool nested = false;
  /// Pays for the attempts: of this request at entry, of the parent at egress.
  /// Null at ingress, where the caller has paid.
  std::shared_ptr<attempts::AttemptLedger> ledger;
  /// Attempts started by this daemon.
  uint32_t attemptsStarted = 0;
  /// xxHash64 of the request payload.
  uint64_t payloadHash = 0;
  uint64_t requestBytes = 0;
  /// Of method and payload, set by the quarantine filter.
  uint64_t fingerprint = 0;
  /// A suspect: the only daemon that may run it.
  std::optional<DaemonId> trialDaemon;
  /// A suspect that this daemon tries.
  bool isTrial = false;
  /// A daemon that is a contact of its failure domain has relayed this request;
  /// it ends at the own target.
  bool relayedByContact = false;
  /// Time in the local target's admission queue.
  Duration queueTime{};
  std::string ticket;
  std::string orderKey;
  /// Value of the W3C `traceparent` header: the caller's until the trace filter
  /// has run, then the one passed on to the callee.
  std::string traceParent;
  /// Span of this hop and the span that it belongs to; 0 without one.
  observability::TraceContext trace;
  uint64_t parentSpanId = 0;
};

/// How a request ended at this daemon.
struct Outcome
{
  /// Empty if a complete and verified response was passed on.
  std::optional<Error> error;
  RunState runState = RunState::kRan;
  /// gRPC status code sent to the caller. Not 0 without an error if the target
  /// itself answered with a status of its own.
  int grpcCode = 0;
  uint64_t responseBytes = 0;
};

} // namespace wagtailbend::filters
