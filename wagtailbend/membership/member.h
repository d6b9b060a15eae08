// Membership record of one daemon in a failure domain.
//
//   if (Supersedes(received, known)) {
//     known = received;
//   }

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wagtailbend/base/ids.h"
#include "wagtailbend/base/time.h"

namespace wagtailbend::membership {

/// The order matters: of two records with equal numbers, the one with the
/// greater state takes precedence. kDraining is above kSuspect so that a
/// suspicion never hides that a daemon is draining.
enum class MemberState : uint8_t
{
  kAlive,
  kSuspect,
  kDraining,
  kDead,
  kLeft,
};

/// Strings hold at most 128 bytes each; receivers reject records with longer
/// ones.
struct Member
{
  DaemonId id;
  /// Unix time in milliseconds at the start of the process. Orders the
  /// processes that have used the same name, because the incarnation in `id` is
  /// random.
  uint64_t generation = 0;
  /// SWIM incarnation number, incremented only by the daemon itself.
  uint64_t number = 0;
  MemberState state = MemberState::kAlive;
  std::string gossipAddress;
  std::string peerAddress;
  std::string httpAddress;
  std::string failureDomain;
  std::string region;
  /// Service of the daemon's local target, if one has announced itself.
  std::optional<std::string> service;
  uint32_t slots = 0;
  /// The target was started cold and needs a slow start.
  bool cold = false;
  /// Daemon that took over the order tickets before a planned stop.
  std::optional<DaemonId> successor;

  bool operator==(const Member&) const = default;
};

/// Configuration version accepted by the platform. Strings hold at most 128
/// bytes each; receivers reject datagrams with longer ones.
struct ConfigVersion
{
  uint64_t version = 0;
  std::string changeId;
  std::string digest;

  bool operator==(const ConfigVersion&) const = default;
};

/// Entry of the quarantine list. This module does not interpret the body.
struct QuarantineEntry
{
  std::string body;
  TimePoint expiresAt;

  bool operator==(const QuarantineEntry&) const = default;
};

/// Returns true if aLeft is newer than aRight. Both must have the same name.
/// Thread-safe.
bool
Supersedes(const Member& aLeft, const Member& aRight);

/// Returns true if the daemon is alive, suspect or draining. Thread-safe.
bool
IsLive(const Member& aMember);

/// Returns the name of a state for status output. Thread-safe.
std::string_view
MemberStateName(MemberState aState);

} // namespace wagtailbend::membership
