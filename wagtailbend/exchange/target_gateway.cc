#include "wagtailbend/exchange/target_gateway.h"

#include <algorithm>
#include <utility>

#include "wagtailbend/base/boot_time.h"
#include "wagtailbend/exchange/target_notice.h"

namespace wagtailbend::exchange {
namespace {

// The target is on the same VM, so a slower connect indicates a failure.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(1000);
// The kernel closes connections on which the target is unresponsive for so
// long.
constexpr Duration kTargetSilenceTimeout = std::chrono::seconds(12);
// After a failed connect the target is sent no requests for this long.
constexpr Duration kUnreachableBackoff = std::chrono::milliseconds(250);
// Connections that were idle for longer are not used, unless the target
// announces a longer keep-alive time. Below the 10 s after which targets close
// them.
constexpr Duration kMaxIdle = std::chrono::seconds(8);
// Share of the announced keep-alive time for which a connection is used.
constexpr double kKeepAliveShare = 0.8;
// Limit for requests that are not idempotent: targets may drop idle connections
// without notice, and a request sent on such a connection has an unknown
// outcome.
constexpr Duration kMaxIdleForNonIdempotent = std::chrono::milliseconds(500);
// Added to the deadline sent to the target, so that a response sent at the
// deadline arrives before the wait ends.
constexpr Duration kResponseGrace = std::chrono::milliseconds(150);
// Requests that were lost within this time before a crash of the target is
// detected count as running at the crash.
constexpr Duration kCrashDetectionWindow = std::chrono::seconds(2);
// Time from a lost connection to the probe of the target. A crashing process
// closes its connections first and its listening socket within milliseconds.
constexpr Duration kProbeDelay = std::chrono::milliseconds(50);
// Responses that arrive within this time after a lost connection may have been
// sent before a crash.
constexpr Duration kCrashSettleTime = std::chrono::milliseconds(20);
// Tolerance for matching the deadline of a nested call with that of its parent:
// the time between two messages within a VM.
constexpr int64_t kParentToleranceMs = 4;
// Retries at the same target after it rejected a request without running it. A
// target that rejects despite free slots does so at random, so the next try is
// likely to succeed, and it needs no network hop.
constexpr uint32_t kMaxLocalRetries = 1;
constexpr uint32_t kMaxImportantLocalRetries = 4;
// A stopping daemon accepts a request if this many mean run times remain.
constexpr int kMinRunTimesBeforeClose = 2;
// Weight of one outcome in the moving average of the failure share.
constexpr double kFailureShareWeight = 0.03;

int64_t
BootMs(TimePoint aTime)
{
  return ToMilliseconds(aTime.time_since_epoch());
}

} // namespace

TargetGateway::TargetGateway(asio::io_context& aIo,
                             http1::ProtocolNames aNames,
                             GatewayOptions aOptions,
                             GatewayObserver& aObserver)
  : m_io(aIo)
  , m_names(std::move(aNames))
  , m_options(std::move(aOptions))
  , m_observer(aObserver)
  , m_receiveBudget(
      std::make_shared<http1::ReceiveBudget>(m_options.receiveBudgetBytes))
{
}

void
TargetGateway::SetTarget(const targets::TargetView& aView)
{
  const bool newRun = aView.run != m_view.run;
  const bool restarted = newRun && m_view.accepting;
  m_view = aView;
  m_queue.SetSlots(aView.slots);
  if (newRun) {
    m_condition.Reset();
    m_queue.ForgetRateLimit(BootNow());
    m_unreachableUntil = {};
    for (const ConnectionPtr& connection : std::exchange(m_idle, {})) {
      connection->Close();
      --m_openConnections;
    }
  }
  if (restarted) {
    // It may have crashed and started again before a connect failed.
    ReportCrash();
  }
  if (!m_view.accepting) {
    RejectQueued(ErrorKind::kDraining, "target is draining");
  }
  Advance(BootNow());
}

void
TargetGateway::RecordLeaving(const targets::TargetRun& aRun)
{
  if (targets::IsLater(m_leavingRun, aRun)) {
    return;
  }
  m_leavingRun = aRun;
  if (targets::IsCovered(m_view.run, m_leavingRun)) {
    RejectQueued(ErrorKind::kDraining, "target is draining");
  }
}

void
TargetGateway::BeginClose(TimePoint aEnd)
{
  m_closeEnd = aEnd;
}

void
TargetGateway::Close()
{
  m_closed = true;
  RejectQueued(ErrorKind::kDraining, "daemon is draining");
}

bool
TargetGateway::IsAccepting() const
{
  return m_view.accepting && !m_closed &&
         !targets::IsCovered(m_view.run, m_leavingRun);
}

uint64_t
TargetGateway::Run(const Attempt& aAttempt, AttemptDone aDone)
{
  const TimePoint now = BootNow();
  if (aAttempt.service != m_options.service) {
    aDone(MakeNotRunResult(
      aAttempt.route, ErrorKind::kNoTarget, "target runs another service"));
    return 0;
  }
  if (!IsAccepting()) {
    aDone(MakeNotRunResult(
      aAttempt.route, ErrorKind::kDraining, "target or daemon is draining"));
    return 0;
  }
  if (m_closeEnd &&
      now + kMinRunTimesBeforeClose * m_queue.MeanRunTime(aAttempt.route) >=
        *m_closeEnd) {
    aDone(MakeNotRunResult(
      aAttempt.route, ErrorKind::kDraining, "daemon is draining"));
    return 0;
  }
  if (now < m_unreachableUntil) {
    aDone(MakeNotRunResult(
      aAttempt.route, ErrorKind::kNoTarget, "target is unreachable"));
    return 0;
  }
  const uint64_t key = ++m_nextKey;
  const gate::QueuedRequest work{ key,
                                  aAttempt.route,
                                  aAttempt.priority,
                                  aAttempt.rank,
                                  aAttempt.nested,
                                  aAttempt.objective,
                                  aAttempt.deadline };
  switch (m_queue.Submit(work, now)) {
    case gate::AdmissionDecision::kOverloaded:
      ++m_counts.overloaded;
      aDone(MakeNotRunResult(aAttempt.route,
                             ErrorKind::kOverloaded,
                             "no capacity within the objective"));
      return 0;
    case gate::AdmissionDecision::kDeadlineTooShort:
      ++m_counts.deadlineTooShort;
      aDone(MakeNotRunResult(aAttempt.route,
                             ErrorKind::kDeadlineTooShort,
                             "too little time until the deadline"));
      return 0;
    case gate::AdmissionDecision::kRun:
    case gate::AdmissionDecision::kQueued:
      break;
  }
  PendingAttempt pending;
  pending.attempt = aAttempt;
  pending.done = std::move(aDone);
  pending.submittedAt = now;
  m_pending.emplace(key, std::move(pending));
  if (m_queue.IsRunning(key)) {
    Dispatch(key);
  }
  return key;
}

void
TargetGateway::Cancel(uint64_t aKey)
{
  const auto found = m_pending.find(aKey);
  if (found == m_pending.end()) {
    return;
  }
  ++m_counts.cancelled;
  found->second.done = nullptr;
  if (m_queue.Cancel(aKey)) {
    m_pending.erase(found);
    return;
  }
  if (!found->second.attempt.idempotent && found->second.started) {
    return;
  }
  if (found->second.connection) {
    found->second.connection->Close();
    --m_openConnections;
    found->second.connection.reset();
  }
  Complete(aKey, {}, false);
}

void
TargetGateway::Tick(TimePoint aNow)
{
  Advance(aNow);
  DispatchWaitingSuspects();
  while (!m_lostRequests.empty() &&
         aNow - m_lostRequests.front().first > kCrashDetectionWindow) {
    m_lostRequests.pop_front();
  }
  ReleaseLostAttempts(m_lastActivity - kCrashSettleTime, true);
  ProbeIfSilent(aNow);
  // Connections are taken from the end of the pool, so the longest idle ones
  // are at the front.
  while (!m_idle.empty() && aNow - m_idle.front()->IdleSince() > kMaxIdle) {
    m_idle.front()->Close();
    --m_openConnections;
    m_idle.erase(m_idle.begin());
  }
}

void
TargetGateway::Advance(TimePoint aNow)
{
  for (const gate::QueueDecision& step : m_queue.Advance(aNow)) {
    switch (step.decision) {
      case gate::AdmissionDecision::kRun:
        Dispatch(step.id);
        continue;
      case gate::AdmissionDecision::kDeadlineTooShort:
        ++m_counts.deadlineTooShort;
        FinishQueued(step.id,
                     ErrorKind::kDeadlineTooShort,
                     "too little time until the deadline after queueing");
        continue;
      case gate::AdmissionDecision::kOverloaded:
      case gate::AdmissionDecision::kQueued:
        ++m_counts.overloaded;
        FinishQueued(
          step.id, ErrorKind::kOverloaded, "no capacity after queueing");
        continue;
    }
  }
}

void
TargetGateway::FinishQueued(uint64_t aKey, ErrorKind aKind, const char* aDetail)
{
  auto node = m_pending.extract(aKey);
  if (!node.empty() && node.mapped().done) {
    node.mapped().done(
      MakeNotRunResult(node.mapped().attempt.route, aKind, aDetail));
  }
}

void
TargetGateway::RejectQueued(ErrorKind aKind, const char* aDetail)
{
  for (const uint64_t key : m_queue.Clear()) {
    FinishQueued(key, aKind, aDetail);
  }
}

void
TargetGateway::Dispatch(uint64_t aKey)
{
  PendingAttempt& pending = m_pending.at(aKey);
  switch (m_observer.BeginRun(pending.attempt)) {
    case RunPermission::kRun:
      break;
    case RunPermission::kWait:
      m_waitingSuspects.push_back(aKey);
      return;
    case RunPermission::kReject:
      Complete(aKey,
               MakeNotRunResult(pending.attempt.route,
                                ErrorKind::kQuarantined,
                                "request is quarantined"),
               false);
      return;
  }
  pending.runBegun = true;
  m_running.insert(aKey);
  if (ConnectionPtr idle = TakeIdleConnection(pending)) {
    pending.connectionReused = true;
    SendOn(aKey, idle);
    return;
  }
  Connect(aKey);
}

void
TargetGateway::DispatchWaitingSuspects()
{
  for (const uint64_t key : std::exchange(m_waitingSuspects, {})) {
    const auto found = m_pending.find(key);
    if (found == m_pending.end()) {
      continue;
    }
    if (IsAccepting()) {
      Dispatch(key);
      continue;
    }
    Complete(key,
             MakeNotRunResult(found->second.attempt.route,
                              ErrorKind::kDraining,
                              "target or daemon is draining"),
             false);
  }
}

TargetGateway::ConnectionPtr
TargetGateway::TakeIdleConnection(const PendingAttempt& aPending)
{
  const TimePoint now = BootNow();
  // Connections that the request must not use go back to the pool.
  std::vector<ConnectionPtr> excluded;
  ConnectionPtr taken;
  while (!taken && !m_idle.empty()) {
    ConnectionPtr connection = m_idle.back();
    if (!connection->IsReady()) {
      m_idle.pop_back();
      --m_openConnections;
      continue;
    }
    Duration usable = kMaxIdle;
    if (const auto announced = connection->KeepAliveTime()) {
      usable = Duration(static_cast<int64_t>(
        static_cast<double>(announced->count()) * kKeepAliveShare));
    }
    const Duration idle = now - connection->IdleSince();
    if (idle > usable) {
      m_idle.pop_back();
      connection->Close();
      --m_openConnections;
      continue;
    }
    if (!aPending.attempt.idempotent && idle > kMaxIdleForNonIdempotent &&
        (m_connectionLimit == 0 || m_openConnections < m_connectionLimit)) {
      break;
    }
    m_idle.pop_back();
    const auto& rejectedOn = aPending.rejectedOn;
    if (std::find(rejectedOn.begin(), rejectedOn.end(), connection) !=
        rejectedOn.end()) {
      excluded.push_back(std::move(connection));
      continue;
    }
    taken = std::move(connection);
  }
  m_idle.insert(m_idle.end(), excluded.rbegin(), excluded.rend());
  return taken;
}

void
TargetGateway::KeepIdleConnection(const ConnectionPtr& aConnection)
{
  m_idle.push_back(aConnection);
  // If the target closes the connection, IsReady detects it on the next use.
}

void
TargetGateway::Connect(uint64_t aKey)
{
  ++m_counts.connects;
  ++m_openConnections;
  auto connection = http1::ClientConnection::Make(
    m_io, m_options.responseLimits, m_receiveBudget);
  m_pending.at(aKey).connection = connection;
  connection->Connect(m_options.target,
                      kConnectTimeout,
                      kTargetSilenceTimeout,
                      [this, aKey, connection](bool aConnected) {
                        const auto found = m_pending.find(aKey);
                        if (found == m_pending.end() ||
                            found->second.connection != connection) {
                          return;
                        }
                        if (!aConnected) {
                          --m_openConnections;
                          OnConnectFailed(aKey);
                          return;
                        }
                        m_unreachableUntil = {};
                        m_lastActivity = BootNow();
                        found->second.connectionReused = false;
                        SendOn(aKey, connection);
                      });
}

void
TargetGateway::SendOn(uint64_t aKey, const ConnectionPtr& aConnection)
{
  const TimePoint now = BootNow();
  PendingAttempt& pending = m_pending.at(aKey);
  pending.connection = aConnection;
  pending.startedAt = now;
  pending.targetRun = m_view.run;
  if (!pending.started) {
    pending.started = true;
    pending.deadlineMs =
      BootMs(now) + ToMilliseconds(pending.attempt.deadline - now);
    pending.byDeadline = m_byDeadline.emplace(pending.deadlineMs, aKey);
    m_byRequestId[pending.attempt.requestId] = aKey;
  }
  http1::ClientRequest request;
  request.bytes = SerializeAttempt(pending, now);
  request.isHead = pending.attempt.message->method == "HEAD";
  request.idHeader = m_names.requestId;
  request.id = pending.attempt.requestId;
  request.timeout =
    std::max(pending.attempt.deadline - now, Duration{}) + kResponseGrace;
  ++m_counts.sent;
  aConnection->Send(std::move(request),
                    [this, aKey](http1::ClientResult aResult) {
                      OnResult(aKey, std::move(aResult));
                    });
}

std::string
TargetGateway::SerializeAttempt(const PendingAttempt& aPending,
                                TimePoint aNow) const
{
  http1::RequestMessage message = *aPending.attempt.message;
  http1::RemoveConnectionHeaders(message.headers);
  const int64_t left =
    std::max<int64_t>(ToMilliseconds(aPending.attempt.deadline - aNow), 1);
  http1::SetHeader(message.headers, m_names.deadlineMs, std::to_string(left));
  http1::SetHeader(message.headers, m_names.expectedTarget, m_view.run.id);
  http1::SetHeader(
    message.headers, m_names.callerService, aPending.attempt.callerService);
  return http1::SerializeRequest(message);
}

void
TargetGateway::OnResult(uint64_t aKey, http1::ClientResult aResult)
{
  const auto found = m_pending.find(aKey);
  if (found == m_pending.end()) {
    return;
  }
  const ConnectionPtr connection = std::exchange(found->second.connection, {});
  if (connection->IsReady()) {
    KeepIdleConnection(connection);
  } else {
    --m_openConnections;
  }
  if (auto* received = std::get_if<http1::CompleteResponse>(&aResult)) {
    OnResponse(aKey, connection, std::move(*received));
  } else {
    OnNoResponse(aKey, std::get<http1::NoResponse>(aResult));
  }
}

void
TargetGateway::OnResponse(uint64_t aKey,
                          const ConnectionPtr& aConnection,
                          http1::CompleteResponse aReceived)
{
  PendingAttempt& pending = m_pending.at(aKey);
  m_lastActivity = BootNow();
  http1::ResponseMessage& response = aReceived.response;
  m_counts.foreignResponses += aReceived.skippedResponses;
  AttemptResult result;
  result.reachedTarget = true;
  const bool misdirected = response.status == 421;
  const bool rejected =
    misdirected || http1::FindHeader(response.headers, m_names.notRun);
  const bool isSigned =
    http1::FindHeader(response.headers, m_names.responseSignature);
  const bool encoded =
    http1::FindHeader(response.headers, "Content-Encoding") != nullptr;
  if (isSigned || (rejected && !misdirected)) {
    RecordNotice(pending, response.headers);
  }
  if (rejected) {
    ++m_counts.rejectedByTarget;
    RecordOutcome(!misdirected);
    pending.rejectedOn.push_back(aConnection);
    if (!misdirected && TryRetryLocally(aKey)) {
      return;
    }
    result.outcome = pending.mayHaveRun ? Outcome::kUnknown : Outcome::kNotRun;
    result.error = { misdirected ? ErrorKind::kStaleIncarnation
                                 : ErrorKind::kOverloaded,
                     "target rejected the request with status " +
                       std::to_string(response.status) };
  } else if (encoded || (response.status / 100 == 2 && !isSigned)) {
    ++m_counts.unknown;
    result.outcome = Outcome::kUnknown;
    result.error = { ErrorKind::kResponseMismatch,
                     encoded ? "response has a content encoding"
                             : "response has no signature of the target" };
  } else {
    ++m_counts.answered;
    result.outcome = Outcome::kResponded;
    result.response = std::move(response);
  }
  const bool succeeded =
    result.outcome == Outcome::kResponded && result.response.status / 100 != 5;
  if (!rejected && !pending.nestedFailed) {
    RecordOutcome(!succeeded);
  }
  Complete(aKey, std::move(result), succeeded);
}

void
TargetGateway::RecordNotice(const PendingAttempt& aPending,
                            const http1::Headers& aHeaders)
{
  const TimePoint now = BootNow();
  if (aPending.targetRun != m_view.run ||
      !m_condition.OnResponse(
        ReadTargetNotice(aHeaders, m_names), aPending.startedAt, now)) {
    return;
  }
  m_queue.SetRateLimit(m_condition.State().requestsPerSecond, now);
  if (m_condition.State().leaving) {
    RecordLeaving(m_view.run);
  }
  m_observer.OnTargetCondition(m_view.run, m_condition.State());
}

bool
TargetGateway::TryRetryLocally(uint64_t aKey)
{
  const TimePoint now = BootNow();
  PendingAttempt& pending = m_pending.at(aKey);
  const uint32_t maxRetries = IsImportant(ClaimOf(pending.attempt))
                                ? kMaxImportantLocalRetries
                                : kMaxLocalRetries;
  if (pending.rejections >= maxRetries || !IsAccepting() ||
      now + m_queue.MeanRunTime(pending.attempt.route) >=
        pending.attempt.deadline ||
      !m_queue.MayResend(now) || !m_observer.TryTakeRetry(pending.attempt)) {
    return false;
  }
  ++pending.rejections;
  ++m_counts.retriedLocally;
  m_queue.CountResend(now);
  if (ConnectionPtr idle = TakeIdleConnection(pending)) {
    pending.connectionReused = true;
    SendOn(aKey, idle);
  } else {
    Connect(aKey);
  }
  return true;
}

void
TargetGateway::OnNoResponse(uint64_t aKey, const http1::NoResponse& aFailure)
{
  PendingAttempt& pending = m_pending.at(aKey);
  const bool timedOut = aFailure.reason == http1::FailureReason::kTimeout;
  const bool invalid = http1::IsInvalidResponse(aFailure.reason);
  if (invalid) {
    ++m_counts.invalidResponses;
    m_observer.OnInvalidResponse(pending.attempt, aFailure);
  }
  if (!timedOut && !invalid && aFailure.requestSent) {
    HoldLostAttempt(aKey, aFailure);
    return;
  }
  // The target may have closed an idle connection just before the request was
  // sent.
  const bool staleConnection =
    pending.connectionReused && !timedOut && !invalid && !aFailure.requestSent;
  if (staleConnection && MayResend(pending)) {
    pending.connectionReused = false;
    m_queue.CountResend(BootNow());
    Connect(aKey);
    return;
  }
  if (invalid) {
    RecordLoss(pending);
  }
  CompleteLost(aKey, aFailure);
}

void
TargetGateway::RecordLoss(const PendingAttempt& aPending)
{
  m_lastLossAt = BootNow();
  m_lostRequests.emplace_back(m_lastLossAt, aPending.attempt.fingerprint);
}

void
TargetGateway::HoldLostAttempt(uint64_t aKey, const http1::NoResponse& aFailure)
{
  PendingAttempt& pending = m_pending.at(aKey);
  ++m_counts.lost;
  m_observer.OnAttemptLost(pending.attempt, pending.connectionReused);
  pending.mayHaveRun = true;
  pending.lost = aFailure;
  pending.lostAt = BootNow();
  m_lostKeys.push_back(aKey);
  RecordLoss(pending);
}

void
TargetGateway::ReleaseLostAttempts(TimePoint aLostUntil, bool aTargetAlive)
{
  std::vector<uint64_t> released;
  std::erase_if(m_lostKeys, [this, aLostUntil, &released](uint64_t aKey) {
    const auto found = m_pending.find(aKey);
    if (found != m_pending.end() && found->second.lostAt > aLostUntil) {
      return false;
    }
    released.push_back(aKey);
    return true;
  });
  for (const uint64_t key : released) {
    ReleaseLostAttempt(key, aTargetAlive);
  }
}

void
TargetGateway::ReleaseLostAttempt(uint64_t aKey, bool aTargetAlive)
{
  const auto found = m_pending.find(aKey);
  if (found == m_pending.end()) {
    return;
  }
  PendingAttempt& pending = found->second;
  const http1::NoResponse failure = *std::exchange(pending.lost, {});
  // The target may have closed an idle connection just before the request
  // arrived.
  const bool staleConnection =
    pending.connectionReused && !failure.responseStarted;
  if (aTargetAlive && staleConnection && pending.attempt.idempotent &&
      MayResend(pending)) {
    pending.connectionReused = false;
    m_queue.CountResend(BootNow());
    Connect(aKey);
    return;
  }
  CompleteLost(aKey, failure);
}

bool
TargetGateway::MayResend(const PendingAttempt& aPending) const
{
  const bool leaving =
    !m_view.accepting || targets::IsCovered(m_view.run, m_leavingRun);
  return !leaving && m_observer.MayResend(aPending.attempt.fingerprint);
}

void
TargetGateway::CompleteLost(uint64_t aKey, const http1::NoResponse& aFailure)
{
  const PendingAttempt& pending = m_pending.at(aKey);
  const bool timedOut = aFailure.reason == http1::FailureReason::kTimeout;
  AttemptResult result;
  result.reachedTarget = aFailure.requestSent || pending.mayHaveRun;
  if (!result.reachedTarget) {
    result.outcome = Outcome::kNotRun;
    result.error = { ErrorKind::kConnectionLost,
                     "connection lost before the request was sent" };
  } else {
    ++m_counts.unknown;
    result.outcome = Outcome::kUnknown;
    result.error = { timedOut ? ErrorKind::kDeadlineExceeded
                     : aFailure.responseStarted ||
                         http1::IsInvalidResponse(aFailure.reason)
                       ? ErrorKind::kResponseIncomplete
                       : ErrorKind::kConnectionLost,
                     std::string(http1::ToString(aFailure.reason)) };
  }
  RecordOutcome(true);
  Complete(aKey, std::move(result), false);
}

void
TargetGateway::ProbeIfSilent(TimePoint aNow)
{
  if (m_probe || (m_lostKeys.empty() && m_lostRequests.empty()) ||
      m_lastActivity >= m_lastLossAt + kCrashSettleTime ||
      aNow - m_lastLossAt < kProbeDelay) {
    return;
  }
  ++m_counts.connects;
  ++m_openConnections;
  m_probe = http1::ClientConnection::Make(
    m_io, m_options.responseLimits, m_receiveBudget);
  m_probe->Connect(
    m_options.target,
    kConnectTimeout,
    kTargetSilenceTimeout,
    [this](bool aConnected) {
      const ConnectionPtr probe = std::exchange(m_probe, nullptr);
      if (aConnected) {
        m_lastActivity = BootNow();
        KeepIdleConnection(probe);
        ReleaseLostAttempts(m_lastActivity - kCrashSettleTime, true);
        return;
      }
      --m_openConnections;
      RecordUnreachable();
      RejectQueued(ErrorKind::kNoTarget, "target is unreachable");
    });
}

void
TargetGateway::RecordUnreachable()
{
  ++m_counts.failedConnects;
  m_unreachableUntil = BootNow() + kUnreachableBackoff;
  ReportCrash();
}

void
TargetGateway::ReportCrash()
{
  std::vector<uint64_t> fingerprints;
  for (const auto& [at, fingerprint] : std::exchange(m_lostRequests, {})) {
    fingerprints.push_back(fingerprint);
  }
  if (!fingerprints.empty()) {
    m_observer.OnTargetCrashed(fingerprints);
  }
  // After the report, so that whoever gets a result knows the suspects.
  ReleaseLostAttempts(TimePoint::max(), false);
}

void
TargetGateway::OnConnectFailed(uint64_t aKey)
{
  PendingAttempt& pending = m_pending.at(aKey);
  pending.connection.reset();
  AttemptResult result;
  result.reachedTarget = pending.mayHaveRun;
  result.outcome = pending.mayHaveRun ? Outcome::kUnknown : Outcome::kNotRun;
  result.error = { ErrorKind::kNoTarget, "target is unreachable" };
  RecordUnreachable();
  Complete(aKey, std::move(result), false);
  RejectQueued(ErrorKind::kNoTarget, "target is unreachable");
}

void
TargetGateway::Complete(uint64_t aKey,
                        AttemptResult aResult,
                        bool aRecordRunTime)
{
  auto node = m_pending.extract(aKey);
  if (node.empty()) {
    return;
  }
  const TimePoint now = BootNow();
  PendingAttempt& pending = node.mapped();
  m_running.erase(aKey);
  if (pending.runBegun) {
    m_observer.EndRun(pending.attempt.fingerprint,
                      aResult.outcome == Outcome::kResponded);
  }
  if (pending.started) {
    m_byDeadline.erase(pending.byDeadline);
    m_byRequestId.erase(pending.attempt.requestId);
    aResult.runTime = now - pending.startedAt;
  }
  aResult.nestedFailed = pending.nestedFailed;
  m_queue.Finish(aKey, aResult.runTime, aRecordRunTime);
  if (pending.done) {
    aResult.report = Report(pending.attempt.route);
    pending.done(std::move(aResult));
  }
  Advance(now);
}

std::optional<uint64_t>
TargetGateway::FindByRequestId(std::string_view aRequestId) const
{
  for (size_t dot = aRequestId.rfind('.'); dot != std::string_view::npos;
       dot = dot == 0 ? dot : aRequestId.rfind('.', dot - 1)) {
    const auto found =
      m_byRequestId.find(std::string(aRequestId.substr(0, dot)));
    if (found != m_byRequestId.end()) {
      return found->second;
    }
    if (dot == 0) {
      break;
    }
  }
  return std::nullopt;
}

std::optional<uint64_t>
TargetGateway::FindByDeadline(TimePoint aDeadline) const
{
  const int64_t deadline = BootMs(aDeadline);
  auto next = m_byDeadline.lower_bound(deadline - kParentToleranceMs);
  std::optional<uint64_t> best;
  int64_t bestDistance = kParentToleranceMs + 1;
  for (; next != m_byDeadline.end() &&
         next->first <= deadline + kParentToleranceMs;
       ++next) {
    const int64_t distance = std::abs(next->first - deadline);
    if (distance < bestDistance) {
      bestDistance = distance;
      best = next->second;
    }
  }
  return best;
}

std::optional<RunningParent>
TargetGateway::FindParent(std::string_view aRequestId,
                          TimePoint aDeadline) const
{
  std::optional<uint64_t> key = FindByRequestId(aRequestId);
  if (!key) {
    key = FindByDeadline(aDeadline);
  }
  if (!key) {
    return std::nullopt;
  }
  const PendingAttempt& pending = m_pending.at(*key);
  return RunningParent{ pending.attempt.route,
                        pending.attempt.priority,
                        pending.attempt.rank,
                        pending.attempt.isRetry,
                        *key };
}

void
TargetGateway::RecordNestedFailure(uint64_t aParentKey)
{
  const auto found = m_pending.find(aParentKey);
  if (found != m_pending.end()) {
    found->second.nestedFailed = true;
  }
}

void
TargetGateway::RecordOutcome(bool aFailed)
{
  m_failureShare +=
    kFailureShareWeight * ((aFailed ? 1.0 : 0.0) - m_failureShare);
}

LoadReport
TargetGateway::Report(const std::string& aRoute)
{
  const gate::QueueLoad load = m_queue.CurrentLoad(BootNow());
  LoadReport report;
  report.accepting = IsAccepting() && BootNow() >= m_unreachableUntil;
  report.stopping = m_closeEnd.has_value();
  report.slots = load.slots;
  report.running = load.running;
  report.queued = load.queued;
  report.expectedWait = load.expectedWait;
  report.requestsPerSecond = load.requestsPerSecond;
  report.meanRunTime = m_queue.MeanRunTime(aRoute);
  report.admissionLevels = m_observer.DownstreamAdmissionLevels(aRoute);
  for (size_t i = 0; i < gate::kPriorityClasses; ++i) {
    report.admissionLevels[i] =
      std::min(report.admissionLevels[i], m_queue.Levels().Level(i));
  }
  report.failureShare = m_failureShare;
  return report;
}

AttemptResult
TargetGateway::MakeNotRunResult(const std::string& aRoute,
                                ErrorKind aKind,
                                const char* aDetail)
{
  AttemptResult result;
  result.outcome = Outcome::kNotRun;
  result.error = { aKind, aDetail };
  result.report = Report(aRoute);
  return result;
}

} // namespace wagtailbend::exchange
