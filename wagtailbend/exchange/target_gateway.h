// Runs attempts at the local target: queues them, manages the connections and
// validates the responses.
//
//   TargetGateway gateway(io, names, options, observer);
//   gateway.SetTarget(view);
//   uint64_t key = gateway.Run(attempt, [](AttemptResult aResult) { ... });
//   gateway.Cancel(key);

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "wagtailbend/exchange/attempt.h"
#include "wagtailbend/gate/target_queue.h"
#include "wagtailbend/http1/client_connection.h"
#include "wagtailbend/http1/protocol_names.h"
#include "wagtailbend/targets/target_condition.h"
#include "wagtailbend/targets/target_state.h"

namespace wagtailbend::exchange {

struct GatewayOptions
{
  asio::ip::tcp::endpoint target;
  /// Service of the target.
  std::string service;
  http1::ParseLimits responseLimits;
  /// Limit on the memory of all responses that are being received, except the
  /// first http1::ReceiveBudget::kFreeBytes of each.
  size_t receiveBudgetBytes = 16UL * 1024 * 1024;
};

/// Properties of a request running at the target that its nested calls inherit.
struct RunningParent
{
  std::string route;
  uint32_t priority = 0;
  uint32_t rank = 0;
  bool isRetry = false;
  uint64_t key = 0;
};

enum class RunPermission : uint8_t
{
  kRun,
  /// Too many crash suspects are running.
  kWait,
  /// The request is quarantined.
  kReject,
};

/// Receives events of the target. Called on the traffic thread.
class GatewayObserver
{
public:
  virtual ~GatewayObserver() = default;
  /// The target crashed while these requests were running.
  virtual void OnTargetCrashed(const std::vector<uint64_t>& aFingerprints) = 0;
  /// Called before a request is sent to the target, and repeatedly while the
  /// result is kWait.
  virtual RunPermission BeginRun(const Attempt& aAttempt) = 0;
  /// Returns false if the request has become a crash suspect, so that it must
  /// not be sent to the target again without BeginRun.
  virtual bool MayResend(uint64_t aFingerprint) = 0;
  /// Called when the target rejected a request without running it. Returns true
  /// if the retry budget allows sending the request to it again.
  virtual bool TryTakeRetry(const Attempt& aAttempt) = 0;
  /// A connection was lost after the request was sent on it.
  virtual void OnAttemptLost(const Attempt& aAttempt, bool aKeptConnection) = 0;
  /// The target answered with bytes that are no acceptable response, or with
  /// too many. The connection has been closed.
  virtual void OnInvalidResponse(const Attempt& aAttempt,
                                 const http1::NoResponse& aFailure) = 0;
  /// A response of aRun changed what is known of its condition: it names
  /// another limit or none, or it is leaving.
  virtual void OnTargetCondition(const targets::TargetRun& aRun,
                                 const targets::TargetNotice& aState) = 0;
  /// aSurvived: the target responded.
  virtual void EndRun(uint64_t aFingerprint, bool aSurvived) = 0;
  /// Returns by priority class the share of new requests of a route for which
  /// the services that it calls have capacity.
  virtual Levels DownstreamAdmissionLevels(const std::string& aRoute) = 0;
};

struct GatewayCounts
{
  uint64_t sent = 0;
  uint64_t answered = 0;
  uint64_t rejectedByTarget = 0;
  uint64_t retriedLocally = 0;
  uint64_t unknown = 0;
  /// Times that a connection was lost after the request was sent.
  uint64_t lost = 0;
  uint64_t overloaded = 0;
  uint64_t deadlineTooShort = 0;
  uint64_t failedConnects = 0;
  uint64_t connects = 0;
  uint64_t foreignResponses = 0;
  /// Attempts that ended because of invalid or endless response bytes.
  uint64_t invalidResponses = 0;
  uint64_t cancelled = 0;

  bool operator==(const GatewayCounts&) const = default;
};

/// Must be used on the traffic thread only, and must outlive the run of the
/// io_context.
class TargetGateway
{
public:
  TargetGateway(asio::io_context& aIo,
                http1::ProtocolNames aNames,
                GatewayOptions aOptions,
                GatewayObserver& aObserver);

