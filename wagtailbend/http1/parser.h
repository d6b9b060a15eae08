// Incremental parsers of HTTP/1.1 messages, based on Boost.Beast.
//
//   RequestParser parser({ .maxHeaderBytes = 16384, .maxBodyBytes = 1 << 20 });
//   ParseProgress progress = parser.Feed(bytes);   // drop progress.consumed
//   bytes if (progress.state == ParseState::kComplete) {
//     RequestMessage request = parser.TakeMessage();
//   }
//
// Stricter than Beast where two recipients could frame a message differently,
// which allows request smuggling: a transfer coding other than `chunked`, a
// transfer coding together with Content-Length, and a repeated Host header are
// errors. In responses, an invalid status and a folded line (see
// response_syntax.h) are errors as well. Trailer fields are dropped. Chunk
// extensions and trailers are limited to a multiple of the header limit and of
// the body's size.

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
  /// The header section is not complete.
  kHeader,
  /// The header section is complete, the body is not.
  kBody,
  kComplete,
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
};

struct ParseProgress
{
  ParseState state = ParseState::kHeader;
  /// Number of bytes parsed; the caller must not pass them again.
  size_t consumed = 0;

  bool operator==(const ParseProgress&) const = default;
};

/// Parses one request; create a new parser for each. Not thread-safe.
class RequestParser
{
public:
  explicit RequestParser(ParseLimits aLimits);
  ~RequestParser();
  RequestParser(const RequestParser&) = delete;
  RequestParser& operator=(const RequestParser&) = delete;

  /// Parses as much of aBytes as possible. The next call must pass the bytes
  /// that were not consumed again, followed by new ones.
  /// Precondition: every earlier call returned kHeader or kBody.
  ParseProgress Feed(std::string_view aBytes);

  /// Precondition: the state is kComplete.
  RequestMessage TakeMessage();
  /// Whether the client keeps the connection open. Precondition: the header
  /// section is complete.
  bool KeepAlive() const;
  /// Whether the client expects `100 Continue` before it sends the body.
  /// Precondition: the header section is complete.
  bool ExpectsContinue() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

/// Parses one response; create a new parser for each. Not thread-safe.
class ResponseParser
{
public:
  /// aIsHeadRequest: the request's method was HEAD, so the response has no
  /// body.
  ResponseParser(ParseLimits aLimits, bool aIsHeadRequest);
  ~ResponseParser();
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  /// See RequestParser::Feed.
  ParseProgress Feed(std::string_view aBytes);

  /// Must be called when the peer closes the connection without an error.
  /// Returns kComplete if the response is delimited by the end of the
  /// connection, else kMalformed.
  ParseState FeedEndOfStream();

  /// Precondition: the state is kComplete.
  ResponseMessage TakeMessage();
  /// Whether the connection can be reused. Precondition: the state is
  /// kComplete.
  bool KeepAlive() const;

private:
  class Impl;
  std::unique_ptr<Impl> m_impl;
};

} // namespace wagtailbend::http1
