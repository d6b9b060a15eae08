// The part of Bridge that watches for requests that crash targets.

#include <utility>

#include "wagtailbend/daemon/bridge.h"

namespace wagtailbend::daemon {

void
Bridge::NoteLostTarget(const std::optional<Error>& aError,
                       const AttemptEnd& aEnd)
{
  // A connection that went silent or was never opened is no sign of a crash.
  if (!m_traffic.quarantine || !aError ||
      aError->kind != ErrorKind::kConnectionLost || aEnd.silent ||
      aEnd.unreachable) {
    return;
  }
  ++m_targetsLost;
  m_lostAt = MonotonicNow();
  // Without an error kind the trial daemon itself is gone.
  if (m_context.trialDaemon && !m_destination->own && aEnd.error.empty()) {
    m_traffic.quarantine->TrialConnectionLost(m_context.fingerprint, m_lostAt);
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
  TimePoint until = m_traffic.quarantine->EarliestResponseTime(m_lostAt);
  m_holdTimer.Set(
    std::chrono::system_clock::now() +
      std::chrono::duration_cast<std::chrono::system_clock::duration>(
        until - MonotonicNow()),
    [reply = std::move(aReply)](bool) { reply(); });
  return true;
}

} // namespace wagtailbend::daemon
