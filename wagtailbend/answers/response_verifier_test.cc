#include "wagtailbend/answers/response_verifier.h"

#include <functional>
#include <vector>

#include <gtest/gtest.h>

namespace wagtailbend::answers {
namespace {

const RequestId kRequestId{ 1, 2 };
const RequestId kOtherRequestId{ 1, 3 };
const AttemptId kAttemptId{ 7 };
const AttemptId kOtherAttemptId{ 8 };
constexpr Duration kProgressTimeout = std::chrono::milliseconds(100);

/// The ids and frames that the verifier receives for one attempt.
struct ReceivedResponse
{
  RequestId request = kRequestId;
  AttemptId attempt = kAttemptId;
  std::vector<std::string> frames = { "one", "two", "three" };
};

struct FaultCase
{
  const char* name;
  std::function<void(ReceivedResponse&)> injectFault;
  std::optional<ErrorKind> expected;
};

std::optional<Error>
Verify(ResponseVerifier& aVerifier,
       const ReceivedResponse& aResponse,
       const std::string& aFrameCount,
       const std::string& aChecksum)
{
  if (auto error = aVerifier.OnIds(aResponse.request.ToString(),
                                   aResponse.attempt.ToString())) {
    return error;
  }
  for (const std::string& frame : aResponse.frames) {
    if (auto error = aVerifier.OnFrame(frame.size(), TimePoint{})) {
      return error;
    }
    aVerifier.OnFrameBytes(frame);
  }
  return aVerifier.OnEnd(aFrameCount, aChecksum);
}

FrameChecksum
ChecksumOf(const std::vector<std::string>& aFrames)
{
  FrameChecksum checksum;
  for (const std::string& frame : aFrames) {
    checksum.BeginFrame(frame.size());
    checksum.AddFrameBytes(frame);
  }
  return checksum;
}

// Guards against passing a wrong or short response to a customer: one that
// belongs to another attempt, or whose frames were reordered, duplicated,
// altered or lost.
TEST(ResponseVerifier, StreamedResponses)
{
  const FaultCase faultCases[] = {
    { "complete", [](ReceivedResponse&) {}, std::nullopt },
    { "late response to an abandoned attempt",
      [](ReceivedResponse& aResponse) { aResponse.attempt = kOtherAttemptId; },
      ErrorKind::kResponseMismatch },
    { "response to another request",
      [](ReceivedResponse& aResponse) { aResponse.request = kOtherRequestId; },
      ErrorKind::kResponseMismatch },
    { "reordered frames",
      [](ReceivedResponse& aResponse) {
        std::swap(aResponse.frames[0], aResponse.frames[1]);
      },
      ErrorKind::kResponseIncomplete },
    { "duplicated frame",
      [](ReceivedResponse& aResponse) { aResponse.frames.push_back("three"); },
      ErrorKind::kResponseIncomplete },
    { "truncated frame",
      [](ReceivedResponse& aResponse) { aResponse.frames[2] = "thre"; },
      ErrorKind::kResponseIncomplete },
    { "missing last frame",
      [](ReceivedResponse& aResponse) { aResponse.frames.pop_back(); },
      ErrorKind::kResponseIncomplete },
    { "shifted frame boundary",
      [](ReceivedResponse& aResponse) {
        aResponse.frames = { "onet", "wo", "three" };
      },
      ErrorKind::kResponseIncomplete },
    { "frame of another response",
      [](ReceivedResponse& aResponse) { aResponse.frames[1] = "tow"; },
      ErrorKind::kResponseIncomplete },
  };
  FrameChecksum sent = ChecksumOf(ReceivedResponse{}.frames);
  for (const FaultCase& faultCase : faultCases) {
    SCOPED_TRACE(faultCase.name);
    ReceivedResponse response;
    faultCase.injectFault(response);
    ResponseVerifier verifier(
      kRequestId, kAttemptId, true, kProgressTimeout, TimePoint{});
    auto error =
      Verify(verifier, response, sent.FrameCountText(), sent.ChecksumText());
    ASSERT_EQ(error.has_value(), faultCase.expected.has_value());
    if (error) {
      EXPECT_EQ(error->kind, *faultCase.expected) << error->detail;
    }
  }
}

// Guards against taking the end of the connection for the end of the stream:
// the trailers must be present and correct.
TEST(ResponseVerifier, TrailersAreRequired)
{
  FrameChecksum sent = ChecksumOf(ReceivedResponse{}.frames);
  const std::vector<std::pair<std::string, std::string>> trailers = {
    { "", "" },
    { sent.FrameCountText(), "" },
    { "", sent.ChecksumText() },
    { "3x", sent.ChecksumText() },
    { "2", sent.ChecksumText() },
    { sent.FrameCountText(), "12" },
  };
  for (const auto& [frames, checksum] : trailers) {
    SCOPED_TRACE(testing::Message() << frames << "/" << checksum);
    ResponseVerifier verifier(
      kRequestId, kAttemptId, true, kProgressTimeout, TimePoint{});
    auto error = Verify(verifier, ReceivedResponse{}, frames, checksum);
    ASSERT_TRUE(error.has_value());
    EXPECT_EQ(error->kind, ErrorKind::kResponseIncomplete);
  }
}

// Guards against accepting a unary response that has no message or several.
TEST(ResponseVerifier, UnaryResponses)
{
  ReceivedResponse withoutFrame;
  withoutFrame.frames.clear();
  ReceivedResponse oneFrame;
  oneFrame.frames = { "one" };
  ResponseVerifier missing(
    kRequestId, kAttemptId, false, kProgressTimeout, TimePoint{});
  EXPECT_EQ(Verify(missing, withoutFrame, "", "")->kind,
            ErrorKind::kResponseIncomplete);
  ResponseVerifier single(
    kRequestId, kAttemptId, false, kProgressTimeout, TimePoint{});
  EXPECT_FALSE(Verify(single, oneFrame, "", "").has_value());
  ResponseVerifier multiple(
    kRequestId, kAttemptId, false, kProgressTimeout, TimePoint{});
  EXPECT_EQ(Verify(multiple, ReceivedResponse{}, "", "")->kind,
            ErrorKind::kResponseMismatch);
}

// Guards against passing on frames before the ids were verified.
TEST(ResponseVerifier, RejectsFramesBeforeIds)
{
  ResponseVerifier verifier(
    kRequestId, kAttemptId, true, kProgressTimeout, TimePoint{});
  auto error = verifier.OnFrame(3, TimePoint{});
  ASSERT_TRUE(error.has_value());
  EXPECT_EQ(error->kind, ErrorKind::kResponseMismatch);
}

// Guards against streams that hang on a silent connection, and against aborting
// slow streams that still make progress.
TEST(ResponseVerifier, ProgressTimeout)
{
  TimePoint start{};
  ResponseVerifier verifier(
    kRequestId, kAttemptId, true, kProgressTimeout, start);
  EXPECT_FALSE(verifier.CheckProgress(start + kProgressTimeout - Duration(1)));
  EXPECT_TRUE(verifier.CheckProgress(start + kProgressTimeout));
  ASSERT_FALSE(verifier.OnIds(kRequestId.ToString(), kAttemptId.ToString()));
  ASSERT_FALSE(verifier.OnFrame(1, start + kProgressTimeout));
  auto error = verifier.CheckProgress(start + 2 * kProgressTimeout);
  EXPECT_FALSE(
    verifier.CheckProgress(start + kProgressTimeout + kProgressTimeout / 2));
  ASSERT_TRUE(error.has_value());
  EXPECT_EQ(error->kind, ErrorKind::kConnectionLost);
  verifier.ResetProgressTimeout(start + 2 * kProgressTimeout);
  EXPECT_FALSE(verifier.CheckProgress(start + 2 * kProgressTimeout +
                                      kProgressTimeout / 2));
}

} // namespace
} // namespace wagtailbend::answers
