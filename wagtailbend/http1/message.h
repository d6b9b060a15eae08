// HTTP/1.1 messages as values, without message framing.
//
//   RequestMessage request{ .method = "GET", .target = "/a/1" };
//   SetHeader(request.headers, "Host", "shop.example");
//   std::string bytes = SerializeRequest(request);

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailbend::http1 {

struct Header
{
  std::string name;
  std::string value;

  bool operator==(const Header&) const = default;
};

/// Header fields in the order received, with the sender's spelling. Fields that
/// frame the body (Content-Length, Transfer-Encoding) are left out; the
/// serializer adds Content-Length. See ResponseMessage::bodiless for the
/// exception.
using Headers = std::vector<Header>;

struct RequestMessage
{
  std::string method;
  std::string target;
  Headers headers;
  std::string body;

  bool operator==(const RequestMessage&) const = default;
};

struct ResponseMessage
{
  int status = 0;
  std::string reason;
  Headers headers;
  std::string body;
  /// The response to a HEAD request: `Content-Length` stays in `headers` and
  /// gives the length of a body that is not sent.
  bool bodiless = false;

  bool operator==(const ResponseMessage&) const = default;
};

/// Returns whether aByte is an ASCII letter or digit. Thread-safe.
bool
IsAsciiAlphanumeric(char aByte);

/// Compares header names, ignoring ASCII case. Thread-safe.
bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

/// Returns the value of the first header with this name, or nullptr.
/// Thread-safe while no thread changes aHeaders.
const std::string*
FindHeader(const Headers& aHeaders, std::string_view aName);

/// Replaces all headers with this name by a single one.
void
SetHeader(Headers& aHeaders, std::string_view aName, std::string_view aValue);

/// Removes all headers with this name.
void
RemoveHeader(Headers& aHeaders, std::string_view aName);

/// Removes hop-by-hop and framing headers, and the headers that a `Connection`
/// header lists.
void
RemoveConnectionHeaders(Headers& aHeaders);

/// Returns the reason phrase of a status code, or "Status" if unknown.
/// Thread-safe.
std::string_view
ReasonPhrase(int aStatus);

/// Percent-encodes every byte except the unreserved characters of RFC 3986.
/// Thread-safe.
std::string
PercentEncode(std::string_view aText);

/// Serializes a request; a body is framed by `Content-Length`. Thread-safe.
std::string
SerializeRequest(const RequestMessage& aRequest);

/// Serializes a response; a body is framed by `Content-Length`. aClose adds
/// `Connection: close`. Thread-safe.
std::string
SerializeResponse(const ResponseMessage& aResponse, bool aClose);

} // namespace wagtailbend::http1
