#include "wagtailbend/daemon/quarantine_filter.h"

#include <utility>

namespace wagtailbend::daemon {

using quarantine::QuarantineAction;

std::optional<Error>
QuarantineFilter::OnRequest(filters::RequestContext& aContext, TimePoint aNow)
{
  const std::string& service = aContext.method->service;
  aContext.fingerprint = FingerprintOf(aContext);
  auto verdict = m_guard.Check(aContext.fingerprint, service, aNow);
  bool fromPeer = aContext.origin == filters::Origin::kPeer;
  switch (verdict.kind) {
    case QuarantineAction::kPass:
      return std::nullopt;
    case QuarantineAction::kQuarantined:
      return Error{ ErrorKind::kQuarantined, "crashes its targets" };
    case QuarantineAction::kTrialElsewhere:
      if (fromPeer) {
        return Error{ ErrorKind::kQuarantined, "tried by another daemon" };
      }
      aContext.trialDaemon = std::move(verdict.trialDaemon);
      return std::nullopt;
    case QuarantineAction::kTrialHere:
      break;
  }
  auto snapshot = m_snapshots.Load();
  if (!snapshot->ownTarget || snapshot->ownService != service) {
    return Error{ ErrorKind::kQuarantined, "no target for a trial" };
  }
  if (!m_guard.BeginTrial(aContext.fingerprint, service, aNow)) {
    return Error{ ErrorKind::kOverloaded, "another trial is under way" };
  }
  aContext.trialDaemon = snapshot->ownTarget->daemon;
  aContext.isTrial = true;
  return std::nullopt;
}

void
QuarantineFilter::OnResponse(filters::RequestContext& aContext,
                             const filters::Outcome& aOutcome,
                             TimePoint aNow)
{
  if (!std::exchange(aContext.isTrial, false)) {
    return;
  }
  bool answered =
    !aOutcome.error || aOutcome.error->kind == ErrorKind::kTargetFailed;
  m_guard.EndTrial(aContext.fingerprint, answered, aNow);
}

} // namespace wagtailbend::daemon
