#include "wagtailbend/http1/message.h"

#include <gtest/gtest.h>

namespace wagtailbend::http1 {
namespace {

// Guards against forwarding hop-by-hop headers, including those that only the
// Connection header lists.
TEST(MessageTest, RemovesConnectionHeaders)
{
  Headers headers = { { "Host", "a" },       { "connection", "close, X-Hop" },
                      { "x-hop", "1" },      { "Keep-Alive", "timeout=5" },
                      { "TE", "trailers" },  { "Transfer-Encoding", "chunked" },
                      { "X-Stays", "here" }, { "Content-Length", "3" } };
  RemoveConnectionHeaders(headers);
  EXPECT_EQ(headers, (Headers{ { "Host", "a" }, { "X-Stays", "here" } }));
}

// Guards against messages without Content-Length, whose body length the
// receiver cannot determine.
TEST(MessageTest, SerializedMessagesHaveContentLength)
{
  RequestMessage request{ "POST", "/a/", { { "Host", "h" } }, "" };
  EXPECT_EQ(SerializeRequest(request),
            "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  ResponseMessage response;
  response.status = 503;
  EXPECT_EQ(SerializeResponse(response, true),
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
            "Connection: close\r\n\r\n");
}

// Guards against a body in the response to a HEAD request, which the client
// would take for the next response.
TEST(MessageTest, HeadResponseHasContentLengthAndNoBody)
{
  ResponseMessage response;
  response.status = 200;
  response.reason = "OK";
  response.headers = { { "Content-Length", "5" } };
  response.bodiless = true;
  EXPECT_EQ(SerializeResponse(response, false),
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
}

// Guards against missing or duplicating a header that is spelled in another
// case.
TEST(MessageTest, HeaderNamesAreCaseInsensitive)
{
  Headers headers = { { "request-id", "7" }, { "Request-ID", "8" } };
  ASSERT_NE(FindHeader(headers, "REQUEST-ID"), nullptr);
  EXPECT_EQ(*FindHeader(headers, "REQUEST-ID"), "7");
  SetHeader(headers, "Request-Id", "9");
  EXPECT_EQ(headers, (Headers{ { "Request-Id", "9" } }));
}

// Guards against keys that change the target of a request.
TEST(MessageTest, PercentEncodesAllButUnreservedCharacters)
{
  EXPECT_EQ(PercentEncode(std::string("aZ09-_.~ /?&%+\xe9\0", 16)),
            "aZ09-_.~%20%2F%3F%26%25%2B%E9%00");
}

} // namespace
} // namespace wagtailbend::http1
