// One request at one daemon: pairs the caller's gRPC call with the attempts
// that answer it. Payloads pass through as byte buffers.
//
//   grpc::ServerGenericBidiReactor* reactor =
//     Bridge::Create(traffic, filters::Origin::kCustomer, aContext);

#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include <grpcpp/alarm.h>
#include <grpcpp/generic/async_generic_service.h>

#include "wagtailbend/answers/response_verifier.h"
#include "wagtailbend/daemon/bridge_order.h"
#include "wagtailbend/daemon/hedging.h"
#include "wagtailbend/daemon/traffic.h"

namespace wagtailbend::daemon {

/// Deletes itself after the call has ended. The callbacks of the caller's call
/// and of the attempt never overlap, because each step starts the next one;
/// only OnCancel may run at any time.
class Bridge final
  : public grpc::ServerGenericBidiReactor
  , private AttemptObserver
  , private HedgeOwner
{
public:
  Bridge(Traffic& aTraffic,
         filters::Origin aOrigin,
         grpc::GenericCallbackServerContext& aServerContext);

  void OnReadDone(bool aOk) override;
  void OnWriteDone(bool aOk) override;
  void OnCancel() override;
  void OnDone() override;

private:
  void OnIds(const EchoedIds& aIds) override;
  void OnFrame(grpc::ByteBuffer&& aFrame) override;
  void OnEnd(const AttemptEnd& aEnd) override;
  std::optional<HedgeLeg> StartHedge(TimePoint aNow) override;
  void UseLeg(const HedgeLeg& aLeg) override;
  answers::ResponseVerifier VerifierOf(const HedgeLeg& aLeg) override;

  void ReadMetadata();
  void RunFilters();
  void StartFirst();
  bool StartRetry(const Error& aError);
  void Send(const attempts::AttemptGrant& aGrant);
  HedgeLeg StartLeg(const Destination& aDestination,
                    const attempts::AttemptGrant& aGrant,
                    TimePoint aNow);
  std::optional<Duration> HedgeDelay() const;
  std::shared_ptr<Attempt> PrepareAttempt(const HedgeLeg& aLeg,
                                          AttemptObserver& aObserver);
  AttemptRequest MakeAttemptRequest(const HedgeLeg& aLeg);
  void LearnFrom(const AttemptEnd& aEnd, bool aComplete, TimePoint aNow);
  void AddAdmissionTrailers(ErrorKind aKind);
  Duration ProgressBound(TimePoint aStart) const;
  bool Publish(const std::shared_ptr<Attempt>& aAttempt);
  std::optional<Error> ErrorOf(const AttemptEnd& aEnd, RunState& aRun);
  bool MayRetry(const Error& aError, RunState aRun) const;
  void FailAttempt(Error aError, RunState aRun, const AttemptEnd& aEnd);
  void FinishWithError(Error aError,
                       RunState aRun,
                       const grpc::Status* aStatus);
  void FinishComplete(const AttemptEnd& aEnd);
  void SendIds();
  void Leave(const filters::Outcome& aOutcome);
  bool Abandoned() const;
  void NoteFailure(const Error& aError, const AttemptEnd& aEnd);
  bool EndsHere() const;

  // Orders, in bridge_order.cc.
  std::optional<Error> OpenOrder();
  std::optional<Error> AcceptGrant(std::string_view aIncarnation);
  void BeginOrder();
  void ClaimKey();
  void RelayOrder(const DaemonId& aHome, std::shared_ptr<PeerLink> aLink);
  void ReplayOrder(const orders::StoredResponse& aResponse);
  void RejectOrder(Error aError);
  std::optional<Error> GrantOrder();
  void EndGrant(std::optional<Error> aError,
                RunState aRun,
                const AttemptEnd& aEnd);
  void AskNotStarted(Error aError);
  void SettleGrant(Error aError, bool aNotStarted);
  void ConfirmRunState(Error& aError, RunState& aRun);

  // Requests that crash targets, in bridge_quarantine.cc.
  void NoteLostTarget(const std::optional<Error>& aError,
                      const AttemptEnd& aEnd);
  bool HoldReply(std::function<void()> aReply);

  Traffic& m_traffic;
  grpc::GenericCallbackServerContext& m_serverContext;
  std::shared_ptr<const RoutingSnapshot> m_snapshot;
  // Keeps m_context.method valid when a retry takes a newer snapshot.
  std::shared_ptr<const schema::Schema> m_schema;
  filters::RequestContext m_context;
  size_t m_filtersEntered = 0;
  // Value of `wb-attempts`.
  std::optional<uint32_t> m_allotted;
  grpc::ByteBuffer m_request;
  grpc::ByteBuffer m_response;

  // The current attempt.
  const Destination* m_destination = nullptr;
  // Keeps m_destination alive.
  std::shared_ptr<const RoutingSnapshot> m_destinationView;
  AttemptId m_attemptId;
  attempts::AttemptGrant m_grant;
  TimePoint m_attemptStart;
  std::optional<answers::ResponseVerifier> m_verifier;
  std::optional<Error> m_attemptError;
  std::vector<DaemonId> m_tried;
  bool m_framePassedOn = false;
  // A request is sent again for a silent connection only once: a service
  // that stalls altogether must not receive ever more attempts.
  bool m_silenceSeen = false;
  // An earlier attempt may have run the request.
  bool m_mayHaveRun = false;
  uint64_t m_responseBytes = 0;
  // Attempts whose target died, and when the last one did.
  size_t m_targetsLost = 0;
  TimePoint m_lostAt;
  grpc::Alarm m_holdTimer;
  OrderProgress m_order;
  // What the last attempt told about admission, passed on to the caller.
  std::string m_threshold;
  std::string m_retryAfter;

  std::atomic<bool> m_cancelled{ false };
  // The attempt goes on without the caller. Set before the attempt is visible
  // to OnCancel.
  std::atomic<bool> m_detached{ false };
  // Guards m_attempt against OnCancel; never held while gRPC is called with
  // the chance of a callback on the same thread.
  std::mutex m_attemptMutex;
  std::shared_ptr<Attempt> m_attempt;
};

} // namespace wagtailbend::daemon
