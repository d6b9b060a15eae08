// The value type of one daemon in the membership of a failure domain.
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

/// Ordered: of two records with equal numbers the greater state wins. Draining
/// is above suspect so that a suspicion never hides that a daemon drains.
enum class MemberState : uint8_t
{
  kAlive,
  kSuspect,
  kDraining,
  kDead,
  kLeft,
};

/// Texts hold at most 128 bytes each; receivers reject longer ones.
struct Member
{
  DaemonId id;
  /// Orders the processes that used one name, because the incarnation in the id
  /// is random: Unix time in milliseconds at the start of the process.
  uint64_t generation = 0;
  /// SWIM incarnation number, raised only by the daemon itself.
  uint64_t number = 0;
  MemberState state = MemberState::kAlive;
  std::string gossipAddress;
  std::string peerAddress;
  std::string httpAddress;
  std::string failureDomain;
  std::string region;
  /// Service of the local target, if it has announced itself.
  std::optional<std::string> service;
  uint32_t slots = 0;
  /// The target has started cold and needs slow start.
  bool cold = false;
  /// Daemon that took over the order tickets at a planned stop.
  std::optional<DaemonId> successor;

  bool operator==(const Member&) const = default;
};

/// A configuration version that the platform accepted. Texts hold at most 128
/// bytes each; receivers reject datagrams with longer ones.
struct ConfigVersion
{
  uint64_t version = 0;
  std::string changeId;
  std::string digest;

  bool operator==(const ConfigVersion&) const = default;
};

/// An entry of the quarantine list. The body is opaque to this module.
struct QuarantineEntry
{
  std::string body;
  TimePoint expiresAt;

  bool operator==(const QuarantineEntry&) const = default;
};

/// Returns true if aLeft is newer than aRight. Both have the same name.
/// Thread-safe.
bool
Supersedes(const Member& aLeft, const Member& aRight);

/// Alive, suspect and draining daemons are live. Thread-safe.
bool
IsLive(const Member& aMember);

/// The name of a state for status output. Thread-safe.
std::string_view
MemberStateName(MemberState aState);

} // namespace wagtailbend::membership
