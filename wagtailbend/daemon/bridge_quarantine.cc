// The part of Bridge that watches for requests that crash targets.

#include <utility>

#include "wagtailbend/daemon/bridge.h"

namespace wagtailbend::daemon {

void
Bridge::EnterTarget()
{
  if (m_traffic.quarantine && m_destination->own) {
    m_traffic.quarantine->Enter(m_context.fingerprint);
  }
}

void
Bridge::LeaveTarget(const std::optional<Error>& aError, const AttemptEnd& aEnd)
{
  if (!m_traffic.quarantine) {
    return;
  }
  TimePoint now = MonotonicNow();
  // A connection that went silent or was never opened is no sign of a crash.
  bool lost = aError && aError->kind == ErrorKind::kConnectionLost &&
              !aEnd.silent && !aEnd.unreachable;
  if (lost) {
    ++m_targetsLost;
    m_lostAt = now;
  }
  if (m_destination->own) {
    // Reported before any request that was lost leaves the list.
    if (lost && m_traffic.events) {
      m_traffic.events->OnOwnTargetLost(m_traffic.quarantine->InFlight(), now);
    }
    m_traffic.quarantine->Leave(m_context.fingerprint);
    return;
  }
  // Without an error kind the trial daemon itself is gone.
  if (lost && m_context.trialDaemon && aEnd.error.empty()) {
    m_traffic.quarantine->TrialConnectionLost(m_context.fingerprint, now);
  }
}

// The caller could send a request that was lost with its target again before
// the other daemons know. A peer's request is not held, because its daemon may
// try another target at once; that daemon holds its own reply. Returns false if
// there is nothing to wait for.
bool
Bridge::HoldReply(std::function<void()> aReply)
{
  if (!m_traffic.quarantine || m_targetsLost == 0 ||
      m_context.origin == filters::Origin::kPeer) {
    return false;
  }
  TimePoint until = m_traffic.quarantine->ReplyNotBefore(m_lostAt);
  m_holdTimer.Set(
    std::chrono::system_clock::now() +
      std::chrono::duration_cast<std::chrono::system_clock::duration>(
        until - MonotonicNow()),
    [reply = std::move(aReply)](bool) { reply(); });
  return true;
}

} // namespace wagtailbend::daemon
