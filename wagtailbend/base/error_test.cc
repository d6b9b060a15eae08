#include "wagtailbend/base/error.h"

#include <gtest/gtest.h>

namespace wagtailbend {
namespace {

// Guards against a row that is out of place after a kind was added.
TEST(ErrorTest, EveryKindHasItsOwnRowAndName)
{
  for (size_t i = 0; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    EXPECT_EQ(AnswerFor(kind).kind, kind);
    EXPECT_EQ(ErrorKindFromName(AnswerFor(kind).name), kind);
  }
}

// Guards against a "not run" answer for a request that may have run.
TEST(ErrorTest, UncertainOutcomesAreNotReportedAsNotRun)
{
  for (ErrorKind kind : { ErrorKind::kOutcomeUnknown,
                          ErrorKind::kDeadlineExceeded,
                          ErrorKind::kCancelled,
                          ErrorKind::kAnswerIncomplete,
                          ErrorKind::kAnswerMismatch,
                          ErrorKind::kConnectionLost,
                          ErrorKind::kTargetFailed,
                          ErrorKind::kStaleIncarnation,
                          ErrorKind::kInternal }) {
    EXPECT_EQ(AnswerFor(kind).runState, RunState::kMayHaveRun);
  }
}

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
