// The part of Bridge that pays for attempts and sends them.

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "wagtailbend/daemon/bridge.h"
#include "wagtailbend/daemon/gated_attempt.h"
#include "wagtailbend/daemon/metadata.h"

namespace wagtailbend::daemon {

using attempts::AttemptGrant;
using filters::Origin;

void
Bridge::StartFirst()
{
  const TimePoint now = MonotonicNow();
  const schema::Method& method = *m_context.method;
  m_destination =
    m_traffic.chooser->Choose(m_context, *m_snapshot, {}, now, ThreadRng());
  if (!m_destination) {
    FinishWithError(
      { ErrorKind::kNoTarget, method.service }, RunState::kNotRun, nullptr);
    return;
  }
  if (EndsHere()) {
    // The caller has paid for this attempt and the calls below it.
    Send({ m_allotted.value_or(method.minimumAttempts - 1), 0 });
    return;
  }
  m_traffic.retryRatio.RecordCall(now);
  m_snapshot->hedges->RecordCall(now);
  auto grant = m_context.ledger->StartCall(attempts::CostOf(method));
  if (!grant) {
    FinishWithError(
      { ErrorKind::kAttemptsExhausted, "" }, RunState::kNotRun, nullptr);
    return;
  }
  if (auto error = GrantOrder()) {
    const RunState run = ErrorResponseFor(error->kind).runState;
    FinishWithError(std::move(*error), run, nullptr);
    return;
  }
  Send(*grant);
}

// Returns false if no target, budget or ratio is left for another attempt.
bool
Bridge::StartRetry(const Error& aError)
{
  const TimePoint now = MonotonicNow();
  // Targets that were removed meanwhile are not chosen again.
  m_snapshot = m_traffic.snapshots.Load();
  const Destination* next = m_traffic.chooser->Choose(
    m_context, *m_snapshot, m_tried, now, ThreadRng());
  m_destination = nullptr;
  if (!next) {
    return false;
  }
  const bool tried =
    std::find(m_tried.begin(), m_tried.end(), next->daemon) != m_tried.end();
  // A target that rejects work would reject the same request again.
  // A daemon that rejected an order holds a tombstone and never runs it.
  if (tried && (aError.kind == ErrorKind::kOverloaded ||
                aError.kind == ErrorKind::kDraining ||
                m_order.role != OrderRole::kNone)) {
    return false;
  }
  auto grant =
    m_context.ledger->StartRetry(attempts::CostOf(*m_context.method));
  if (!grant) {
    return false;
  }
  if (!m_traffic.retryRatio.TryAcquire(now)) {
    m_context.ledger->CancelUnsent(*grant);
    return false;
  }
  m_destination = next;
  if (GrantOrder()) {
    m_context.ledger->CancelUnsent(*grant);
    return false;
  }
  m_traffic.counters.retries.Add(1);
  Send(*grant);
  return true;
}

void
Bridge::Send(const AttemptGrant& aGrant)
{
  HedgeLeg leg = StartLeg(*m_destination, aGrant, MonotonicNow());
  UseLeg(leg);
  m_attemptError.reset();
  const std::optional<Duration> delay = HedgeDelay();
  std::shared_ptr<Attempt> attempt;
  if (delay) {
    const DropLeg drop = [&traffic = m_traffic, hold = m_traffic.open.Enter()](
                           const HedgeLeg& aLeg, ErrorKind aError) {
      const TimePoint now = MonotonicNow();
      traffic.chooser->OnEnd(
        *aLeg.destination, { aError, now - aLeg.start, {} }, now);
    };
    attempt = PrepareHedged(std::move(leg), *delay, *this, *this, drop);
  } else {
    attempt = PrepareAttempt(leg, *this);
  }
  if (Publish(attempt)) {
    attempt->Cancel();
  }
  // The request may have ended when Begin returns.
  attempt->Begin();
}

// Counts an attempt that is about to be sent.
HedgeLeg
Bridge::StartLeg(const Destination& aDestination,
                 const AttemptGrant& aGrant,
                 TimePoint aNow)
{
  HedgeLeg leg;
  leg.snapshot = m_snapshot;
  leg.destination = &aDestination;
  leg.attemptId =
    EndsHere() ? m_context.attemptId : AttemptId::Random(ThreadRng());
  leg.grant = aGrant;
  leg.start = aNow;
  leg.prepare = [this, prepared = leg](AttemptObserver& aObserver) {
    return PrepareAttempt(prepared, aObserver);
  };
  m_tried.push_back(aDestination.daemon);
  ++m_context.attemptsStarted;
  m_traffic.counters.attempts.Add(1);
  if (m_order.role != OrderRole::kRelay) {
    m_traffic.chooser->OnStart(aDestination, aNow);
  }
  return leg;
}

// Returns after what time a second attempt is sent beside the first one.
std::optional<Duration>
Bridge::HedgeDelay() const
{
  const schema::Method& method = *m_context.method;
  if (m_context.origin == Origin::kPeer || method.serverStreaming ||
      m_context.attemptsStarted != 1) {
    return std::nullopt;
  }
  // The policy knows only idempotent lookups.
  return m_snapshot->hedges->Delay(method.path);
}

std::optional<HedgeLeg>
Bridge::StartHedge(TimePoint aNow)
{
  const Destination* other = m_traffic.chooser->Choose(
    m_context, *m_snapshot, m_tried, aNow, ThreadRng());
  if (!other || std::find(m_tried.begin(), m_tried.end(), other->daemon) !=
                  m_tried.end()) {
    return std::nullopt;
  }
  auto grant = m_snapshot->hedges->TryHedge(
    m_context.method->path, aNow - m_attemptStart, *m_context.ledger, aNow);
  if (!grant) {
    return std::nullopt;
  }
  m_traffic.counters.hedges.Add(1);
  return StartLeg(*other, *grant, aNow);
}

void
Bridge::UseLeg(const HedgeLeg& aLeg)
{
  m_destination = aLeg.destination;
  m_destinationView = aLeg.snapshot;
  m_attemptId = aLeg.attemptId;
  m_grant = aLeg.grant;
  m_attemptStart = aLeg.start;
  m_verifier.emplace(VerifierOf(aLeg));
}

answers::ResponseVerifier
Bridge::VerifierOf(const HedgeLeg& aLeg)
{
  return { m_context.requestId,
           aLeg.attemptId,
           m_context.method->serverStreaming,
           m_traffic.progressBound,
           aLeg.start };
}

std::shared_ptr<Attempt>
Bridge::PrepareAttempt(const HedgeLeg& aLeg, AttemptObserver& aObserver)
{
  AttemptRequest request = MakeAttemptRequest(aLeg);
  if (!aLeg.destination->own) {
    return m_traffic.transport->Prepare(std::move(request), aObserver);
  }
  LocalRun run{ m_schema,
                m_context.method,
                m_context.requestId,
                aLeg.attemptId,
                m_context.deadline,
                m_context.priority,
                m_context.nested,
                aLeg.grant.childBudget,
                m_context.fingerprint,
                m_traffic.open.Enter() };
  if (m_order.role != OrderRole::kNone) {
    run.orders = &m_traffic.orders->book;
    run.ticket = m_order.ticket;
  }
  return PrepareGated(*m_traffic.transport,
                      m_traffic.gate,
                      m_traffic.registry,
                      *m_traffic.quarantine,
                      std::move(run),
                      std::move(request),
                      aObserver);
}

// Takes what the end of an attempt tells about budget and admission.
void
Bridge::LearnFrom(const AttemptEnd& aEnd, bool aComplete, TimePoint aNow)
{
  m_context.queueTime += aEnd.queueTime;
  m_threshold = aEnd.threshold;
  m_retryAfter = aEnd.retryAfterMs;
  if (EndsHere()) {
    return;
  }
  if (m_order.role == OrderRole::kRelay) {
    if (aComplete) {
      m_context.ledger->Settle(m_grant, ParseNumber(aEnd.attemptsLeft, 0));
    }
    return;
  }
  if (auto threshold = admission::ParseThreshold(aEnd.threshold)) {
    m_traffic.thresholds.Update(
      m_context.method->service, m_destination->daemon.name, *threshold, aNow);
  }
  if (aComplete) {
    m_snapshot->hedges->RecordLatency(m_context.method->path,
                                      aNow - m_attemptStart);
    m_context.ledger->Settle(m_grant, ParseNumber(aEnd.attemptsLeft, 0));
  } else if (aEnd.run == RunStateName(RunState::kNotRun)) {
    // With the schema's budget for Ledgers/Roster (4, minimum 2) a lookup that
    // a draining daemon rejected had no budget left for a retry.
    m_context.ledger->Settle(m_grant, ParseNumber(aEnd.attemptsLeft, 0));
  }
}

// Adds the threshold, and to a rejection the time after which to try again.
void
Bridge::AddAdmissionTrailers(ErrorKind aKind)
{
  if (m_threshold.empty() && m_context.origin == Origin::kPeer) {
    m_threshold = admission::FormatThreshold(m_traffic.gate.Threshold());
  }
  if (!m_threshold.empty()) {
    m_serverContext.AddTrailingMetadata(kThresholdKey, m_threshold);
  }
  if (aKind != ErrorKind::kOverloaded &&
      aKind != ErrorKind::kDeadlineTooShort) {
    return;
  }
  if (m_retryAfter.empty()) {
    // Randomized like the gate's, so that rejected callers return apart.
    constexpr double kBaseMs = 100;
    m_retryAfter =
      fmt::format("{:.0f}", kBaseMs * (0.5 + UniformUnit(ThreadRng())));
  }
  m_serverContext.AddTrailingMetadata(kRetryAfterKey, m_retryAfter);
}

} // namespace wagtailbend::daemon
