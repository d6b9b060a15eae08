#include "wagtailbend/base/error.h"

#include <array>

namespace wagtailbend {
namespace {

// Numeric values of grpc::StatusCode, duplicated here so that decision logic
// does not depend on gRPC.
constexpr int kGrpcCancelled = 1;
constexpr int kGrpcInvalidArgument = 3;
constexpr int kGrpcDeadlineExceeded = 4;
constexpr int kGrpcNotFound = 5;
constexpr int kGrpcAlreadyExists = 6;
constexpr int kGrpcResourceExhausted = 8;
constexpr int kGrpcFailedPrecondition = 9;
constexpr int kGrpcAborted = 10;
constexpr int kGrpcUnimplemented = 12;
constexpr int kGrpcInternal = 13;
constexpr int kGrpcUnavailable = 14;
constexpr int kGrpcDataLoss = 15;
constexpr int kGrpcUnknown = 2;

using Kind = ErrorKind;
using Run = RunState;

constexpr std::array<ErrorResponse, kErrorKindCount> kErrorResponses = { {
  { Kind::kOverloaded,
    "overloaded",
    kGrpcResourceExhausted,
    Run::kNotRun,
    true },
  { Kind::kDeadlineTooShort,
    "deadline-too-short",
    kGrpcDeadlineExceeded,
    Run::kNotRun,
    false },
  { Kind::kDeadlineExceeded,
    "deadline-exceeded",
    kGrpcDeadlineExceeded,
    Run::kMayHaveRun,
    false },
  { Kind::kCancelled, "cancelled", kGrpcCancelled, Run::kMayHaveRun, false },
  { Kind::kNoTarget, "no-target", kGrpcUnavailable, Run::kNotRun, true },
  { Kind::kDraining, "draining", kGrpcUnavailable, Run::kNotRun, true },
  { Kind::kAttemptsExhausted,
    "attempts-exhausted",
    kGrpcResourceExhausted,
    Run::kNotRun,
    false },
  { Kind::kQuarantined,
    "quarantined",
    kGrpcFailedPrecondition,
    Run::kNotRun,
    false },
  { Kind::kResponseIncomplete,
    "answer-incomplete",
    kGrpcDataLoss,
    Run::kMayHaveRun,
    true },
  { Kind::kResponseMismatch,
    "answer-mismatch",
    kGrpcDataLoss,
    Run::kMayHaveRun,
    true },
  { Kind::kConnectionLost,
    "connection-lost",
    kGrpcUnavailable,
    Run::kMayHaveRun,
    true },
  { Kind::kTargetFailed,
    "target-failed",
    kGrpcUnknown,
    Run::kMayHaveRun,
    false },
  { Kind::kUnknownMethod,
    "unknown-method",
    kGrpcUnimplemented,
    Run::kNotRun,
    false },
  { Kind::kInvalidRequest,
    "invalid-request",
    kGrpcInvalidArgument,
    Run::kNotRun,
    false },
  { Kind::kNoConfiguration,
    "no-configuration",
    kGrpcUnavailable,
    Run::kNotRun,
    true },
  { Kind::kOutcomeUnknown,
    "outcome-unknown",
    kGrpcUnknown,
    Run::kMayHaveRun,
    false },
  { Kind::kNotRun, "not-run", kGrpcAborted, Run::kNotRun, false },
  { Kind::kAlreadyRan, "already-ran", kGrpcAlreadyExists, Run::kRan, false },
  // An earlier incarnation may have run the order before the current one
  // started.
  { Kind::kStaleIncarnation,
    "stale-incarnation",
    kGrpcFailedPrecondition,
    Run::kMayHaveRun,
    false },
  { Kind::kPlatformUnavailable,
    "platform-unavailable",
    kGrpcUnavailable,
    Run::kNotRun,
    false },
  { Kind::kConflict, "conflict", kGrpcAborted, Run::kNotRun, false },
  { Kind::kNotFound, "not-found", kGrpcNotFound, Run::kNotRun, false },
  { Kind::kHistoryLost, "history-lost", kGrpcDataLoss, Run::kNotRun, false },
  { Kind::kInternal, "internal", kGrpcInternal, Run::kMayHaveRun, false },
} };

constexpr std::array<std::string_view, 3> kRunStateNames = { "not-run",
                                                             "may-have-run",
                                                             "ran" };

} // namespace

const ErrorResponse&
ErrorResponseFor(ErrorKind aKind)
{
  return kErrorResponses[static_cast<size_t>(aKind)];
}

std::optional<ErrorKind>
ErrorKindFromName(std::string_view aName)
{
  for (const ErrorResponse& response : kErrorResponses) {
    if (response.name == aName) {
      return response.kind;
    }
  }
  return std::nullopt;
}

std::string_view
RunStateName(RunState aState)
{
  return kRunStateNames[static_cast<size_t>(aState)];
}

std::optional<RunState>
RunStateFromName(std::string_view aName)
{
  for (size_t i = 0; i < kRunStateNames.size(); ++i) {
    if (kRunStateNames[i] == aName) {
      return static_cast<RunState>(i);
    }
  }
  return std::nullopt;
}

} // namespace wagtailbend
