// Beast includes Boost.Asio, which cannot be combined with standalone Asio in
// one source file. This file must therefore not include socket code.

#include "wagtailbend/http1/parser.h"

#include <cstdint>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include "wagtailbend/http1/response_syntax.h"

namespace wagtailbend::http1 {
namespace {

// Limit on the bytes that frame a body, per byte of the body. Chunks of one
// byte need six.
constexpr uint64_t kMaxFramingBytesPerBodyByte = 8;

namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCode = beast::error_code;

std::string_view
ToStringView(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

void
SetError(ErrorCode& aCode, http::error aError)
{
  aCode = http::make_error_code(aError);
}

ParseState
ToParseState(const ErrorCode& aCode)
{
  if (aCode == http::make_error_code(http::error::header_limit) ||
      aCode == http::make_error_code(http::error::buffer_overflow)) {
    return ParseState::kHeaderTooLarge;
  }
  if (aCode == http::make_error_code(http::error::body_limit)) {
    return ParseState::kBodyTooLarge;
  }
  return ParseState::kMalformed;
}

/// Collects the headers and the body of a request or response.
template<bool isRequest>
class MessageCollector : public http::basic_parser<isRequest>
{
public:
  explicit MessageCollector(ParseLimits aLimits)
    : m_limits(aLimits)
  {
    this->header_limit(aLimits.maxHeaderBytes);
    this->body_limit(aLimits.maxBodyBytes);
    // Each call of put parses either framing and headers or a part of the body.
    this->eager(false);
  }

  ParseProgress FeedBytes(std::string_view aBytes)
  {
    ParseProgress progress = ParseBytes(aBytes);
    m_consumedBytes += progress.consumed;
    const size_t unparsedBytes = aBytes.size() - progress.consumed;
    if (progress.state == ParseState::kBody &&
        (unparsedBytes > m_limits.maxHeaderBytes || IsFramingTooLarge())) {
      progress.state = ParseState::kMalformed;
    }
    return progress;
  }

  ParseState State() const
  {
    if (this->is_done()) {
      return ParseState::kComplete;
    }
    return this->is_header_done() ? ParseState::kBody : ParseState::kHeader;
  }

  Headers m_headers;
  std::string m_body;
  bool m_expectsContinue = false;

protected:
  bool IsInHeader() const { return !m_headerDone; }

private:
  /// Beast limits the header section and the body, but not chunk extensions
  /// and trailers.
  bool IsFramingTooLarge() const
  {
    return m_consumedBytes - m_body.size() >
           2 * uint64_t{ m_limits.maxHeaderBytes } +
             kMaxFramingBytesPerBodyByte * m_body.size();
  }

  ParseProgress ParseBytes(std::string_view aBytes)
  {
    ParseProgress progress;
    ErrorCode code;
    while (progress.consumed < aBytes.size() && !this->is_done()) {
      const std::string_view rest = aBytes.substr(progress.consumed);
      const size_t bodyBytes = m_body.size();
      const size_t parsedBytes =
        this->put(boost::asio::buffer(rest.data(), rest.size()), code);
      progress.consumed += parsedBytes;
      if (!isRequest && m_body.size() == bodyBytes &&
          HasFoldedLine(rest.substr(0, parsedBytes))) {
        progress.state = ParseState::kMalformed;
        return progress;
      }
      if (code == http::make_error_code(http::error::need_more)) {
        code = {};
        if (parsedBytes == 0) {
          break;
        }
        continue;
      }
      if (code) {
        progress.state = ToParseState(code);
        return progress;
      }
    }
    progress.state = State();
    return progress;
  }

  void on_field_impl(http::field aField,
                     beast::string_view aName,
                     beast::string_view aValue,
                     ErrorCode& aCode) override
  {
    if (m_headerDone) {
      return;
    }
    if (aField == http::field::transfer_encoding) {
      m_hasTransferCoding = true;
      if (!EqualsIgnoreCase(ToStringView(aValue), "chunked")) {
        SetError(aCode, http::error::bad_transfer_encoding);
      }
    }
    m_hasContentLength =
      m_hasContentLength || aField == http::field::content_length;
    if (m_hasContentLength && m_hasTransferCoding) {
      SetError(aCode, http::error::bad_transfer_encoding);
    }
    if (aField == http::field::host && std::exchange(m_hasHost, true)) {
      SetError(aCode, http::error::bad_value);
    }
    if (aField == http::field::expect &&
        EqualsIgnoreCase(ToStringView(aValue), "100-continue")) {
      m_expectsContinue = true;
    }
    m_headers.push_back(
      { std::string(ToStringView(aName)), std::string(ToStringView(aValue)) });
  }

  void on_header_impl(ErrorCode& aCode) override
  {
    aCode = {};
    m_headerDone = true;
  }

  void on_body_init_impl(const boost::optional<std::uint64_t>& /*aLength*/,
                         ErrorCode& aCode) override
  {
    aCode = {};
  }

  std::size_t on_body_impl(beast::string_view aBody, ErrorCode& aCode) override
  {
    aCode = {};
    m_body.append(aBody.data(), aBody.size());
    return aBody.size();
  }

  void on_chunk_header_impl(std::uint64_t /*aSize*/,
                            beast::string_view /*aExtensions*/,
                            ErrorCode& aCode) override
  {
    aCode = {};
  }

  std::size_t on_chunk_body_impl(std::uint64_t /*aRemain*/,
                                 beast::string_view aBody,
                                 ErrorCode& aCode) override
  {
    aCode = {};
    m_body.append(aBody.data(), aBody.size());
    return aBody.size();
  }

  void on_finish_impl(ErrorCode& aCode) override { aCode = {}; }

  const ParseLimits m_limits;
  uint64_t m_consumedBytes = 0;
  bool m_headerDone = false;
  bool m_hasTransferCoding = false;
  bool m_hasContentLength = false;
  bool m_hasHost = false;
};

} // namespace

class RequestParser::Impl : public MessageCollector<true>
{
public:
  using MessageCollector::MessageCollector;

