// The complete list of error kinds, and the response sent for each kind.
//
//   return Error{ ErrorKind::kOverloaded, "threshold 4 above priority 2" };
//   const ErrorResponse& response = ErrorResponseFor(error.kind);

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailbend {

/// The ways in which a request or an operation can fail.
enum class ErrorKind : uint8_t
{
  kOverloaded,
  kDeadlineTooShort,
  kDeadlineExceeded,
  kCancelled,
  kNoTarget,
  kDraining,
  kAttemptsExhausted,
  kQuarantined,
  kResponseIncomplete,
  kResponseMismatch,
  kConnectionLost,
  kTargetFailed,
  kUnknownMethod,
  kInvalidRequest,
  kNoConfiguration,
  kOutcomeUnknown,
  kNotRun,
  kAlreadyRan,
  kStaleIncarnation,
  kPlatformUnavailable,
  kConflict,
  kNotFound,
  kHistoryLost,
  kInternal,
};

inline constexpr size_t kErrorKindCount =
  static_cast<size_t>(ErrorKind::kInternal) + 1;

/// Whether the target ran the request, as far as the daemon knows.
enum class RunState : uint8_t
{
  kNotRun,
  kMayHaveRun,
  kRan,
};

/// The response that a caller receives for one kind of error.
struct ErrorResponse
{
  ErrorKind kind;
  /// Value of the `wb-error` metadata key, also used in log lines. Some names
  /// say "answer" for a response; they are part of the protocol.
  std::string_view name;
  /// Numeric gRPC status code.
  int grpcCode;
  /// Default value of the `wb-run` metadata key.
  RunState runState;
  /// Whether a daemon may send another attempt, if the attempt budget allows
  /// it.
  bool retryable;
};

struct Error
{
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;

  bool operator==(const Error&) const = default;
};

/// Returns the response for aKind. Thread-safe.
const ErrorResponse&
ErrorResponseFor(ErrorKind aKind);

/// Returns the kind whose name is aName, or nullopt. Thread-safe.
std::optional<ErrorKind>
ErrorKindFromName(std::string_view aName);

/// Returns the value of the `wb-run` metadata key. Thread-safe.
std::string_view
RunStateName(RunState aState);

/// Parses a value of the `wb-run` metadata key. Thread-safe.
std::optional<RunState>
RunStateFromName(std::string_view aName);

} // namespace wagtailbend
