#include "wagtailbend/answers/response_verifier.h"

#include <charconv>
#include <new>

#include <fmt/format.h>
#include <xxhash.h>

namespace wagtailbend::answers {
namespace {

XXH64_state_t*
StateOf(void* aState)
{
  return static_cast<XXH64_state_t*>(aState);
}

Error
Mismatch(std::string aDetail)
{
  return Error{ ErrorKind::kAnswerMismatch, std::move(aDetail) };
}

Error
Incomplete(std::string aDetail)
{
  return Error{ ErrorKind::kAnswerIncomplete, std::move(aDetail) };
}

} // namespace

void
FrameChecksum::FreeState::operator()(void* aState) const
{
  XXH64_freeState(StateOf(aState));
}

FrameChecksum::FrameChecksum()
  : m_state(XXH64_createState())
{
  if (!m_state) {
    throw std::bad_alloc();
  }
  XXH64_reset(StateOf(m_state.get()), 0);
}

void
FrameChecksum::BeginFrame(uint64_t aBytes)
{
  unsigned char length[sizeof(uint64_t)];
  for (size_t i = 0; i < sizeof(length); ++i) {
    length[i] = static_cast<unsigned char>(aBytes >> (8 * i));
  }
  XXH64_update(StateOf(m_state.get()), length, sizeof(length));
  ++m_frames;
}

void
FrameChecksum::AddBytes(std::string_view aBytes)
{
  XXH64_update(StateOf(m_state.get()), aBytes.data(), aBytes.size());
}

uint64_t
FrameChecksum::Value() const
{
  return XXH64_digest(StateOf(m_state.get()));
}

std::string
FrameChecksum::FramesText() const
{
  return fmt::format("{}", m_frames);
}

std::string
FrameChecksum::ValueText() const
{
  return ToHex(Value());
}

ResponseVerifier::ResponseVerifier(const RequestId& aRequestId,
                                   const AttemptId& aAttemptId,
                                   bool aStreamed,
                                   Duration aProgressBound,
                                   TimePoint aNow)
  : m_requestId(aRequestId)
  , m_attemptId(aAttemptId)
  , m_streamed(aStreamed)
  , m_bound(aProgressBound)
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
    return Mismatch(fmt::format(
      "request id '{}' instead of {}", aRequestId, m_requestId.ToString()));
  }
  if (AttemptId::Parse(aAttemptId) != m_attemptId) {
    return Mismatch(fmt::format(
      "attempt id '{}' instead of {}", aAttemptId, m_attemptId.ToString()));
  }
  m_idsVerified = true;
  return std::nullopt;
}

std::optional<Error>
ResponseVerifier::OnFrame(uint64_t aBytes, TimePoint aNow)
{
  m_lastProgress = aNow;
  if (!m_idsVerified) {
    return Mismatch("frame before verified ids");
  }
  ++m_frames;
  if (!m_streamed && m_frames > 1) {
    return Mismatch("second frame of a response that is not streamed");
  }
  if (m_checksum) {
    m_checksum->BeginFrame(aBytes);
  }
  return std::nullopt;
}

void
ResponseVerifier::OnFrameBytes(std::string_view aBytes)
{
  if (m_checksum) {
    m_checksum->AddBytes(aBytes);
  }
}

std::optional<Error>
ResponseVerifier::OnEnd(std::string_view aFrames,
                        std::string_view aChecksum) const
{
  if (!m_idsVerified) {
    return Mismatch("end before verified ids");
  }
  if (!m_streamed) {
    if (m_frames != 1) {
      return Incomplete("no response message");
    }
    return std::nullopt;
  }
  uint64_t frames = 0;
  auto [end, code] =
    std::from_chars(aFrames.data(), aFrames.data() + aFrames.size(), frames);
  if (aFrames.empty() || code != std::errc{} ||
      end != aFrames.data() + aFrames.size()) {
    return Incomplete("no frame count");
  }
  if (frames != m_frames) {
    return Incomplete(fmt::format("{} of {} frames", m_frames, frames));
  }
  if (ParseHex(aChecksum) != m_checksum->Value()) {
    return Incomplete(fmt::format(
      "checksum '{}' instead of {}", aChecksum, m_checksum->ValueText()));
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
                fmt::format("no frame for {} ms",
                            ToMilliseconds(aNow - m_lastProgress)) };
}

} // namespace wagtailbend::answers
