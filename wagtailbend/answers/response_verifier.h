// Verifies that a response belongs to its attempt and arrived completely.
//
//   ResponseVerifier verifier(requestId, attemptId, true, timeout, now);
//   if (auto error = verifier.OnIds(requestHeader, attemptHeader)) { ... }
//   if (auto error = verifier.OnFrame(frame.size(), now)) { ... }
//   verifier.OnFrameBytes(frame);
//   if (auto error = verifier.OnEnd(framesTrailer, checksumTrailer)) { ... }

#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "wagtailbend/base/error.h"
#include "wagtailbend/base/ids.h"
#include "wagtailbend/base/time.h"

namespace wagtailbend::answers {

/// Computes xxHash64 (seed 0) over all frames. Each frame contributes its
/// length as eight little-endian bytes, then its bytes, so that shifted frame
/// boundaries change the checksum. Not thread-safe.
class FrameChecksum
{
public:
  FrameChecksum();

  /// Starts a frame of aSize bytes.
  void BeginFrame(uint64_t aSize);
  /// Adds the next bytes of the current frame.
  void AddFrameBytes(std::string_view aBytes);

  uint64_t Frames() const { return m_frameCount; }
  uint64_t Value() const;
  /// Value of the `wb-frames` trailer.
  std::string FrameCountText() const;
  /// Value of the `wb-checksum` trailer: 16 hexadecimal digits.
  std::string ChecksumText() const;

private:
  struct HashStateDeleter
  {
    void operator()(void* aState) const;
  };

  std::unique_ptr<void, HashStateDeleter> m_hashState;
  uint64_t m_frameCount = 0;
};

/// Verifies the response to one attempt. Not thread-safe.
class ResponseVerifier
{
public:
  /// aStreamed: whether the response ends with a frame count and a checksum.
  /// aProgressTimeout: longest time allowed without a frame.
  ResponseVerifier(const RequestId& aRequestId,
                   const AttemptId& aAttemptId,
                   bool aStreamed,
                   Duration aProgressTimeout,
                   TimePoint aNow);

  /// Compares the ids that the response echoes. Returns a mismatch error if an
  /// id is missing, malformed or different. Must be called before OnFrame.
  std::optional<Error> OnIds(std::string_view aRequestId,
                             std::string_view aAttemptId);

  /// Starts a frame of aSize bytes. Returns a mismatch error if the ids were
  /// not verified, or for a second frame of a response that is not streamed.
  std::optional<Error> OnFrame(uint64_t aSize, TimePoint aNow);
  /// Adds the next bytes of the current frame to a streamed response's
  /// checksum.
  void OnFrameBytes(std::string_view aBytes);

  /// Checks that the response is complete. The parameters are the values of the
  /// `wb-frames` and `wb-checksum` trailers, empty if missing. Returns an
  /// incomplete-response error if a check fails, or a mismatch error if the ids
  /// were not verified.
  std::optional<Error> OnEnd(std::string_view aFrameCount,
                             std::string_view aChecksum) const;

  /// Returns kConnectionLost if no frame arrived within the progress timeout.
  std::optional<Error> CheckProgress(TimePoint aNow) const;
  /// Time at which CheckProgress starts to fail unless a frame arrives earlier.
  TimePoint ProgressDeadline() const
  {
    return m_lastProgress + m_progressTimeout;
  }
  /// Restarts the progress timeout, so that time in which the caller was not
  /// ready to receive the next frame does not count.
  void ResetProgressTimeout(TimePoint aNow) { m_lastProgress = aNow; }

  uint64_t FrameCount() const { return m_frameCount; }

private:
  RequestId m_requestId;
  AttemptId m_attemptId;
  bool m_streamed;
  Duration m_progressTimeout;
  TimePoint m_lastProgress;
  bool m_idsVerified = false;
  uint64_t m_frameCount = 0;
  std::optional<FrameChecksum> m_checksum;
};

} // namespace wagtailbend::answers
