// What the target beside the daemon announces, and what the platform asks.

#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "wagtailbend/targets/target_state.h"

namespace wagtailbend::node {

/// Belongs to the control thread.
class Announcements
{
public:
  virtual ~Announcements() = default;

  /// Calls aAcknowledge once what was announced is in force; not for an
  /// announcement of another target.
  virtual void OnHeartbeat(const targets::Heartbeat& aHeartbeat,
                           std::function<void()> aAcknowledge) = 0;
  /// aBornMs: Unix milliseconds of the target's start, or 0.
  virtual void OnLeave(const std::string& aId,
                       uint64_t aBornMs,
                       std::function<void()> aAcknowledge) = 0;
  /// An announcement that could not be read.
  virtual void OnUnreadable(const std::string& aId,
                            const std::string& aProblem) = 0;
  virtual bool IsReady() const = 0;
};

} // namespace wagtailbend::node
