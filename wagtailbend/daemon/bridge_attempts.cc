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
  if (m_context.origin == Origin::kPeer) {
    // The caller has paid for this attempt and the calls below it.
    Send({ m_allotted.value_or(method.minimumAttempts - 1), 0 });
    return;
  }
  m_traffic.retryRatio.RecordCall(now);
  auto grant = m_context.ledger->StartCall(attempts::CostOf(method));
  if (!grant) {
    FinishWithError(
      { ErrorKind::kAttemptsExhausted, "" }, RunState::kNotRun, nullptr);
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
  if (tried && (aError.kind == ErrorKind::kOverloaded ||
                aError.kind == ErrorKind::kDraining)) {
    return false;
  }
  auto grant =
    m_context.ledger->StartRetry(attempts::CostOf(*m_context.method));
  if (!grant) {
    return false;
  }
  if (!m_traffic.retryRatio.TryTake(now)) {
    m_context.ledger->CancelUnsent(*grant);
    return false;
  }
  m_traffic.counters.retries.fetch_add(1, std::memory_order_relaxed);
  m_destination = next;
  Send(*grant);
  return true;
}

void
Bridge::Send(const AttemptGrant& aGrant)
{
  const TimePoint now = MonotonicNow();
  m_attemptId = m_context.origin == Origin::kPeer
                  ? m_context.attemptId
                  : AttemptId::Random(ThreadRng());
  m_grant = aGrant;
  m_attemptStart = now;
  m_attemptError.reset();
  m_tried.push_back(m_destination->daemon);
  m_verifier.emplace(m_context.requestId,
                     m_attemptId,
                     m_context.method->serverStreaming,
                     m_traffic.progressBound,
                     now);
  ++m_context.attemptsStarted;
  m_traffic.counters.attempts.fetch_add(1, std::memory_order_relaxed);
  m_traffic.chooser->OnStart(*m_destination, now);
  auto attempt = PrepareAttempt(aGrant);
  if (Publish(attempt)) {
    attempt->Cancel();
  }
  // The request may have ended when Begin returns.
  attempt->Begin();
}

std::shared_ptr<Attempt>
Bridge::PrepareAttempt(const AttemptGrant& aGrant)
{
  AttemptRequest request = MakeAttemptRequest(aGrant.childBudget);
  if (!m_destination->own) {
    return m_traffic.transport->Prepare(std::move(request), *this);
  }
  LocalRun run{ m_schema,         m_context.method,   m_context.requestId,
                m_attemptId,      m_context.deadline, m_context.priority,
                m_context.nested, aGrant.childBudget };
  return PrepareGated(*m_traffic.transport,
                      m_traffic.gate,
                      m_traffic.registry,
                      std::move(run),
                      std::move(request),
                      *this);
}

// Takes what the end of an attempt tells about budget and admission.
void
Bridge::LearnFrom(const AttemptEnd& aEnd, bool aComplete, TimePoint aNow)
{
  m_context.queueTime += aEnd.queueTime;
  m_threshold = aEnd.threshold;
  m_retryAfter = aEnd.retryAfterMs;
  if (m_context.origin == Origin::kPeer) {
    return;
  }
  if (auto threshold = admission::ParseThreshold(aEnd.threshold)) {
    m_traffic.thresholds.Update(
      m_context.method->service, m_destination->daemon.name, *threshold, aNow);
  }
  if (aComplete) {
    m_context.ledger->CompleteInFull(m_grant,
                                     ParseNumber(aEnd.attemptsLeft, 0));
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
