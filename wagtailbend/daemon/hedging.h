// Two attempts of one slow lookup, of which the first complete response counts.
//
//   auto attempt = PrepareHedged(std::move(first), delay, owner, observer);
//   attempt->Begin();

#pragma once

#include <functional>
#include <optional>

#include "wagtailbend/answers/response_verifier.h"
#include "wagtailbend/attempts/hedge.h"
#include "wagtailbend/daemon/peer_transport.h"
#include "wagtailbend/daemon/routing_snapshot.h"

namespace wagtailbend::daemon {

/// The hedging policy of the schema in force. Not thread-safe: owned by the
/// control thread, which publishes the policy.
class HedgePolicies
{
public:
  /// Returns the same policy until the schema changes; null without a schema.
  std::shared_ptr<attempts::HedgePolicy> For(
    const std::shared_ptr<const schema::Schema>& aSchema);

private:
  std::shared_ptr<const schema::Schema> m_schema;
  std::shared_ptr<attempts::HedgePolicy> m_policy;
};

/// Prepares one attempt whose events go to the observer.
using PrepareLeg =
  std::function<std::shared_ptr<Attempt>(AttemptObserver& aObserver)>;

/// One of the two attempts.
struct HedgeLeg
{
  PrepareLeg prepare;
  /// Keeps destination alive.
  std::shared_ptr<const RoutingSnapshot> snapshot;
  const Destination* destination = nullptr;
  AttemptId attemptId;
  attempts::AttemptGrant grant;
  TimePoint start;
};

/// The request for which a hedge may be sent. No two of its methods, and no
/// method of the observer, run at the same time.
class HedgeOwner
{
public:
  virtual ~HedgeOwner() = default;

  /// Called at most once, after the delay, while no response is complete.
  /// Returns the second attempt, paid for, or nullopt to send none.
  virtual std::optional<HedgeLeg> StartHedge(TimePoint aNow) = 0;
  /// Called once, before the observer receives what this attempt delivered.
  virtual void UseLeg(const HedgeLeg& aLeg) = 0;
  /// Returns the checks of an attempt's response.
  virtual answers::ResponseVerifier VerifierOf(const HedgeLeg& aLeg) = 0;
};

/// Called once for an attempt that does not count, on any thread, possibly
/// after the owner has gone. aError: how it failed, or kCancelled.
using DropLeg = std::function<void(const HedgeLeg& aLeg, ErrorKind aError)>;

/// Returns an attempt of a unary call that sends a second one when there is no
/// response after aDelay. Its events are those of the first complete response,
/// or of the last failure; the other attempt is cancelled and dropped. aOwner
/// must outlive aObserver's OnEnd. Thread-safe.
std::shared_ptr<Attempt>
PrepareHedged(HedgeLeg aFirst,
              Duration aDelay,
              HedgeOwner& aOwner,
              AttemptObserver& aObserver,
              DropLeg aDrop);

} // namespace wagtailbend::daemon
