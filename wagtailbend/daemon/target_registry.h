// What the daemon knows about the target of its own VM. Decision logic only:
// the control thread calls it and publishes the result.
//
//   TargetRegistry registry(std::chrono::seconds(1));
//   registry.Announce({ "association.Balances", "127.0.0.1:7001" }, now);
//   if (registry.Expire(now)) { Publish(); }

#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "wagtailbend/base/time.h"

namespace wagtailbend::daemon {

/// What a target says about itself.
struct Announcement
{
  std::string service;
  /// "IP:port" of the target's gRPC server.
  std::string address;
  uint32_t slots = 0;
  uint32_t connections = 0;
  bool cold = false;

  bool operator==(const Announcement&) const = default;
};

/// Not thread-safe: owned by the control thread.
class TargetRegistry
{
public:
  explicit TargetRegistry(Duration aHeartbeatTimeout)
    : m_heartbeatTimeout(aHeartbeatTimeout)
  {
  }

  /// Registers the target, in place of any earlier one. Returns true if the
  /// routing view changes.
  bool Announce(Announcement aAnnouncement, TimePoint aNow);
  /// Returns false if no target is registered; the target then has to announce
  /// itself again. aLoad is a hint in [0, 1].
  bool Heartbeat(double aLoad, TimePoint aNow);
  /// The target takes no new work. Returns true if the routing view changes.
  bool Drain();
  /// Removes a target whose heartbeats stopped. Returns true if it did.
  bool Expire(TimePoint aNow);
  /// Removes the target if aAddress, which refused a connection, is its own.
  /// Returns true if it did.
  bool Refused(const std::string& aAddress);

  /// The registered target, draining or not.
  const std::optional<Announcement>& Target() const { return m_target; }
  bool Draining() const { return m_draining; }
  double Load() const { return m_load; }

private:
  Duration m_heartbeatTimeout;
  std::optional<Announcement> m_target;
  TimePoint m_lastSeen;
  bool m_draining = false;
  double m_load = 0;
};

} // namespace wagtailbend::daemon
