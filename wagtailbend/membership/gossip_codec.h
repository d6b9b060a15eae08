// Conversion between membership values and their protobuf messages, with the
// checks that keep malformed datagrams out of the member table.

#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "wagtailbend/base/result.h"
#include "wagtailbend/gossip.pb.h"
#include "wagtailbend/membership/member.h"

namespace wagtailbend::membership {

/// Largest gossip datagram; stays below the MTU of common networks.
inline constexpr size_t kMaxDatagramBytes = 1200;
/// Largest body of a quarantine entry.
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

/// Returns nullopt if the body is empty or too long. The remaining lifetime is
/// limited to one day. Thread-safe.
std::optional<QuarantineEntry>
FromProto(const gossip::QuarantineEntry& aEntry, TimePoint aNow);

/// Bytes of a datagram before the message: the xxHash64 of the message, little
/// endian. It rejects corrupted and foreign datagrams, which could otherwise
/// plant a record that no daemon can refute.
inline constexpr size_t kChecksumBytes = 8;

/// Thread-safe.
std::string
EncodeEnvelope(const gossip::Envelope& aEnvelope);

/// Parses one datagram. Fails with kInvalidRequest if it is too large, has a
/// wrong checksum, does not parse, or lacks kind or sender. Thread-safe.
Result<gossip::Envelope>
DecodeEnvelope(std::string_view aBytes);

} // namespace wagtailbend::membership
