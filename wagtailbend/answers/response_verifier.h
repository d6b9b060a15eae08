// Verifies that a response belongs to its attempt and is complete.
//
//   ResponseVerifier verifier(requestId, attemptId, true, progressBound, now);
//   if (auto error = verifier.OnIds(requestHeader, attemptHeader)) { ... }
//   verifier.OnFrame({ data, size }, now);
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

/// xxHash64 (seed 0) over all frames; each frame contributes its length as
/// eight little-endian bytes, then its bytes, so that moved frame boundaries
/// change the value. Not thread-safe.
class FrameChecksum
{
public:
  FrameChecksum();

  /// Starts a frame of aBytes bytes.
  void BeginFrame(uint64_t aBytes);
  /// Adds a part of the current frame.
  void AddBytes(std::string_view aBytes);

  uint64_t Frames() const { return m_frames; }
  uint64_t Value() const;
  /// Value of the `wb-frames` trailer.
  std::string FramesText() const;
  /// Value of the `wb-checksum` trailer: 16 hexadecimal digits.
  std::string ValueText() const;

private:
  struct FreeState
  {
    void operator()(void* aState) const;
  };

  std::unique_ptr<void, FreeState> m_state;
  uint64_t m_frames = 0;
};

/// The checks of one attempt. Not thread-safe: one attempt, one owner.
class ResponseVerifier
{
public:
  /// aStreamed: the response ends with a frame count and a checksum.
  /// aProgressBound: longest time without a frame.
  ResponseVerifier(const RequestId& aRequestId,
                   const AttemptId& aAttemptId,
                   bool aStreamed,
                   Duration aProgressBound,
                   TimePoint aNow);

  /// Compares the echoed ids. Returns kAnswerMismatch if one is missing,
  /// malformed or differs. Must be called before the first frame is used.
  std::optional<Error> OnIds(std::string_view aRequestId,
                             std::string_view aAttemptId);

  /// Starts a frame. Returns kAnswerMismatch if the ids were not verified, and
  /// kAnswerMismatch for a second frame of a response that is not streamed.
  std::optional<Error> OnFrame(uint64_t aBytes, TimePoint aNow);
  /// Adds a part of the current frame to the checksum of a streamed response.
  void OnFrameBytes(std::string_view aBytes);

  /// Checks that the response is complete. The texts are the `wb-frames` and
  /// `wb-checksum` trailers, empty if missing. Returns kAnswerIncomplete.
  std::optional<Error> OnEnd(std::string_view aFrames,
                             std::string_view aChecksum) const;

  /// Returns kConnectionLost if no frame arrived within the progress bound.
  std::optional<Error> CheckProgress(TimePoint aNow) const;
  /// Time at which CheckProgress fails unless a frame arrives before it.
  TimePoint ProgressDeadline() const { return m_lastProgress + m_bound; }
  /// Restarts the progress bound, for time in which the caller was not ready
  /// to take the next frame.
  void NoteProgress(TimePoint aNow) { m_lastProgress = aNow; }

  uint64_t Frames() const { return m_frames; }

private:
  RequestId m_requestId;
  AttemptId m_attemptId;
  bool m_streamed;
  Duration m_bound;
  TimePoint m_lastProgress;
  bool m_idsVerified = false;
  uint64_t m_frames = 0;
  std::optional<FrameChecksum> m_checksum;
};

} // namespace wagtailbend::answers
