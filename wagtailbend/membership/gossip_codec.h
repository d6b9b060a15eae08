// Converts between membership types and their protobuf messages, and validates
// received messages so that malformed datagrams do not reach the member table.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "wagtailbend/base/result.h"
#include "wagtailbend/gossip.pb.h"
#include "wagtailbend/membership/member.h"

namespace wagtailbend::membership {

/// Maximum size of a gossip datagram; below the MTU of common networks.
inline constexpr size_t kMaxDatagramBytes = 1200;
/// Maximum size of the body of a quarantine entry.
inline constexpr size_t kMaxQuarantineBytes = 256;

/// Thread-safe.
peer::DaemonId
ToProto(const DaemonId& aId);
gossip::Member
ToProto(const Member& aMember);
peer::ConfigVersion
ToProto(const ConfigVersion& aConfig);
gossip::QuarantineEntry
ToProto(const QuarantineEntry& aEntry, TimePoint aNow);

/// Thread-safe.
DaemonId
FromProto(const peer::DaemonId& aId);
ConfigVersion
FromProto(const peer::ConfigVersion& aConfig);

/// Returns nullopt if a required field is missing or a field is too long.
/// Thread-safe.
std::optional<Member>
FromProto(const gossip::Member& aMember);

/// Returns nullopt if the body is empty or too long, or if the entry has
/// expired. The remaining lifetime is limited to one day. Thread-safe.
std::optional<QuarantineEntry>
FromProto(const gossip::QuarantineEntry& aEntry, TimePoint aNow);

/// Size of the checksum that precedes the message in a datagram: the
/// little-endian xxHash64 of the message. The checksum rejects corrupted and
/// foreign datagrams, which could otherwise introduce a record that no daemon
/// can refute.
inline constexpr size_t kChecksumBytes = 8;

/// Thread-safe.
std::string
EncodeEnvelope(const gossip::Envelope& aEnvelope);

/// Parses one datagram. Returns kInvalidRequest if it is too large, its
/// checksum is wrong, the message does not parse, the kind or the sender is
/// missing, or a string is too long. Thread-safe.
Result<gossip::Envelope>
DecodeEnvelope(std::string_view aBytes);

} // namespace wagtailbend::membership
