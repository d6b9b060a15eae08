#include "wagtailbend/http1/parser.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace wagtailbend::http1 {
namespace {

constexpr ParseLimits kLimits = { 1024, 4096 };

struct Parsed
{
  ParseState state = ParseState::kHead;
  RequestMessage message;
  size_t consumed = 0;
};

/// Feeds aBytes in pieces that end at each position of aCuts.
Parsed
ParseInPieces(const std::string& aBytes, std::vector<size_t> aCuts)
{
  RequestParser parser(kLimits);
  Parsed parsed;
  aCuts.push_back(aBytes.size());
  std::string input;
  size_t given = 0;
  for (const size_t cut : aCuts) {
    if (cut <= given) {
      continue;
    }
    input += aBytes.substr(given, cut - given);
    given = cut;
    const Progress progress = parser.Feed(input);
    input.erase(0, progress.consumed);
    parsed.consumed += progress.consumed;
    parsed.state = progress.state;
    if (progress.state == ParseState::kHead ||
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

struct Case
{
  const char* name;
  std::string bytes;
  ParseState state;
};

class RequestCases : public ::testing::TestWithParam<Case>
{};

// Guards against requests that two readers would frame differently, which is
// how one request hides another.
TEST_P(RequestCases, AreAcceptedOrRejected)
{
  EXPECT_EQ(ParseInPieces(GetParam().bytes, {}).state, GetParam().state);
}

std::string
Post(const std::string& aHeaders, const std::string& aBody)
{
  return "POST /a/b HTTP/1.1\r\nHost: h\r\n" + aHeaders + "\r\n" + aBody;
}

INSTANTIATE_TEST_SUITE_P(
  Requests,
  RequestCases,
  ::testing::Values(
    Case{ "Sized",
          Post("Content-Length: 3\r\n", "abc"),
          ParseState::kComplete },
    Case{ "Chunked",
          Post("Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"),
          ParseState::kComplete },
    Case{
      "WithTrailer",
      Post("Transfer-Encoding: chunked\r\n", "1\r\na\r\n0\r\nX-T: 1\r\n\r\n"),
      ParseState::kComplete },
    Case{
      "LengthAndChunked",
      Post("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
      ParseState::kMalformed },
    Case{ "TwoLengths",
          Post("Content-Length: 3\r\nContent-Length: 4\r\n", "abcd"),
          ParseState::kMalformed },
    Case{ "UnknownCoding",
          Post("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"),
          ParseState::kMalformed },
    Case{ "CodingList",
          Post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"),
          ParseState::kMalformed },
    Case{ "BareLineFeeds",
          "GET / HTTP/1.1\nHost: h\n\n",
          ParseState::kMalformed },
    Case{ "SpaceBeforeColon",
          "GET / HTTP/1.1\r\nHost : h\r\n\r\n",
          ParseState::kMalformed },
    Case{ "TwoHosts",
          "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
          ParseState::kMalformed },
    Case{ "NegativeLength",
          Post("Content-Length: -3\r\n", "abc"),
          ParseState::kMalformed },
    Case{ "LargeHead",
          Post("X-Large: " + std::string(2000, 'x') + "\r\n", ""),
          ParseState::kHeaderTooLarge },
    Case{ "LargeBody",
          Post("Content-Length: 5000\r\n", std::string(5000, 'x')),
          ParseState::kBodyTooLarge },
    Case{ "Unfinished",
          Post("Content-Length: 3\r\n", "ab"),
          ParseState::kBody },
    Case{ "NotHttp", "hello\r\n\r\n", ParseState::kMalformed }),
  [](const auto& aInfo) { return aInfo.param.name; });

// Guards against results that depend on how the network cuts the bytes.
RC_GTEST_PROP(RequestParserTest, PiecesDoNotMatter, (std::vector<size_t> aCuts))
{
  const std::string bytes =
    Post("Transfer-Encoding: chunked\r\nX-A: 1\r\n",
         "5\r\nhello\r\n6;x=y\r\n world\r\n0\r\nX-T: 1\r\n\r\n") +
    "GET /next HTTP/1.1\r\n";
  for (size_t& cut : aCuts) {
    cut %= bytes.size() + 1;
  }
  std::sort(aCuts.begin(), aCuts.end());
  const Parsed parsed = ParseInPieces(bytes, aCuts);
  RC_ASSERT(parsed.state == ParseState::kComplete);
  RC_ASSERT(parsed.message.body == "hello world");
  RC_ASSERT(FindHeader(parsed.message.headers, "X-T") == nullptr);
  RC_ASSERT(FindHeader(parsed.message.headers, "Transfer-Encoding") == nullptr);
}

// Guards against bytes of the next request that are taken for this one's.
TEST(RequestParserTest, LeavesPipelinedBytes)
{
  const std::string first = Post("Content-Length: 2\r\n", "ab");
  const Parsed parsed = ParseInPieces(first + "GET / HTTP/1.1\r\n", {});
  EXPECT_EQ(parsed.state, ParseState::kComplete);
  EXPECT_EQ(parsed.consumed, first.size());
}

// Guards against crashes and endless loops on bytes that are no HTTP.
RC_GTEST_PROP(RequestParserTest,
              AnyBytesEndInAState,
              (const std::string& aBytes))
{
  const Parsed parsed = ParseInPieces(aBytes, { aBytes.size() / 2 });
  RC_ASSERT(parsed.consumed <= aBytes.size());
}

ParseState
FeedResponse(ResponseParser& aParser, const std::string& aBytes)
{
  return aParser.Feed(aBytes).state;
}

// Guards against a cut response that looks complete.
TEST(ResponseParserTest, CutResponsesAreNotComplete)
{
  ResponseParser sized(kLimits, false);
  EXPECT_EQ(
    FeedResponse(sized, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc"),
    ParseState::kBody);
  EXPECT_EQ(sized.FeedEnd(), ParseState::kMalformed);
  ResponseParser chunked(kLimits, false);
  EXPECT_EQ(FeedResponse(chunked,
                         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                         "3\r\nabc\r\n"),
            ParseState::kBody);
  EXPECT_EQ(chunked.FeedEnd(), ParseState::kMalformed);
}

// Guards against losing responses that end with their connection.
TEST(ResponseParserTest, ConnectionEndEndsAnUnframedResponse)
{
  ResponseParser parser(kLimits, false);
  EXPECT_EQ(FeedResponse(parser, "HTTP/1.1 200 OK\r\n\r\nabc"),
            ParseState::kBody);
  EXPECT_EQ(parser.FeedEnd(), ParseState::kComplete);
  EXPECT_FALSE(parser.KeepAlive());
  EXPECT_EQ(parser.TakeMessage().body, "abc");
}

TEST(ResponseParserTest, AnswerToHeadHasNoBody)
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
