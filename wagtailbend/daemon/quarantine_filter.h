// Rejects quarantined requests and restricts suspects to their trial.
//
//   chain.Add(std::make_unique<QuarantineFilter>(guard, snapshots));

#pragma once

#include "wagtailbend/daemon/quarantine_guard.h"
#include "wagtailbend/daemon/routing_snapshot.h"
#include "wagtailbend/filters/filter.h"

namespace wagtailbend::daemon {

/// At entry and egress a suspect is sent to its trial daemon only. At the
/// trial daemon it runs if no other suspect is in flight there.
class QuarantineFilter final : public filters::Filter
{
public:
  /// Both outlive the filter.
  QuarantineFilter(QuarantineGuard& aGuard, const SnapshotHolder& aSnapshots)
    : m_guard(aGuard)
    , m_snapshots(aSnapshots)
  {
  }

  std::optional<Error> OnRequest(filters::RequestContext& aContext,
                                 TimePoint aNow) override;
  void OnResponse(filters::RequestContext& aContext,
                  const filters::Outcome& aOutcome,
                  TimePoint aNow) override;

private:
  QuarantineGuard& m_guard;
  const SnapshotHolder& m_snapshots;
};

} // namespace wagtailbend::daemon