  std::string m_method;
  std::string m_target;

private:
  void on_request_impl(http::verb /*aVerb*/,
                       beast::string_view aMethod,
                       beast::string_view aTarget,
                       int /*aVersion*/,
                       ErrorCode& aCode) override
  {
    aCode = {};
    m_method = ToStringView(aMethod);
    m_target = ToStringView(aTarget);
  }

  void on_response_impl(int, beast::string_view, int, ErrorCode&) override {}
};

RequestParser::RequestParser(ParseLimits aLimits)
  : m_impl(std::make_unique<Impl>(aLimits))
{
}

RequestParser::~RequestParser() = default;

ParseProgress
RequestParser::Feed(std::string_view aBytes)
{
  return m_impl->FeedBytes(aBytes);
}

RequestMessage
RequestParser::TakeMessage()
{
  RequestMessage message{ std::move(m_impl->m_method),
                          std::move(m_impl->m_target),
                          std::move(m_impl->m_headers),
                          std::move(m_impl->m_body) };
  RemoveHeader(message.headers, "Content-Length");
  RemoveHeader(message.headers, "Transfer-Encoding");
  return message;
}

bool
RequestParser::KeepAlive() const
{
  return m_impl->keep_alive();
}

bool
RequestParser::ExpectsContinue() const
{
  return m_impl->m_expectsContinue;
}

class ResponseParser::Impl : public MessageCollector<false>
{
public:
  Impl(ParseLimits aLimits, bool aIsHeadRequest)
    : MessageCollector(aLimits)
    , m_isHeadRequest(aIsHeadRequest)
  {
    skip(aIsHeadRequest);
  }

  int m_status = 0;
  std::string m_reason;
  const bool m_isHeadRequest;

private:
  void on_request_impl(http::verb,
                       beast::string_view,
                       beast::string_view,
                       int,
                       ErrorCode&) override
  {
  }

  void on_response_impl(int aStatus,
                        beast::string_view aReason,
                        int /*aVersion*/,
                        ErrorCode& aCode) override
  {
    aCode = {};
    if (!IsStatusCode(aStatus)) {
      SetError(aCode, http::error::bad_status);
    }
    m_status = aStatus;
    m_reason = ToStringView(aReason);
  }
};

ResponseParser::ResponseParser(ParseLimits aLimits, bool aIsHeadRequest)
  : m_impl(std::make_unique<Impl>(aLimits, aIsHeadRequest))
{
}

ResponseParser::~ResponseParser() = default;

ParseProgress
ResponseParser::Feed(std::string_view aBytes)
{
  return m_impl->FeedBytes(aBytes);
}

ParseState
ResponseParser::FeedEndOfStream()
{
  if (m_impl->State() != ParseState::kBody || !m_impl->need_eof()) {
    return ParseState::kMalformed;
  }
  ErrorCode code;
  m_impl->put_eof(code);
  return code ? ParseState::kMalformed : ParseState::kComplete;
}

ResponseMessage
ResponseParser::TakeMessage()
{
  ResponseMessage message;
  message.status = m_impl->m_status;
  message.reason = std::move(m_impl->m_reason);
  message.headers = std::move(m_impl->m_headers);
  message.body = std::move(m_impl->m_body);
  message.bodiless = m_impl->m_isHeadRequest;
  if (!message.bodiless) {
    RemoveHeader(message.headers, "Content-Length");
  }
  RemoveHeader(message.headers, "Transfer-Encoding");
  return message;
}

bool
ResponseParser::KeepAlive() const
{
  return m_impl->keep_alive() && !m_impl->need_eof();
}

} // namespace wagtailbend::http1
