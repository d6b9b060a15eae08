#include "wagtailbend/answers/response_verifier.h"

#include <functional>
#include <vector>

#include <gtest/gtest.h>

namespace wagtailbend::answers {
namespace {

const RequestId kRequest{ 1, 2 };
const RequestId kOtherRequest{ 1, 3 };
const AttemptId kAttempt{ 7 };
const AttemptId kOtherAttempt{ 8 };
constexpr Duration kBound = std::chrono::milliseconds(100);

/// What arrives for one attempt.
struct Arrival
{
  RequestId request = kRequest;
  AttemptId attempt = kAttempt;
  std::vector<std::string> frames = { "one", "two", "three" };
};

struct Row
{
  const char* name;
  std::function<void(Arrival&)> fault;
  std::optional<ErrorKind> expected;
};

std::optional<Error>
Feed(ResponseVerifier& aVerifier,
     const Arrival& aArrival,
     const std::string& aFrames,
     const std::string& aChecksum)
{
  if (auto error = aVerifier.OnIds(aArrival.request.ToString(),
                                   aArrival.attempt.ToString())) {
    return error;
  }
  for (const std::string& frame : aArrival.frames) {
    if (auto error = aVerifier.OnFrame(frame.size(), TimePoint{})) {
      return error;
    }
    aVerifier.OnFrameBytes(frame);
  }
  return aVerifier.OnEnd(aFrames, aChecksum);
}

FrameChecksum
ChecksumOf(const std::vector<std::string>& aFrames)
{
  FrameChecksum checksum;
  for (const std::string& frame : aFrames) {
    checksum.BeginFrame(frame.size());
    checksum.AddBytes(frame);
  }
  return checksum;
}

// Each row is a way in which a customer would receive a wrong or short
// response if the check were missing.
TEST(ResponseVerifier, StreamedResponses)
{
  const Row rows[] = {
    { "complete", [](Arrival&) {}, std::nullopt },
    { "late response of an abandoned attempt",
      [](Arrival& aArrival) { aArrival.attempt = kOtherAttempt; },
      ErrorKind::kAnswerMismatch },
    { "response of another request",
      [](Arrival& aArrival) { aArrival.request = kOtherRequest; },
      ErrorKind::kAnswerMismatch },
    { "reordered frames",
      [](Arrival& aArrival) {
        std::swap(aArrival.frames[0], aArrival.frames[1]);
      },
      ErrorKind::kAnswerIncomplete },
    { "duplicated frame",
      [](Arrival& aArrival) { aArrival.frames.push_back("three"); },
      ErrorKind::kAnswerIncomplete },
    { "cut frame",
      [](Arrival& aArrival) { aArrival.frames[2] = "thre"; },
      ErrorKind::kAnswerIncomplete },
    { "missing last frame",
      [](Arrival& aArrival) { aArrival.frames.pop_back(); },
      ErrorKind::kAnswerIncomplete },
    { "moved frame boundary",
      [](Arrival& aArrival) {
        aArrival.frames = { "onet", "wo", "three" };
      },
      ErrorKind::kAnswerIncomplete },
    { "frame of another response",
      [](Arrival& aArrival) { aArrival.frames[1] = "tow"; },
      ErrorKind::kAnswerIncomplete },
  };
  FrameChecksum sent = ChecksumOf(Arrival{}.frames);
  for (const Row& row : rows) {
    SCOPED_TRACE(row.name);
    Arrival arrival;
    row.fault(arrival);
    ResponseVerifier verifier(kRequest, kAttempt, true, kBound, TimePoint{});
    auto error = Feed(verifier, arrival, sent.FramesText(), sent.ValueText());
    ASSERT_EQ(error.has_value(), row.expected.has_value());
    if (error) {
      EXPECT_EQ(error->kind, *row.expected) << error->detail;
    }
  }
}

// Guards against taking the end of a connection for the end of a stream.
TEST(ResponseVerifier, TrailersAreRequired)
{
  FrameChecksum sent = ChecksumOf(Arrival{}.frames);
  const std::vector<std::pair<std::string, std::string>> trailers = {
    { "", "" },
    { sent.FramesText(), "" },
    { "", sent.ValueText() },
    { "3x", sent.ValueText() },
    { "2", sent.ValueText() },
    { sent.FramesText(), "12" },
  };
  for (const auto& [frames, checksum] : trailers) {
    SCOPED_TRACE(testing::Message() << frames << "/" << checksum);
    ResponseVerifier verifier(kRequest, kAttempt, true, kBound, TimePoint{});
    auto error = Feed(verifier, Arrival{}, frames, checksum);
    ASSERT_TRUE(error.has_value());
    EXPECT_EQ(error->kind, ErrorKind::kAnswerIncomplete);
  }
}

TEST(ResponseVerifier, UnaryResponses)
{
  Arrival none;
  none.frames.clear();
  Arrival one;
  one.frames = { "one" };
  ResponseVerifier missing(kRequest, kAttempt, false, kBound, TimePoint{});
  EXPECT_EQ(Feed(missing, none, "", "")->kind, ErrorKind::kAnswerIncomplete);
  ResponseVerifier single(kRequest, kAttempt, false, kBound, TimePoint{});
  EXPECT_FALSE(Feed(single, one, "", "").has_value());
  ResponseVerifier doubled(kRequest, kAttempt, false, kBound, TimePoint{});
  EXPECT_EQ(Feed(doubled, Arrival{}, "", "")->kind, ErrorKind::kAnswerMismatch);
}

// Guards against frames that are passed on before the ids were compared.
TEST(ResponseVerifier, FrameBeforeIds)
{
  ResponseVerifier verifier(kRequest, kAttempt, true, kBound, TimePoint{});
  auto error = verifier.OnFrame(3, TimePoint{});
  ASSERT_TRUE(error.has_value());
  EXPECT_EQ(error->kind, ErrorKind::kAnswerMismatch);
}

// Guards against streams that hang on a silent connection, and against ending
// slow streams that still progress.
TEST(ResponseVerifier, ProgressBound)
{
  TimePoint start{};
  ResponseVerifier verifier(kRequest, kAttempt, true, kBound, start);
  EXPECT_FALSE(verifier.CheckProgress(start + kBound - Duration(1)));
  EXPECT_TRUE(verifier.CheckProgress(start + kBound));
  ASSERT_FALSE(verifier.OnIds(kRequest.ToString(), kAttempt.ToString()));
  ASSERT_FALSE(verifier.OnFrame(1, start + kBound));
  auto error = verifier.CheckProgress(start + 2 * kBound);
  EXPECT_FALSE(verifier.CheckProgress(start + kBound + kBound / 2));
  ASSERT_TRUE(error.has_value());
  EXPECT_EQ(error->kind, ErrorKind::kConnectionLost);
  verifier.NoteProgress(start + 2 * kBound);
  EXPECT_FALSE(verifier.CheckProgress(start + 2 * kBound + kBound / 2));
}

} // namespace
} // namespace wagtailbend::answers
