// An attempt at the local target: waits for a slot, registers the request for
// its downstream calls, and sends it.
//
//   LocalRun run{ gate, registry, schema, context ids..., budget };
//   std::shared_ptr<Attempt> attempt =
//     PrepareGated(transport, run, std::move(request), observer);

#pragma once

#include "wagtailbend/attempts/registry.h"
#include "wagtailbend/daemon/open_work.h"
#include "wagtailbend/daemon/order_book.h"
#include "wagtailbend/daemon/peer_transport.h"
#include "wagtailbend/filters/filter.h"
#include "wagtailbend/schema/schema.h"

namespace wagtailbend::daemon {

/// One run of a request at the local target.
struct LocalRun
{
  /// Keeps the method alive.
  std::shared_ptr<const schema::Schema> schema;
  const schema::Method* method = nullptr;
  RequestId requestId;
  AttemptId attemptId;
  TimePoint deadline;
  uint32_t priority = 0;
  bool nested = false;
  /// Attempts that the downstream calls of this run may use.
  uint32_t budget = 0;
  /// For the quarantine, of method and payload.
  uint64_t fingerprint = 0;
  /// Keeps the gate and the registry alive.
  OpenWork::Hold hold;
  /// Set for an order, which was granted to this daemon: it is started in this
  /// table directly before it is sent, or rejected there.
  OrderBook* orders = nullptr;
  std::optional<orders::Ticket> ticket = std::nullopt;
};

/// Receives the requests that run at the local target. Thread-safe.
class TargetWatch
{
public:
  virtual ~TargetWatch() = default;

  /// The request is handed over to the target.
  virtual void OnHandedOver(uint64_t aFingerprint) = 0;
  /// It came back. aLost: the connection was lost while it ran.
  virtual void OnReturned(uint64_t aFingerprint, bool aLost) = 0;
};

/// Returns an attempt that ends with the error kind and `not-run` if the gate
/// rejects it. Its end carries the gate's threshold, the time in the queue and,
/// with a complete response, the attempts that the run did not use. aTransport,
/// aGate, aRegistry and aWatch must outlive it. Thread-safe.
std::shared_ptr<Attempt>
PrepareGated(PeerTransport& aTransport,
             filters::AdmissionGate& aGate,
             attempts::RequestRegistry& aRegistry,
             TargetWatch& aWatch,
             LocalRun aRun,
             AttemptRequest aRequest,
             AttemptObserver& aObserver);

} // namespace wagtailbend::daemon
