// The closed list of error kinds and the table from kind to answer.
//
//   return Error{ ErrorKind::kOverloaded, "threshold 4 above priority 2" };
//   const ErrorAnswer& answer = AnswerFor(error.kind);

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace wagtailbend {

/// Every way a request or an operation can fail.
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
  kAnswerIncomplete,
  kAnswerMismatch,
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

/// What is known about whether the target ran the request.
enum class RunState : uint8_t
{
  kNotRun,
  kMayHaveRun,
  kRan,
};

/// The answer that a caller receives for one kind of error.
struct ErrorAnswer
{
  ErrorKind kind;
  /// Value of the `wb-error` metadata key and of log lines.
  std::string_view name;
  /// Numeric gRPC status code.
  int grpcCode;
  /// Default value of the `wb-run` metadata key.
  RunState runState;
  /// A daemon may send another attempt within the attempt budget.
  bool retryable;
};

struct Error
{
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;

  bool operator==(const Error&) const = default;
};

/// Returns the table row of aKind. Thread-safe.
const ErrorAnswer&
AnswerFor(ErrorKind aKind);

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
