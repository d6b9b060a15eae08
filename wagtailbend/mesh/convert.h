// Between the messages of mesh.proto and the types of the product.

#pragma once

#include <optional>
#include <string>

#include "wagtailbend/exchange/attempt.h"
#include "wagtailbend/mesh.pb.h"
#include "wagtailbend/mesh/member.h"
#include "wagtailbend/routes/route_table.h"

namespace wagtailbend::mesh {

/// All functions are thread-safe.
wire::MemberRecord
ToProto(const Member& aMember);
Member
FromProto(const wire::MemberRecord& aRecord);

wire::GateReport
ToProto(const exchange::LoadReport& aReport);
exchange::LoadReport
FromProto(const wire::GateReport& aReport);

/// Times become time left at aNow.
void
Fill(const exchange::Attempt& aAttempt,
     TimePoint aNow,
     wire::Attempt& aMessage);
/// Takes the texts out of aMessage.
exchange::Attempt
Take(wire::Attempt& aMessage, TimePoint aNow);

void
Fill(const exchange::AttemptResult& aResult, wire::Result& aMessage);
/// Takes the texts out of aMessage.
exchange::AttemptResult
Take(wire::Result& aMessage);

wire::RouteConfig
ToProto(const routes::RouteConfig& aConfig);
routes::RouteConfig
FromProto(const wire::RouteConfig& aConfig);

/// Returns length prefix and message.
std::string
Encode(const wire::Frame& aFrame);

/// Bytes of the length prefix.
inline constexpr size_t kPrefixBytes = 4;
/// A frame above this size is not accepted.
inline constexpr size_t kMaxFrameBytes = 96UL * 1024 * 1024;

/// Returns the length that the first kPrefixBytes of aBytes name.
/// Precondition: aBytes has at least that many.
size_t
FrameLength(std::string_view aBytes);

} // namespace wagtailbend::mesh
