#include "wagtailbend/http1/server.h"

#include <gtest/gtest.h>

#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

namespace wagtailbend::http1 {
namespace {

/// Keeps requests and lets the test answer them.
class HeldRequests : public RequestHandler
{
public:
  void OnRequest(RequestMessage aRequest, Responder aResponder) override
  {
    m_requests.push_back(std::move(aRequest));
    m_responders.push_back(aResponder);
    aResponder.OnGone([this] { ++m_gone; });
    if (m_answerAtOnce) {
      Answer(m_responders.size() - 1);
    }
  }

  void Answer(size_t aIndex)
  {
    ResponseMessage response;
    response.status = 200;
    response.body = m_requests[aIndex].target;
    m_responders[aIndex].Respond(response);
  }

  std::vector<RequestMessage> m_requests;
  std::vector<Responder> m_responders;
  int m_gone = 0;
  bool m_answerAtOnce = true;
};

class ServerTest : public ::testing::Test
{
protected:
  ServerTest()
  {
    ServerLimits limits;
    limits.parse = { 512, 64 };
    limits.headerTimeout = std::chrono::milliseconds(100);
    limits.idleTimeout = std::chrono::milliseconds(200);
    limits.maxHeldBytes = 1000;
    m_server.emplace(m_io, m_handler, limits);
    asio::ip::tcp::acceptor probe(
      m_io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
    m_endpoint = probe.local_endpoint();
    probe.close();
    EXPECT_TRUE(IsOk(m_server->Listen(m_endpoint)));
  }

  void Run(int aMs)
  {
    m_io.restart();
    m_io.run_for(std::chrono::milliseconds(aMs));
  }

  asio::ip::tcp::socket Connect()
  {
    asio::ip::tcp::socket socket(m_io);
    socket.connect(m_endpoint);
    return socket;
  }

  /// Sends, lets the server work, and returns what came back.
  std::string Exchange(asio::ip::tcp::socket& aSocket,
                       const std::string& aBytes,
                       int aMs = 30)
  {
    asio::write(aSocket, asio::buffer(aBytes));
    Run(aMs);
    return Received(aSocket);
  }

  static std::string Received(asio::ip::tcp::socket& aSocket)
  {
    aSocket.non_blocking(true);
    std::string bytes(4096, '\0');
    std::error_code code;
    const size_t count = aSocket.read_some(asio::buffer(bytes), code);
    bytes.resize(count);
    return code == asio::error::eof ? "(closed)" : bytes;
  }

  asio::io_context m_io;
  HeldRequests m_handler;
  std::optional<Server> m_server;
  asio::ip::tcp::endpoint m_endpoint;
};

std::string
Get(const std::string& aPath)
{
  return "GET " + aPath + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

// Guards against answers of pipelined requests in another order.
TEST_F(ServerTest, AnswersPipelinedRequestsInOrder)
{
  auto socket = Connect();
  const std::string answers = Exchange(socket, Get("/1") + Get("/2"));
  EXPECT_LT(answers.find("/1"), answers.find("/2"));
  EXPECT_EQ(m_handler.m_requests.size(), 2U);
}

// Guards against work for a client that has gone.
TEST_F(ServerTest, TellsWhenTheClientGoes)
{
  m_handler.m_answerAtOnce = false;
  auto socket = Connect();
  Exchange(socket, Get("/1"));
  EXPECT_EQ(m_server->Counts().pendingRequests, 1U);
  socket.close();
  Run(30);
  EXPECT_EQ(m_handler.m_gone, 1);
  EXPECT_EQ(m_server->Counts().pendingRequests, 0U);
  m_handler.Answer(0);
  EXPECT_EQ(m_server->ConnectionCount(), 0U);
}

struct RejectCase
{
  const char* name;
  std::string bytes;
  const char* status;
};

class Rejections
  : public ServerTest
  , public ::testing::WithParamInterface<RejectCase>
{};

// Guards against a request that is dropped without an answer.
TEST_P(Rejections, GetAnAnswerAndAClose)
{
  auto socket = Connect();
  const std::string answer = Exchange(socket, GetParam().bytes, 150);
  EXPECT_EQ(answer.substr(0, 12), std::string("HTTP/1.1 ") + GetParam().status);
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
  EXPECT_TRUE(m_handler.m_requests.empty());
}

INSTANTIATE_TEST_SUITE_P(
  Faults,
  Rejections,
  ::testing::Values(
    RejectCase{ "Malformed", "GET\r\n\r\n", "400" },
    RejectCase{ "LargeHead",
                "GET / HTTP/1.1\r\nX: " + std::string(600, 'x') + "\r\n\r\n",
                "431" },
    RejectCase{ "LargeBody",
                "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 65\r\n\r\n",
                "413" },
    RejectCase{ "SlowHead", "GET / HTTP/1.1\r\n", "408" }),
  [](const auto& aInfo) { return aInfo.param.name; });

// Guards against idle connections that are kept for ever.
TEST_F(ServerTest, ClosesIdleConnections)
{
  auto socket = Connect();
  Exchange(socket, Get("/1"));
  Run(900);
  EXPECT_EQ(m_server->ConnectionCount(), 0U);
}

// Guards against clients that reuse a connection of a daemon that stops, and
// against a pending request that is cut by the stop.
TEST_F(ServerTest, StopsWithoutCuttingARequest)
{
  m_handler.m_answerAtOnce = false;
  auto busy = Connect();
  auto idle = Connect();
  Exchange(idle, "", 20);
  Exchange(busy, Get("/1"), 20);
  m_server->AnnounceClose();
  m_server->CloseIdle();
  Run(20);
  EXPECT_EQ(Received(idle), "(closed)");
  m_handler.Answer(0);
  Run(20);
  const std::string answer = Received(busy);
  EXPECT_NE(answer.find("/1"), std::string::npos);
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

// Guards against a client that waits for permission to send its body.
TEST_F(ServerTest, InvitesAnAnnouncedBody)
{
  auto socket = Connect();
  const std::string invitation =
    Exchange(socket,
             "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
             "Content-Length: 2\r\n\r\n");
  EXPECT_EQ(invitation, "HTTP/1.1 100 Continue\r\n\r\n");
  EXPECT_NE(Exchange(socket, "ab").find("200 OK"), std::string::npos);
  EXPECT_EQ(m_handler.m_requests.at(0).body, "ab");
}

} // namespace
} // namespace wagtailbend::http1
