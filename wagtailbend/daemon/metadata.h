// Names of the gRPC metadata keys and access to them.

#pragma once

#include <map>
#include <string>
#include <string_view>

#include <grpcpp/support/status.h>
#include <grpcpp/support/string_ref.h>

#include "wagtailbend/base/error.h"

namespace wagtailbend::daemon {

inline constexpr char kRequestIdKey[] = "wb-request-id";
inline constexpr char kAttemptIdKey[] = "wb-attempt-id";
inline constexpr char kAttemptsKey[] = "wb-attempts";
inline constexpr char kPriorityKey[] = "wb-priority";
inline constexpr char kParentKey[] = "wb-parent";
inline constexpr char kTicketKey[] = "wb-ticket";
inline constexpr char kOrderKeyKey[] = "wb-order-key";
inline constexpr char kIncarnationKey[] = "wb-incarnation";
inline constexpr char kRelayedKey[] = "wb-relayed";
inline constexpr char kTraceParentKey[] = "traceparent";
inline constexpr char kThresholdKey[] = "wb-threshold";
inline constexpr char kRetryAfterKey[] = "wb-retry-after-ms";
inline constexpr char kErrorKey[] = "wb-error";
inline constexpr char kRunKey[] = "wb-run";
inline constexpr char kAttemptsLeftKey[] = "wb-attempts-left";
inline constexpr char kFramesKey[] = "wb-frames";
inline constexpr char kChecksumKey[] = "wb-checksum";

using MetadataMap = std::multimap<grpc::string_ref, grpc::string_ref>;

/// Returns the first value of aKey, or "". The view lives as long as aMetadata.
std::string_view
FindMetadata(const MetadataMap& aMetadata, const char* aKey);

/// Parses a decimal number; returns aDefault if aText is not one.
uint32_t
ParseNumber(std::string_view aText, uint32_t aDefault);

/// Returns the gRPC status of aError: code from the table, message
/// "kind: detail". Thread-safe.
grpc::Status
StatusOf(const Error& aError);

} // namespace wagtailbend::daemon
