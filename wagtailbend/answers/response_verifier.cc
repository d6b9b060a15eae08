#include "wagtailbend/answers/response_verifier.h"

#include <charconv>
#include <new>

#include <fmt/format.h>
#include <xxhash.h>

namespace wagtailbend::answers {
namespace {

XXH64_state_t*
HashState(void* aState)
{
  return static_cast<XXH64_state_t*>(aState);
}

Error
MismatchError(std::string aDetail)
{
  return Error{ ErrorKind::kResponseMismatch, std::move(aDetail) };
}

Error
IncompleteError(std::string aDetail)
{
  return Error{ ErrorKind::kResponseIncomplete, std::move(aDetail) };
}

} // namespace

void
FrameChecksum::HashStateDeleter::operator()(void* aState) const
{
  XXH64_freeState(HashState(aState));
}

FrameChecksum::FrameChecksum()
  : m_hashState(XXH64_createState())
{
  if (!m_hashState) {
    throw std::bad_alloc();
  }
  XXH64_reset(HashState(m_hashState.get()), 0);
}

void
FrameChecksum::BeginFrame(uint64_t aSize)
{
  unsigned char length[sizeof(uint64_t)];
  for (size_t i = 0; i < sizeof(length); ++i) {
    length[i] = static_cast<unsigned char>(aSize >> (8 * i));
  }
  XXH64_update(HashState(m_hashState.get()), length, sizeof(length));
  ++m_frameCount;
}

void
FrameChecksum::AddFrameBytes(std::string_view aBytes)
{
  XXH64_update(HashState(m_hashState.get()), aBytes.data(), aBytes.size());
}

uint64_t
FrameChecksum::Value() const
{
  return XXH64_digest(HashState(m_hashState.get()));
}

std::string
FrameChecksum::FrameCountText() const
{
  return fmt::format("{}", m_frameCount);
}

std::string
FrameChecksum::ChecksumText() const
{
  return ToHex(Value());
}

ResponseVerifier::ResponseVerifier(const RequestId& aRequestId,
                                   const AttemptId& aAttemptId,
                                   bool aStreamed,
                                   Duration aProgressTimeout,
                                   TimePoint aNow)
  : m_requestId(aRequestId)
  , m_attemptId(aAttemptId)
  , m_streamed(aStreamed)
  , m_progressTimeout(aProgressTimeout)
  , m_lastProgress(aNow)
{
  if (m_streamed) {
    m_checksum.emplace();
  }
}

std::optional<Error>
ResponseVerifier::OnIds(std::string_view aRequestId,
                        std::string_view aAttemptId)
{
  m_idsVerified = false;
  if (RequestId::Parse(aRequestId) != m_requestId) {
    return MismatchError(
      fmt::format("response carries request id '{}', expected {}",
                  aRequestId,
                  m_requestId.ToString()));
  }
  if (AttemptId::Parse(aAttemptId) != m_attemptId) {
    return MismatchError(
      fmt::format("response carries attempt id '{}', expected {}",
                  aAttemptId,
                  m_attemptId.ToString()));
  }
  m_idsVerified = true;
  return std::nullopt;
}

std::optional<Error>
ResponseVerifier::OnFrame(uint64_t aSize, TimePoint aNow)
{
  m_lastProgress = aNow;
  if (!m_idsVerified) {
    return MismatchError("frame received before the ids were verified");
  }
  ++m_frameCount;
  if (!m_streamed && m_frameCount > 1) {
    return MismatchError(
      "more than one frame in a response that is not streamed");
  }
  if (m_checksum) {
    m_checksum->BeginFrame(aSize);
  }
  return std::nullopt;
}

void
ResponseVerifier::OnFrameBytes(std::string_view aBytes)
{
  if (m_checksum) {
    m_checksum->AddFrameBytes(aBytes);
  }
}

std::optional<Error>
ResponseVerifier::OnEnd(std::string_view aFrameCount,
                        std::string_view aChecksum) const
{
  if (!m_idsVerified) {
    return MismatchError("response ended before the ids were verified");
  }
  if (!m_streamed) {
    if (m_frameCount != 1) {
      return IncompleteError("response ended without a message");
    }
    return std::nullopt;
  }
  uint64_t expectedFrames = 0;
  auto [end, code] = std::from_chars(aFrameCount.data(),
                                     aFrameCount.data() + aFrameCount.size(),
                                     expectedFrames);
  if (aFrameCount.empty() || code != std::errc{} ||
      end != aFrameCount.data() + aFrameCount.size()) {
    return IncompleteError("missing or malformed frame count");
  }
  if (expectedFrames != m_frameCount) {
    return IncompleteError(
      fmt::format("received {} of {} frames", m_frameCount, expectedFrames));
  }
  if (ParseHex(aChecksum) != m_checksum->Value()) {
    return IncompleteError(
      fmt::format("checksum '{}' does not match the computed {}",
                  aChecksum,
                  m_checksum->ChecksumText()));
  }
  return std::nullopt;
}

std::optional<Error>
ResponseVerifier::CheckProgress(TimePoint aNow) const
{
  if (aNow < ProgressDeadline()) {
    return std::nullopt;
  }
  return Error{ ErrorKind::kConnectionLost,
                fmt::format("no frame received for {} ms",
                            ToMilliseconds(aNow - m_lastProgress)) };
}

} // namespace wagtailbend::answers
