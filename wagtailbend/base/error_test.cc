#include "wagtailbend/base/error.h"

#include <gtest/gtest.h>

namespace wagtailbend {
namespace {

// Guards against a table row in the wrong position, or with a duplicate name,
// after a kind was added. The table is indexed by kind.
TEST(ErrorTest, EveryKindHasItsOwnRowAndName)
{
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    EXPECT_EQ(ErrorResponseFor(kind).kind, kind);
    EXPECT_EQ(ErrorKindFromName(ErrorResponseFor(kind).name), kind);
  }
}

// Guards against a "not-run" response for a request that may have run: the
// caller could repeat the request and have it run twice.
TEST(ErrorTest, UncertainOutcomesAreNotReportedAsNotRun)
{
  for (ErrorKind kind : { ErrorKind::kOutcomeUnknown,
                          ErrorKind::kDeadlineExceeded,
                          ErrorKind::kCancelled,
                          ErrorKind::kResponseIncomplete,
                          ErrorKind::kResponseMismatch,
                          ErrorKind::kConnectionLost,
                          ErrorKind::kTargetFailed,
                          ErrorKind::kStaleIncarnation,
                          ErrorKind::kInternal }) {
    EXPECT_EQ(ErrorResponseFor(kind).runState, RunState::kMayHaveRun);
  }
}

// Guards against a `wb-run` value that the receiver reads as another state.
TEST(ErrorTest, RunStateNamesRoundTrip)
{
  for (RunState state :
       { RunState::kNotRun, RunState::kMayHaveRun, RunState::kRan }) {
    EXPECT_EQ(RunStateFromName(RunStateName(state)), state);
  }
  EXPECT_EQ(RunStateFromName("maybe"), std::nullopt);
}

} // namespace
} // namespace wagtailbend
