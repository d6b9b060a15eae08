// The targets that an entry can choose from.

#pragma once

#include <array>
#include <string>
#include <vector>

#include "wagtailbend/exchange/attempt.h"
#include "wagtailbend/gate/admit_level.h"
#include "wagtailbend/placement/placement.h"

namespace wagtailbend::exchange {

struct TargetOption
{
  placement::Candidate candidate;
  AttemptChannel* channel = nullptr;
  /// Names the daemon beside the target.
  std::string address;
};

/// Belongs to the traffic thread.
class TargetDirectory
{
public:
  virtual ~TargetDirectory() = default;

  /// Targets of a service that take requests and can be reached. At most a few
  /// dozen: of a larger service the near ones and a random choice of the rest.
  virtual std::vector<TargetOption> Options(const std::string& aService,
                                            const std::string& aRoute) = 0;
  /// The service has targets, though they may be out of reach at the moment.
  virtual bool HasTargets(const std::string& aService) const = 0;
  virtual void OnSent(const std::string& aAddress) = 0;
  virtual void OnResult(const std::string& aAddress,
                        const Attempt& aAttempt,
                        const AttemptResult& aResult) = 0;
  /// Share of new customer requests that a service has room for, by class.
  virtual std::array<double, gate::kClasses> Admit(
    const std::string& aService,
    const std::string& aRoute) = 0;
};

} // namespace wagtailbend::exchange
