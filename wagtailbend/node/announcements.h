// Interface for the announcements of the local target and the readiness
// requests of the platform.

#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "wagtailbend/targets/target_state.h"

namespace wagtailbend::node {

/// Must be used on the control thread only.
class Announcements
{
public:
  virtual ~Announcements() = default;

  /// Calls aAcknowledge once the announcement is in effect. Never calls it for
  /// an announcement of another target.
  virtual void OnHeartbeat(const targets::Heartbeat& aHeartbeat,
                           std::function<void()> aAcknowledge) = 0;
  /// aStartTimeMs: start time of the target in Unix milliseconds, or 0.
  virtual void OnLeave(const std::string& aId,
                       uint64_t aStartTimeMs,
                       std::function<void()> aAcknowledge) = 0;
  /// Called for an announcement that could not be parsed.
  virtual void OnUnreadable(const std::string& aId,
                            const std::string& aReason) = 0;
  virtual bool IsReady() const = 0;
};

} // namespace wagtailbend::node
