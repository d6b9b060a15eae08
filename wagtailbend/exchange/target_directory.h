// Interface to the targets that are available for requests.

#pragma once

#include <array>
#include <string>
#include <vector>

#include "wagtailbend/exchange/attempt.h"
#include "wagtailbend/gate/admission_level.h"
#include "wagtailbend/placement/placement.h"

namespace wagtailbend::exchange {

struct TargetOption
{
  placement::Candidate candidate;
  AttemptChannel* channel = nullptr;
  /// Address of the target's daemon.
  std::string address;
};

/// Must be used on the traffic thread only.
class TargetDirectory
{
public:
  virtual ~TargetDirectory() = default;

  /// Returns the targets of a service that accept requests and are reachable.
  /// At most a few dozen: for a larger service those of the same region and a
  /// random sample of the rest.
  virtual std::vector<TargetOption> TargetOptions(
    const std::string& aService,
    const std::string& aRoute) = 0;
  /// Returns true if the service has targets, even if none is reachable now.
  virtual bool HasTargets(const std::string& aService) const = 0;
  virtual void OnSent(const std::string& aAddress) = 0;
  virtual void OnResult(const std::string& aAddress,
                        const Attempt& aAttempt,
                        const AttemptResult& aResult) = 0;
  /// Returns by priority class the share of new customer requests for which a
  /// service has capacity.
  virtual Levels AdmissionLevels(const std::string& aService,
                                 const std::string& aRoute) = 0;
};

} // namespace wagtailbend::exchange
