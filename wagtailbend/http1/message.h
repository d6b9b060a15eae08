// HTTP/1.1 messages as values, without their framing.
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

/// In the order of arrival, with the sender's spelling. Holds no header that
/// frames the body (Content-Length, Transfer-Encoding): the serializer adds
/// them.
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
  /// The answer to a HEAD request: `Content-Length` stays among the headers
  /// and describes a body that is not sent.
  bool bodiless = false;

  bool operator==(const ResponseMessage&) const = default;
};

/// Compares header names. Thread-safe.
bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight);

/// Returns the value of the first header of that name, or nullptr. Thread-safe
/// for const use.
const std::string*
FindHeader(const Headers& aHeaders, std::string_view aName);

/// Replaces all headers of that name by one.
void
SetHeader(Headers& aHeaders, std::string_view aName, std::string_view aValue);

/// Removes all headers of that name.
void
RemoveHeader(Headers& aHeaders, std::string_view aName);

/// Removes the headers that concern one connection only, and those that the
/// `Connection` header names.
void
RemoveConnectionHeaders(Headers& aHeaders);

/// Returns the reason phrase of a status code, or "Status". Thread-safe.
std::string_view
ReasonOf(int aStatus);

/// Returns the bytes of a request with a sized body. Thread-safe.
std::string
SerializeRequest(const RequestMessage& aRequest);

/// Returns the bytes of a response with a sized body. aClose adds
/// `Connection: close`. Thread-safe.
std::string
SerializeResponse(const ResponseMessage& aResponse, bool aClose);

} // namespace wagtailbend::http1
