#include "wagtailbend/http1/parser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailbend::http1 {
namespace {

constexpr ParseLimits kLimits = { 1024, 4096 };

struct ParseOutcome
{
  ParseState state = ParseState::kHeader;
  RequestMessage message;
  size_t consumed = 0;
};

/// Feeds aBytes in pieces that end at the positions in aCutPositions.
ParseOutcome
ParseInPieces(const std::string& aBytes, std::vector<size_t> aCutPositions)
{
  RequestParser parser(kLimits);
  ParseOutcome parsed;
  aCutPositions.push_back(aBytes.size());
  std::string input;
  size_t fedBytes = 0;
  for (const size_t cut : aCutPositions) {
    if (cut <= fedBytes) {
      continue;
    }
    input += aBytes.substr(fedBytes, cut - fedBytes);
    fedBytes = cut;
    const ParseProgress progress = parser.Feed(input);
    input.erase(0, progress.consumed);
    parsed.consumed += progress.consumed;
    parsed.state = progress.state;
    if (progress.state == ParseState::kHeader ||
        progress.state == ParseState::kBody) {
      continue;
    }
    break;
  }
  if (parsed.state == ParseState::kComplete) {
    parsed.message = parser.TakeMessage();
  }
  return parsed;
}

struct FramingCase
{
  const char* name;
  std::string bytes;
  ParseState state;
};

class RequestCases : public ::testing::TestWithParam<FramingCase>
{};

// Guards against request smuggling, where two recipients frame a request
// differently, and against oversized requests.
TEST_P(RequestCases, AreAcceptedOrRejected)
{
  EXPECT_EQ(ParseInPieces(GetParam().bytes, {}).state, GetParam().state);
}

std::string
Post(const std::string& aHeaders, const std::string& aBody)
{
  return "POST /a/b HTTP/1.1\r\nHost: h\r\n" + aHeaders + "\r\n" + aBody;
}

std::string
Repeat(const std::string& aText, int aTimes)
{
  std::string repeated;
  for (int i = 0; i < aTimes; ++i) {
    repeated += aText;
  }
  return repeated;
}

INSTANTIATE_TEST_SUITE_P(
  Requests,
  RequestCases,
  ::testing::Values(
    FramingCase{ "Sized",
                 Post("Content-Length: 3\r\n", "abc"),
                 ParseState::kComplete },
    FramingCase{
      "Chunked",
      Post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"),
      ParseState::kComplete },
    FramingCase{
      "WithTrailer",
      Post("Transfer-Encoding: chunked\r\n", "1\r\na\r\n0\r\nX-T: 1\r\n\r\n"),
      ParseState::kComplete },
    FramingCase{
      "LengthAndChunked",
      Post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
      ParseState::kMalformed },
    FramingCase{ "TwoLengths",
                 Post("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"),
                 ParseState::kMalformed },
    FramingCase{ "UnknownCoding",
                 Post("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"),
                 ParseState::kMalformed },
    FramingCase{ "CodingList",
                 Post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"),
                 ParseState::kMalformed },
    FramingCase{ "BareLineFeeds",
                 "GET / HTTP/1.1\nHost: h\n\n",
                 ParseState::kMalformed },
    FramingCase{ "SpaceBeforeColon",
                 "GET / HTTP/1.1\r\nHost : h\r\n\r\n",
                 ParseState::kMalformed },
    FramingCase{ "TwoHosts",
                 "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
                 ParseState::kMalformed },
    FramingCase{ "NegativeLength",
                 Post("Content-Length: -3\r\n", "abc"),
                 ParseState::kMalformed },
    FramingCase{ "LargeHead",
                 Post("X-Large: " + std::string(2000, 'x') + "\r\n", ""),
                 ParseState::kHeaderTooLarge },
    FramingCase{ "LargeBody",
                 Post("Content-Length: 5000\r\n", std::string(5000, 'x')),
                 ParseState::kBodyTooLarge },
    FramingCase{
      "LongChunkExtension",
      Post("Transfer-Encoding: chunked\r\n", "1;" + std::string(2000, 'x')),
      ParseState::kMalformed },
    FramingCase{ "LongTrailer",
                 Post("Transfer-Encoding: chunked\r\n",
                      "0\r\nX: " + std::string(2000, 'x')),
                 ParseState::kMalformed },
    FramingCase{ "ManyChunkExtensions",
                 Post("Transfer-Encoding: chunked\r\n",
                      Repeat("1;" + std::string(200, 'x') + "\r\nx\r\n", 20)),
                 ParseState::kMalformed },
    FramingCase{ "ChunksOfOneByte",
                 Post("Transfer-Encoding: chunked\r\n",
                      Repeat("1\r\nx\r\n", 1000) + "0\r\n\r\n"),
                 ParseState::kComplete },
    FramingCase{ "Unfinished",
                 Post("Content-Length: 3\r\n", "ab"),
                 ParseState::kBody },
    FramingCase{ "NotHttp", "hello\r\n\r\n", ParseState::kMalformed }),
  [](const auto& aInfo) { return aInfo.param.name; });

// Guards against results that depend on how TCP segments the bytes.
RC_GTEST_PROP(RequestParserTest,
              ResultIsIndependentOfSegmentation,
              (std::vector<size_t> aCutPositions))
{
  const std::string bytes =
    Post("Transfer-Encoding: chunked\r\nX-A: 1\r\n",
         "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nX-T: 1\r\n\r\n") +
    "GET /next HTTP/1.1\r\n";
  for (size_t& cut : aCutPositions) {
    cut %= bytes.size() + 1;
  }
  std::sort(aCutPositions.begin(), aCutPositions.end());
  const ParseOutcome parsed = ParseInPieces(bytes, aCutPositions);
  RC_ASSERT(parsed.state == ParseState::kComplete);
  RC_ASSERT(parsed.message.body == "hello world");
  RC_ASSERT(FindHeader(parsed.message.headers, "X-T") == nullptr);
  RC_ASSERT(FindHeader(parsed.message.headers, "Transfer-Encoding") == nullptr);
}

// Guards against consuming bytes of the next pipelined request.
TEST(RequestParserTest, LeavesPipelinedBytes)
{
  const std::string first = Post("Content-Length: 2\r\n", "ab");
  const ParseOutcome parsed = ParseInPieces(first + "GET / HTTP/1.1\r\n", {});
  EXPECT_EQ(parsed.state, ParseState::kComplete);
  EXPECT_EQ(parsed.consumed, first.size());
}

// Guards against crashes and endless loops on input that is not HTTP.
RC_GTEST_PROP(RequestParserTest,
              HandlesArbitraryBytes,
              (const std::string& aBytes))
{
  const ParseOutcome parsed = ParseInPieces(aBytes, { aBytes.size() / 2 });
  RC_ASSERT(parsed.consumed <= aBytes.size());
}

ParseState
FeedResponse(ResponseParser& aParser, const std::string& aBytes)
{
  return aParser.Feed(aBytes).state;
}

// Guards against a truncated response that is reported as complete.
TEST(ResponseParserTest, TruncatedResponsesAreMalformed)
{
  ResponseParser sized(kLimits, false);
  EXPECT_EQ(
    FeedResponse(sized, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"),
    ParseState::kBody);
  EXPECT_EQ(sized.FeedEndOfStream(), ParseState::kMalformed);
  ResponseParser chunked(kLimits, false);
  EXPECT_EQ(FeedResponse(chunked,
                         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "3\r\nabc\r\n"),
            ParseState::kBody);
  EXPECT_EQ(chunked.FeedEndOfStream(), ParseState::kMalformed);
}

// Guards against rejecting responses that are delimited by the end of the
// connection.
TEST(ResponseParserTest, ConnectionEndCompletesAnUnframedResponse)
{
  ResponseParser parser(kLimits, false);
  EXPECT_EQ(FeedResponse(parser, "HTTP/1.1 200 OK\r\n\r\nabc"),
            ParseState::kBody);
  EXPECT_EQ(parser.FeedEndOfStream(), ParseState::kComplete);
  EXPECT_FALSE(parser.KeepAlive());
  EXPECT_EQ(parser.TakeMessage().body, "abc");
}

// Guards against waiting for the body that the Content-Length of a response to
// a HEAD request announces.
TEST(ResponseParserTest, HeadResponseHasNoBody)
{
  ResponseParser parser(kLimits, true);
  EXPECT_EQ(
    FeedResponse(parser, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"),
    ParseState::kComplete);
  const ResponseMessage message = parser.TakeMessage();
  EXPECT_TRUE(message.bodiless);
  EXPECT_EQ(*FindHeader(message.headers, "Content-Length"), "9");
}

} // namespace
} // namespace wagtailbend::http1
