// Targets in trouble whose bytes are no response.

#include <optional>

#include <gtest/gtest.h>

#include "wagtailbend/http1/client_connection.h"
#include "wagtailbend/http1/parser.h"
#include "wagtailbend/http1/testing/broken_responses.h"
#include "wagtailbend/http1/testing/scripted_server.h"

namespace wagtailbend::http1 {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::BrokenResponse;
using testing::ScriptedServer;

class BrokenResponseTest : public ::testing::TestWithParam<BrokenResponse>
{
protected:
  std::optional<ClientResult> Exchange(const std::string& aResponse,
                                       ScriptedServer::After aAfter)
  {
    m_server.AddResponse(aResponse, aAfter);
    std::optional<ClientResult> result;
    m_connection = ClientConnection::Make(m_io, {});
    m_connection->Connect(
      m_server.Endpoint(), seconds(1), seconds(5), [&](bool aConnected) {
        ASSERT_TRUE(aConnected);
        ClientRequest request;
        request.bytes = "GET / HTTP/1.1\r\nHost: h\r\nId: 7\r\n\r\n";
        request.idHeader = "Id";
        request.id = "7";
        request.timeout = seconds(2);
        m_connection->Send(
          request, [&](ClientResult aResult) { result = std::move(aResult); });
      });
    for (int i = 0; i < 300 && !result; ++i) {
      m_io.restart();
      m_io.run_for(milliseconds(10));
    }
    return result;
  }

  asio::io_context m_io;
  ScriptedServer m_server{ m_io };
  std::shared_ptr<ClientConnection> m_connection;
};

// Guards against passing on a broken response of a target as a response.
TEST_P(BrokenResponseTest, IsNoResponse)
{
  for (const auto after :
       { ScriptedServer::After::kKeepOpen, ScriptedServer::After::kClose }) {
    const auto result = Exchange(GetParam().bytes, after);
    ASSERT_TRUE(result);
    ASSERT_TRUE(std::holds_alternative<NoResponse>(*result));
    const auto& failure = std::get<NoResponse>(*result);
    EXPECT_EQ(failure.reason, FailureReason::kMalformedResponse);
    EXPECT_TRUE(failure.requestSent);
    EXPECT_FALSE(m_connection->IsReady());
  }
}

// Guards against a result that depends on how TCP segments the bytes.
TEST_P(BrokenResponseTest, IsMalformedIfBytesArriveOneByOne)
{
  auto parser = std::make_unique<ResponseParser>(ParseLimits{}, false);
  ParseState state = ParseState::kHeader;
  std::string input;
  for (const char byte : GetParam().bytes) {
    input += byte;
    const ParseProgress progress = parser->Feed(input);
    input.erase(0, progress.consumed);
    state = progress.state;
    if (state == ParseState::kMalformed) {
      break;
    }
    if (state == ParseState::kComplete &&
        parser->TakeMessage().status / 100 == 1) {
      parser = std::make_unique<ResponseParser>(ParseLimits{}, false);
    }
  }
  EXPECT_EQ(state, ParseState::kMalformed);
}

constexpr auto kNameOf = [](const auto& aInfo) { return aInfo.param.name; };

INSTANTIATE_TEST_SUITE_P(Statuses,
                         BrokenResponseTest,
                         ::testing::ValuesIn(testing::InvalidStatuses()),
                         kNameOf);

INSTANTIATE_TEST_SUITE_P(HeaderLines,
                         BrokenResponseTest,
                         ::testing::ValuesIn(testing::InvalidHeaderLines()),
                         kNameOf);

struct ValidResponseCase
{
  const char* name;
  std::string bytes;
  int status;
  std::string body;
};

class ValidResponseTest : public ::testing::TestWithParam<ValidResponseCase>
{};

// Guards against rejecting responses that are unusual but valid.
TEST_P(ValidResponseTest, IsComplete)
{
  const ValidResponseCase& valid = GetParam();
  for (size_t cut = 1; cut <= valid.bytes.size(); ++cut) {
    ResponseParser parser({}, false);
    std::string input = valid.bytes.substr(0, cut);
    ParseProgress progress = parser.Feed(input);
    input = valid.bytes.substr(progress.consumed);
    if (!input.empty()) {
      progress = parser.Feed(input);
    }
    ASSERT_EQ(progress.state, ParseState::kComplete) << cut;
    const ResponseMessage message = parser.TakeMessage();
    EXPECT_EQ(message.status, valid.status) << cut;
    EXPECT_EQ(message.body, valid.body) << cut;
  }
}

INSTANTIATE_TEST_SUITE_P(
  Table,
  ValidResponseTest,
  ::testing::Values(
    ValidResponseCase{ "LowestStatus", "HTTP/1.1 100 C\r\n\r\n", 100, "" },
    ValidResponseCase{ "HighestStatus",
                       "HTTP/1.1 599 X\r\nContent-Length: 1\r\n\r\na",
                       599,
                       "a" },
    ValidResponseCase{ "NoReason",
                       "HTTP/1.1 200 \r\nContent-Length: 1\r\n\r\na",
                       200,
                       "a" },
    ValidResponseCase{ "TabAndNonAsciiInValue",
                       "HTTP/1.1 200 OK\r\nA:\tx \ty\xe9\t\r\n"
                       "Content-Length: 1\r\n\r\na",
                       200,
                       "a" },
    ValidResponseCase{ "BodyThatBeginsWithABlank",
                       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n a",
                       200,
                       " a" },
    ValidResponseCase{ "BodyWithAFoldedLine",
                       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\na\r\n b",
                       200,
                       "a\r\n b" },
    ValidResponseCase{ "ChunksThatBeginWithABlank",
                       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "1\r\n \r\n4;x=y\r\n\r\n a\r\n0\r\nX: y\r\n\r\n",
                       200,
                       " \r\n a" }),
  [](const auto& aInfo) { return aInfo.param.name; });

} // namespace
} // namespace wagtailbend::http1
