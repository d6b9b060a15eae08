// Member record: a daemon of the HTTP path and its target, as known to its
// peers.

#pragma once

#include <cstdint>
#include <string>

#include "wagtailbend/targets/target_state.h"

namespace wagtailbend::mesh {

/// A daemon and its target.
struct Member
{
  /// IPv4:port on which the daemon accepts connections from peers. Identifies
  /// the daemon.
  std::string address;
  uint64_t incarnation = 0;
  /// Start of the process in Unix milliseconds. Orders processes that used the
  /// same address.
  uint64_t startTimeMs = 0;
  std::string failureDomain;
  std::string region;
  std::string service;
  /// Incremented with each change within one incarnation.
  uint64_t revision = 0;
  bool accepting = false;
  uint32_t slots = 0;
  /// Run of the target that left or is draining; the id is empty if there is
  /// none.
  targets::TargetRun leavingTarget;
  /// Planned stop of the process in Unix milliseconds; 0 while it runs.
  uint64_t stopTimeMs = 0;

  bool operator==(const Member&) const = default;
};

/// Returns true if aNew supersedes aOld. Precondition: the addresses are equal.
inline bool
IsNewer(const Member& aNew, const Member& aOld)
{
  if (aNew.incarnation == aOld.incarnation) {
    return aNew.revision > aOld.revision;
  }
  return aNew.startTimeMs > aOld.startTimeMs;
}

} // namespace wagtailbend::mesh
