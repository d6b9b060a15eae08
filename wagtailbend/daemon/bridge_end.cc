// The part of Bridge that decides how an attempt and the request end.

#include <utility>

#include <fmt/format.h>

#include "wagtailbend/daemon/bridge.h"
#include "wagtailbend/daemon/metadata.h"
#include "wagtailbend/observability/event_log.h"

namespace wagtailbend::daemon {
namespace {

/// Returns the kind of a failure that only gRPC reported.
ErrorKind
KindOfTransport(const grpc::Status& aStatus)
{
  switch (aStatus.error_code()) {
    case grpc::StatusCode::DEADLINE_EXCEEDED:
      return ErrorKind::kDeadlineExceeded;
    case grpc::StatusCode::UNIMPLEMENTED:
      return ErrorKind::kUnknownMethod;
    default:
      return ErrorKind::kConnectionLost;
  }
}

/// A rejected response leaves nothing to report but the kind of failure.
Error
TransportError(const AttemptEnd& aEnd)
{
  return { KindOfTransport(aEnd.status), aEnd.status.error_message() };
}

} // namespace

// Returns how the attempt failed, or nullopt if its response is complete.
std::optional<Error>
Bridge::ErrorOf(const AttemptEnd& aEnd, RunState& aRun)
{
  aRun = RunState::kMayHaveRun;
  if (Abandoned()) {
    aRun = RunStateFromName(aEnd.run).value_or(RunState::kMayHaveRun);
    return Error{ ErrorKind::kCancelled, "cancelled by the caller" };
  }
  if (aEnd.silent) {
    return Error{ ErrorKind::kConnectionLost, "no progress" };
  }
  if (m_attemptError) {
    return m_attemptError;
  }
  if (aEnd.status.ok()) {
    return m_verifier->OnEnd(aEnd.frames, aEnd.checksum);
  }
  bool echoed = !aEnd.ids.requestId.empty();
  if (echoed) {
    if (auto error =
          m_verifier->OnIds(aEnd.ids.requestId, aEnd.ids.attemptId)) {
      return error;
    }
  }
  auto kind = ErrorKindFromName(aEnd.error);
  if (kind && echoed) {
    aRun =
      RunStateFromName(aEnd.run).value_or(ErrorResponseFor(*kind).runState);
    return Error{ *kind, aEnd.status.error_message() };
  }
  // A status of the target's own, with the ids of this attempt.
  if (echoed) {
    aRun = RunState::kRan;
    return Error{ ErrorKind::kTargetFailed, aEnd.status.error_message() };
  }
  return TransportError(aEnd);
}

void
Bridge::OnEnd(const AttemptEnd& aEnd)
{
  RunState run = RunState::kRan;
  std::optional<Error> error = ErrorOf(aEnd, run);
  TimePoint now = MonotonicNow();
  NoteLostTarget(error, aEnd);
  if (m_order.role != OrderRole::kRelay) {
    m_traffic.chooser->OnEnd(
      *m_destination,
      { error ? std::optional(error->kind) : std::nullopt,
        now - m_attemptStart,
        aEnd.threshold,
        m_context.requestBytes,
        m_responseBytes,
        m_context.method->serverStreaming },
      now);
  }
  LearnFrom(aEnd, !error, now);
  {
    std::lock_guard lock(m_attemptMutex);
    m_attempt.reset();
  }
  if (m_order.grant) {
    EndGrant(std::move(error), run, aEnd);
    return;
  }
  if (error) {
    FailAttempt(std::move(*error), run, aEnd);
    return;
  }
  FinishComplete(aEnd);
}

// The caller has left and the attempt serves nobody else.
bool
Bridge::Abandoned() const
{
  return m_cancelled.load() && !m_detached.load();
}

void
Bridge::NoteFailure(const Error& aError, const AttemptEnd& aEnd)
{
  if (aError.kind == ErrorKind::kResponseMismatch) {
    m_traffic.counters.mismatches.Add(1);
  }
  // A peer whose target has gone would cost each request sent to it a retry
  // until the control thread hears of it.
  const bool gone = aEnd.unreachable ||
                    (!m_destination->own && m_order.role != OrderRole::kRelay &&
                     (aError.kind == ErrorKind::kNoTarget ||
                      aError.kind == ErrorKind::kDraining));
  if (gone && m_traffic.events) {
    m_traffic.events->OnUnreachable(*m_destination);
  }
}

void
Bridge::FailAttempt(Error aError, RunState aRun, const AttemptEnd& aEnd)
{
  NoteFailure(aError, aEnd);
  // An executor or a home passes on what it was told.
  m_order.settled = m_order.role != OrderRole::kNone;
  m_silenceSeen = m_silenceSeen || aEnd.silent;
  m_mayHaveRun = m_mayHaveRun || aRun != RunState::kNotRun;
  if (MayRetry(aError, aRun) && StartRetry(aError)) {
    return;
  }
  if (m_mayHaveRun && aRun == RunState::kNotRun) {
    aRun = RunState::kMayHaveRun;
  }
  bool order = m_context.method->kind == schema::Kind::kOrder;
  if (order && aRun == RunState::kMayHaveRun) {
    aError.kind = ErrorKind::kOutcomeUnknown;
  }
  bool ownStatus = aError.kind == ErrorKind::kTargetFailed;
  if (!ownStatus && HoldReply([this, aError, aRun] {
        FinishWithError(aError, aRun, nullptr);
      })) {
    return;
  }
  FinishWithError(std::move(aError), aRun, ownStatus ? &aEnd.status : nullptr);
}

bool
Bridge::MayRetry(const Error& aError, RunState aRun) const
{
  const schema::Method& method = *m_context.method;
  if (m_order.role == OrderRole::kRelay ||
      m_context.origin == filters::Origin::kPeer || m_framePassedOn ||
      m_cancelled.load() || !ErrorResponseFor(aError.kind).retryable ||
      m_targetsLost >= quarantine::kMaxCrashes) {
    return false;
  }
  if (aRun != RunState::kNotRun &&
      (method.kind == schema::Kind::kOrder || !method.idempotent)) {
    return false;
  }
  return MonotonicNow() < m_context.deadline;
}

void
Bridge::FinishWithError(Error aError,
                        RunState aRun,
                        const grpc::Status* aStatus)
{
  ConfirmRunState(aError, aRun);
  const ErrorResponse& answer = ErrorResponseFor(aError.kind);
  if (m_context.method && m_context.method->kind == schema::Kind::kOrder &&
      aRun == RunState::kNotRun) {
    observability::Event("order_rejected")
      .Add("request", m_context.requestId.ToString())
      .Add("method", m_context.method->path)
      .Add("reason", answer.name)
      .Add("detail", aError.detail)
      .Info();
  }
  grpc::Status status = aStatus ? *aStatus : StatusOf(aError);
  m_serverContext.AddTrailingMetadata(kRequestIdKey,
                                      m_context.requestId.ToString());
  m_serverContext.AddTrailingMetadata(kAttemptIdKey,
                                      m_context.attemptId.ToString());
  m_serverContext.AddTrailingMetadata(kErrorKey, std::string(answer.name));
  m_serverContext.AddTrailingMetadata(kRunKey, std::string(RunStateName(aRun)));
  if (m_context.origin == filters::Origin::kPeer && aRun == RunState::kNotRun &&
      m_context.attemptsStarted == 0) {
    // Nothing below this daemon was started, so the budget is returned whole.
    m_serverContext.AddTrailingMetadata(
      kAttemptsLeftKey,
      std::string(
        FindMetadata(m_serverContext.client_metadata(), kAttemptsKey)));
  }
  AddAdmissionTrailers(aError.kind);
  Leave({ std::move(aError), aRun, status.error_code(), m_responseBytes });
  Finish(status);
}

void
Bridge::FinishComplete(const AttemptEnd& aEnd)
{
  if (m_context.method->serverStreaming) {
    m_serverContext.AddTrailingMetadata(kFramesKey, std::string(aEnd.frames));
    m_serverContext.AddTrailingMetadata(kChecksumKey,
                                        std::string(aEnd.checksum));
  }
  if (m_context.origin == filters::Origin::kPeer) {
    // A home has paid for each grant from what the caller allotted.
    m_serverContext.AddTrailingMetadata(
      kAttemptsLeftKey,
      m_context.relayed && m_order.role == OrderRole::kEntry
        ? fmt::format_int(m_context.ledger->Remaining()).str()
        : std::string(aEnd.attemptsLeft));
  }
  if (!m_threshold.empty()) {
    m_serverContext.AddTrailingMetadata(kThresholdKey, m_threshold);
  }
  Leave({ std::nullopt, RunState::kRan, 0, m_responseBytes });
  SendIds();
  if (m_context.method->serverStreaming) {
    Finish(grpc::Status::OK);
    return;
  }
  StartWriteAndFinish(&m_response, grpc::WriteOptions(), grpc::Status::OK);
}

void
Bridge::Leave(const filters::Outcome& aOutcome)
{
  TimePoint now = MonotonicNow();
  m_traffic.counters.OnEnd(m_context, aOutcome, now);
  auto& chain = m_traffic.chains[static_cast<size_t>(m_context.origin)];
  chain.OnResponse(m_context, aOutcome, now, m_filtersEntered);
}

} // namespace wagtailbend::daemon
