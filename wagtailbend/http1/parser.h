// Incremental parsers of HTTP/1.1 messages, on Boost.Beast's parser.
//
//   RequestParser parser({ .maxHeaderBytes = 16384, .maxBodyBytes = 1 << 20 });
//   Progress progress = parser.Feed(bytes);   // consume progress.consumed
//   if (progress.state == ParseState::kComplete) {
//     RequestMessage request = parser.TakeMessage();
//   }
//
// Stricter than Beast where two readers could frame a message differently: any
// transfer coding other than `chunked`, a coding together with a length, and a
// repeated Host header are errors. Trailers are dropped.

#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "wagtailbend/http1/message.h"

namespace wagtailbend::http1 {

struct ParseLimits
{
  uint32_t maxHeaderBytes = 16 * 1024;
  uint64_t maxBodyBytes = 64UL * 1024 * 1024;

  bool operator==(const ParseLimits&) const = default;
};

enum class ParseState : uint8_t
{
  /// The head is not complete.
  kHead,
  /// The head is complete, the body is not.
  kBody,
  kComplete,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
};

struct Progress
{
  ParseState state = ParseState::kHead;
  /// Bytes that the caller must not pass again.
  size_t consumed = 0;

  bool operator==(const Progress&) const = default;
};

/// Parses one request; make a new one for each. Not thread-safe.
class RequestParser
{
public:
  explicit RequestParser(ParseLimits aLimits);
  ~RequestParser();
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  /// Parses as much as possible of aBytes. The bytes that are not consumed
  /// must stand at the start of the next call.
  /// Precondition: no earlier call returned a state after kBody.
  Progress Feed(std::string_view aBytes);

  /// Precondition: the state is kComplete.
  RequestMessage TakeMessage();
  /// The sender keeps the connection open. Precondition: the head is complete.
  bool KeepAlive() const;
  /// The sender waits for `100 Continue`. Precondition: the head is complete.
  bool ExpectsContinue() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Parses one response; make a new one for each. Not thread-safe.
class ResponseParser
{
public:
  /// aToHead: the request was a HEAD, so that the response has no body.
  ResponseParser(ParseLimits aLimits, bool aToHead);
  ~ResponseParser();
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  /// As RequestParser::Feed.
  Progress Feed(std::string_view aBytes);

  /// The peer has ended the connection in order. Returns kComplete if the end
  /// of the connection is the end of the response, else kMalformed.
  ParseState FeedEnd();

  /// Precondition: the state is kComplete.
  ResponseMessage TakeMessage();
  /// The connection may carry another response. Precondition: the state is
  /// kComplete.
  bool KeepAlive() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace wagtailbend::http1