  /// Updates the state reported by the target. Queued requests are returned as
  /// not run if the target no longer accepts requests.
  void SetTarget(const targets::TargetView& aView);
  /// Records that a run of the target left or is leaving; requests are no
  /// longer sent to it. Queued requests are returned as not run if it is the
  /// present one.
  void RecordLeaving(const targets::TargetRun& aRun);
  /// Announces that the daemon stops at aEnd. Until Close, requests that are
  /// expected to finish by then are still accepted, so that a service whose
  /// daemons all restart remains available.
  void BeginClose(TimePoint aEnd);
  /// Rejects queued and new requests, because the daemon is draining.
  void Close();
  /// Sets the number of connections that the target accepts from all callers
  /// together; 0: no limit.
  void SetConnectionLimit(uint32_t aLimit) { m_connectionLimit = aLimit; }

  /// Returns a key for Cancel. Calls aDone exactly once, possibly before Run
  /// returns, unless the request is cancelled first.
  uint64_t Run(const Attempt& aAttempt, AttemptDone aDone);
  /// Cancels an attempt, because its caller disconnected. A running request
  /// that is not idempotent is not interrupted.
  void Cancel(uint64_t aKey);

  /// Processes the queue, probes the target and closes idle connections. Must
  /// be called every 10 to 20 ms.
  void Tick(TimePoint aNow);

  /// Returns the running request that made the nested call aRequestId, if any.
  /// Some targets append a dot and a suffix to the parent's id for a nested
  /// call; all of them pass on the parent's deadline.
  std::optional<RunningParent> FindParent(std::string_view aRequestId,
                                          TimePoint aDeadline) const;
  /// Records that a nested call of that request failed.
  void RecordNestedFailure(uint64_t aParentKey);

  LoadReport Report(const std::string& aRoute);
  /// Returns true if neither the target nor the daemon is draining.
  bool IsAccepting() const;
  /// Returns the rate limit that the target names, if any.
  std::optional<double> RequestsPerSecond() const
  {
    return m_condition.State().requestsPerSecond;
  }
  const GatewayCounts& Counts() const { return m_counts; }
  size_t RunningCount() const { return m_running.size(); }
  size_t ConnectionCount() const { return m_openConnections; }

private:
  using ConnectionPtr = std::shared_ptr<http1::ClientConnection>;

  struct PendingAttempt
  {
    Attempt attempt;
    AttemptDone done;
    TimePoint submittedAt;
    TimePoint startedAt;
    /// Run of the target to which the request was sent.
    targets::TargetRun targetRun;
    ConnectionPtr connection;
    /// Connections on which the target rejected the request. It may write the
    /// rejection once more, with the id of the request.
    std::vector<ConnectionPtr> rejectedOn;
    bool started = false;
    /// GatewayObserver::BeginRun was called and returned kRun.
    bool runBegun = false;
    bool connectionReused = false;
    /// The target may have run the request, although a connection to it was
    /// lost.
    bool mayHaveRun = false;
    /// Set while the result is held.
    std::optional<http1::NoResponse> lost;
    TimePoint lostAt;
    bool nestedFailed = false;
    /// Retries after a rejection by the target.
    uint32_t rejections = 0;
    int64_t deadlineMs = 0;
    std::multimap<int64_t, uint64_t>::iterator byDeadline;
  };

