#include "wagtailbend/http1/client_connection.h"

#include <gtest/gtest.h>

#include "wagtailbend/http1/testing/scripted_server.h"

namespace wagtailbend::http1 {
namespace {

using testing::ScriptedServer;
using After = ScriptedServer::After;

constexpr const char* kOwn =
  "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok";

class ClientConnectionTest : public ::testing::Test
{
protected:
  void Run(Duration aTime)
  {
    m_io.restart();
    m_io.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(aTime));
  }

  bool Connect()
  {
    m_connection = ClientConnection::Make(m_io, {});
    std::optional<bool> connected;
    m_connection->Connect(m_server.Endpoint(),
                          std::chrono::seconds(1),
                          std::chrono::seconds(5),
                          [&connected](bool aOk) { connected = aOk; });
    for (int i = 0; i < 100 && !connected; ++i) {
      Run(std::chrono::milliseconds(10));
    }
    return connected.value_or(false);
  }

  std::optional<ClientResult> Ask(const std::string& aId,
                                  Duration aTimeout = std::chrono::seconds(2))
  {
    std::optional<ClientResult> result;
    ClientRequest request;
    request.bytes = "GET / HTTP/1.1\r\nHost: h\r\nId: " + aId + "\r\n\r\n";
    request.idHeader = "Id";
    request.id = aId;
    request.timeout = aTimeout;
    m_connection->Send(request, [&result](ClientResult aResult) {
      result = std::move(aResult);
    });
    for (int i = 0; i < 300 && !result; ++i) {
      Run(std::chrono::milliseconds(10));
    }
    return result;
  }

  asio::io_context m_io;
  ScriptedServer m_server{ m_io };
  std::shared_ptr<ClientConnection> m_connection;
};

TEST_F(ClientConnectionTest, KeepsTheConnectionAfterAWholeAnswer)
{
  m_server.Reply(kOwn);
  m_server.Reply(kOwn);
  ASSERT_TRUE(Connect());
  for (const char* id : { "a", "b" }) {
    const auto result = Ask(id);
    ASSERT_TRUE(result && std::holds_alternative<Answer>(*result));
    EXPECT_EQ(std::get<Answer>(*result).response.body, "ok");
    EXPECT_TRUE(m_connection->IsReady());
  }
  EXPECT_EQ(m_server.Accepted(), 1U);
}

// Guards against another request's answer that arrives late, in the place of
// the expected one.
TEST_F(ClientConnectionTest, SkipsAnswersOfOtherRequests)
{
  m_server.Reply(
    "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 5\r\n\r\nother" +
    std::string(kOwn));
  ASSERT_TRUE(Connect());
  const auto result = Ask("mine");
  ASSERT_TRUE(result && std::holds_alternative<Answer>(*result));
  EXPECT_EQ(std::get<Answer>(*result).response.body, "ok");
  EXPECT_EQ(std::get<Answer>(*result).foreign, 1U);
}

// Guards against extra bytes behind an answer that the next request would get.
TEST_F(ClientConnectionTest, DropsTheConnectionOnBytesBehindAnAnswer)
{
  m_server.Reply(std::string(kOwn) + "HTTP/1.1 200 OK\r\n");
  ASSERT_TRUE(Connect());
  const auto result = Ask("a");
  ASSERT_TRUE(result && std::holds_alternative<Answer>(*result));
  EXPECT_FALSE(m_connection->IsReady());
}

// Guards against a use of a connection on which an unasked answer came while
// it was idle.
TEST_F(ClientConnectionTest, DropsAnIdleConnectionOnUnaskedBytes)
{
  ASSERT_TRUE(Connect());
  bool closed = false;
  m_connection->OnIdleClosed([&closed] { closed = true; });
  // The script answers a request that the test sends past the connection.
  m_server.Reply(std::string(kOwn));
  const auto result = Ask("a");
  ASSERT_TRUE(result);
  m_connection->OnIdleClosed([&closed] { closed = true; });
  m_server.Stop();
  Run(std::chrono::milliseconds(50));
  EXPECT_TRUE(closed);
  EXPECT_FALSE(m_connection->IsReady());
}

TEST_F(ClientConnectionTest, TakesAnAnswerThatEndsWithItsConnection)
{
  m_server.Reply("HTTP/1.1 200 OK\r\nId: {id}\r\n\r\nwhole", After::kClose);
  ASSERT_TRUE(Connect());
  const auto result = Ask("a");
  ASSERT_TRUE(result && std::holds_alternative<Answer>(*result));
  EXPECT_EQ(std::get<Answer>(*result).response.body, "whole");
  EXPECT_FALSE(m_connection->IsReady());
}

struct LostCase
{
  const char* name;
  std::string bytes;
  After after;
  bool partial;
};

class LostAnswers
  : public ClientConnectionTest
  , public ::testing::WithParamInterface<LostCase>
{};

// Guards against a broken answer that is passed on, and against the claim that
// a request was not sent.
TEST_P(LostAnswers, EndWithoutAnAnswer)
{
  m_server.Reply(GetParam().bytes, GetParam().after);
  ASSERT_TRUE(Connect());
  const auto result = Ask("a", std::chrono::milliseconds(200));
  ASSERT_TRUE(result && std::holds_alternative<NoAnswer>(*result));
  EXPECT_TRUE(std::get<NoAnswer>(*result).sent);
  EXPECT_EQ(std::get<NoAnswer>(*result).partial, GetParam().partial);
  EXPECT_FALSE(m_connection->IsReady());
}

INSTANTIATE_TEST_SUITE_P(
  Faults,
  LostAnswers,
  ::testing::Values(
    LostCase{ "Silence", "", After::kKeepOpen, false },
    LostCase{ "Reset", "", After::kReset, false },
    LostCase{ "Closed", "", After::kClose, false },
    LostCase{ "CutBody",
              "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 9\r\n\r\nabc",
              After::kClose,
              true },
    LostCase{ "UnframedReset",
              "HTTP/1.1 200 OK\r\nId: {id}\r\n\r\nabc",
              After::kReset,
              true },
    LostCase{ "NoHttp", "garbage\r\n\r\n", After::kKeepOpen, true },
    LostCase{ "ForeignThenSilence",
              "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 0\r\n\r\n",
              After::kKeepOpen,
              false }),
  [](const auto& aInfo) { return aInfo.param.name; });

// Guards against a request whose connection failed that counts as sent.
TEST_F(ClientConnectionTest, ReportsARefusedConnection)
{
  m_server.Stop();
  EXPECT_FALSE(Connect());
}

} // namespace
} // namespace wagtailbend::http1
