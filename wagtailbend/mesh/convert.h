// Conversions between the messages of mesh.proto and C++ types, and the framing
// of messages on a connection.

#pragma once

#include <optional>
#include <string>

#include "wagtailbend/exchange/attempt.h"
#include "wagtailbend/mesh.pb.h"
#include "wagtailbend/mesh/member.h"
#include "wagtailbend/quarantine/quarantine_list.h"
#include "wagtailbend/routes/route_table.h"

namespace wagtailbend::mesh {

// All functions in this file are thread-safe.

wire::MemberRecord
ToProto(const Member& aMember);
Member
FromProto(const wire::MemberRecord& aRecord);

wire::GateReport
ToProto(const exchange::LoadReport& aReport);
exchange::LoadReport
FromProto(const wire::GateReport& aReport);

/// Points in time are written as the time remaining at aNow.
void
FillProto(const exchange::Attempt& aAttempt,
          TimePoint aNow,
          wire::Attempt& aMessage);
/// Moves strings out of aMessage.
exchange::Attempt
MoveFromProto(wire::Attempt& aMessage, TimePoint aNow);

void
FillProto(const exchange::AttemptResult& aResult, wire::Result& aMessage);
/// Moves strings out of aMessage. A response that is invalid by RFC 9112
/// becomes an unknown outcome.
exchange::AttemptResult
MoveFromProto(wire::Result& aMessage);

wire::Suspects
ToProto(const std::vector<quarantine::SuspectEntry>& aSuspects);
std::vector<quarantine::SuspectEntry>
FromProto(const wire::Suspects& aSuspects);

wire::SuspectsRequest
ToProto(const quarantine::ListDigests& aDigests);
/// Missing digests are 0.
quarantine::ListDigests
FromProto(const wire::SuspectsRequest& aRequest);

wire::RouteConfig
ToProto(const routes::RouteConfig& aConfig);
routes::RouteConfig
FromProto(const wire::RouteConfig& aConfig);

/// Returns the length prefix followed by the serialized frame.
std::string
EncodeFrame(const wire::Frame& aFrame);

/// Size of the length prefix, a big-endian integer.
inline constexpr size_t kLengthPrefixBytes = 4;
/// A connection that announces a larger frame is closed.
inline constexpr size_t kMaxFrameBytes = 96UL * 1024 * 1024;

/// Returns the frame length from the length prefix at the start of aBytes.
/// Precondition: aBytes has at least kLengthPrefixBytes bytes.
size_t
DecodeFrameLength(std::string_view aBytes);

} // namespace wagtailbend::mesh