  void Dispatch(uint64_t aKey);
  void DispatchWaitingSuspects();
  void SendOn(uint64_t aKey, const ConnectionPtr& aConnection);
  void Connect(uint64_t aKey);
  std::optional<uint64_t> FindByRequestId(std::string_view aRequestId) const;
  std::optional<uint64_t> FindByDeadline(TimePoint aDeadline) const;
  /// Returns an idle connection on which the request was not rejected, or
  /// nullptr if there is none that it may use.
  ConnectionPtr TakeIdleConnection(const PendingAttempt& aPending);
  void KeepIdleConnection(const ConnectionPtr& aConnection);
  std::string SerializeAttempt(const PendingAttempt& aPending,
                               TimePoint aNow) const;
  void OnResult(uint64_t aKey, http1::ClientResult aResult);
  void OnResponse(uint64_t aKey,
                  const ConnectionPtr& aConnection,
                  http1::CompleteResponse aReceived);
  /// Records what the target says about itself in a response.
  void RecordNotice(const PendingAttempt& aPending,
                    const http1::Headers& aHeaders);
  bool TryRetryLocally(uint64_t aKey);
  void OnNoResponse(uint64_t aKey, const http1::NoResponse& aFailure);
  void RecordLoss(const PendingAttempt& aPending);
  /// Holds the result of an attempt whose connection was lost until it is known
  /// whether the target crashed.
  void HoldLostAttempt(uint64_t aKey, const http1::NoResponse& aFailure);
  /// Ends the hold of attempts that were lost up to aLostUntil. If the target
  /// is alive, those that it dropped with an idle connection are sent again.
  void ReleaseLostAttempts(TimePoint aLostUntil, bool aTargetAlive);
  void ReleaseLostAttempt(uint64_t aKey, bool aTargetAlive);
  bool MayResend(const PendingAttempt& aPending) const;
  void CompleteLost(uint64_t aKey, const http1::NoResponse& aFailure);
  void OnConnectFailed(uint64_t aKey);
  /// Opens a connection to detect a crash of the target, if a connection was
  /// lost and the target has not responded since.
  void ProbeIfSilent(TimePoint aNow);
  /// Handles a failed connect: recently lost requests count as running when the
  /// target crashed.
  void RecordUnreachable();
  void ReportCrash();
  void Complete(uint64_t aKey, AttemptResult aResult, bool aRecordRunTime);
  void FinishQueued(uint64_t aKey, ErrorKind aKind, const char* aDetail);
  void RejectQueued(ErrorKind aKind, const char* aDetail);
  void Advance(TimePoint aNow);
  void RecordOutcome(bool aFailed);
  AttemptResult MakeNotRunResult(const std::string& aRoute,
                                 ErrorKind aKind,
                                 const char* aDetail);

  asio::io_context& m_io;
  const http1::ProtocolNames m_names;
  const GatewayOptions m_options;
  GatewayObserver& m_observer;
  /// Shared, since connections end after the gateway: the event loop holds
  /// them until their last operation completes.
  std::shared_ptr<http1::ReceiveBudget> m_receiveBudget;
  targets::TargetView m_view;
  targets::TargetCondition m_condition;
  /// The latest run that left or is leaving; the id is empty if there is none.
  targets::TargetRun m_leavingRun;
  std::optional<TimePoint> m_closeEnd;
  bool m_closed = false;
  uint32_t m_connectionLimit = 0;
  gate::TargetQueue m_queue;
  uint64_t m_nextKey = 0;
  std::unordered_map<uint64_t, PendingAttempt> m_pending;
  std::set<uint64_t> m_running;
  /// Running requests by the deadline that was sent to the target, in
  /// milliseconds of the boot clock.
  std::multimap<int64_t, uint64_t> m_byDeadline;
  /// Running requests by the client's request id.
  std::unordered_map<std::string, uint64_t> m_byRequestId;
  std::vector<ConnectionPtr> m_idle;
  size_t m_openConnections = 0;
  TimePoint m_unreachableUntil{};
  /// Attempts that have a slot and wait until fewer crash suspects run.
  std::vector<uint64_t> m_waitingSuspects;
  /// Attempts whose result is held, in the order in which they were lost.
  std::vector<uint64_t> m_lostKeys;
  TimePoint m_lastLossAt{};
  /// Recent requests whose connection was lost; reported if the target crashed.
  std::deque<std::pair<TimePoint, uint64_t>> m_lostRequests;
  /// Time of the target's last response or accepted connection.
  TimePoint m_lastActivity{};
  ConnectionPtr m_probe;
  double m_failureShare = 0;
  GatewayCounts m_counts;
};

} // namespace wagtailbend::exchange
