#include "wagtailbend/http1/server.h"

#include <gtest/gtest.h>

#include <asio/connect.hpp>
#include <asio/read.hpp>
#include <asio/write.hpp>

namespace wagtailbend::http1 {
namespace {

// Longer than what the kernel buffers.
constexpr size_t kLongResponseBytes = 16UL * 1024 * 1024;
constexpr const char* kLongPath = "/long";

/// Records requests; responds at once or when the test calls Respond.
class RecordingHandler : public RequestHandler
{
public:
  void OnRequest(RequestMessage aRequest, Responder aResponder) override
  {
    m_requests.push_back(std::move(aRequest));
    m_responders.push_back(aResponder);
    aResponder.SetDisconnectHandler([this] { ++m_disconnects; });
    if (m_respondAtOnce) {
      Respond(m_responders.size() - 1);
    }
  }

  void Respond(size_t aIndex)
  {
    ResponseMessage response;
    response.status = 200;
    response.body = m_requests[aIndex].target;
    if (response.body == kLongPath) {
      response.body.resize(kLongResponseBytes);
    }
    m_responders[aIndex].Respond(response);
  }

  std::vector<RequestMessage> m_requests;
  std::vector<Responder> m_responders;
  int m_disconnects = 0;
  bool m_respondAtOnce = true;
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
    limits.maxBufferedBytes = 1000;
    limits.shortRequestBytes = 0;
    limits.maxUnsentBytes = 5 * kLongResponseBytes / 2;
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

  /// Sends aBytes, runs the server for aMs, and returns the bytes received.
  std::string Exchange(asio::ip::tcp::socket& aSocket,
                       const std::string& aBytes,
                       int aMs = 30)
  {
    asio::write(aSocket, asio::buffer(aBytes));
    Run(aMs);
    return ReadAvailable(aSocket);
  }

  static std::string ReadAvailable(asio::ip::tcp::socket& aSocket)
  {
    aSocket.non_blocking(true);
    std::string bytes(4096, '\0');
    std::error_code code;
    const size_t count = aSocket.read_some(asio::buffer(bytes), code);
    bytes.resize(count);
    return code == asio::error::eof ? "(closed)" : bytes;
  }

  asio::io_context m_io;
  RecordingHandler m_handler;
  std::optional<Server> m_server;
  asio::ip::tcp::endpoint m_endpoint;
};

std::string
Get(const std::string& aPath)
{
  return "GET " + aPath + " HTTP/1.1\r\nHost: h\r\n\r\n";
}

// Guards against responses to pipelined requests in the wrong order.
TEST_F(ServerTest, RespondsToPipelinedRequestsInOrder)
{
  auto socket = Connect();
  const std::string responses = Exchange(socket, Get("/1") + Get("/2"));
  EXPECT_LT(responses.find("/1"), responses.find("/2"));
  EXPECT_EQ(m_handler.m_requests.size(), 2U);
}

struct PipelineCase
{
  const char* name;
  std::string bytes;
  bool announceClose;
  /// Requests that reach the handler.
  size_t handled;
  /// Status lines that the client receives.
  std::vector<std::string> statuses;
};

class ClosedPipelines
  : public ServerTest
  , public ::testing::WithParamInterface<PipelineCase>
{};

// Guards against running requests that were sent behind a response that closes
// the connection. The client counts them as not read and sends them again,
// which would run an order twice.
TEST_P(ClosedPipelines, RequestsBehindTheCloseAreNotHandled)
{
  m_handler.m_respondAtOnce = false;
  auto socket = Connect();
  std::string received = Exchange(socket, GetParam().bytes);
  if (GetParam().announceClose) {
    m_server->AnnounceClose();
  }
  // The handler responds with a delay, as it does to requests of a target.
  for (size_t i = 0; i < m_handler.m_requests.size(); ++i) {
    m_handler.Respond(i);
    Run(20);
  }
  // More bytes must not be handled either while the connection lingers.
  std::error_code ignored;
  asio::write(socket, asio::buffer(Get("/late")), ignored);
  Run(100);
  received += ReadAvailable(socket);
  EXPECT_EQ(m_handler.m_requests.size(), GetParam().handled);
  size_t position = 0;
  for (const std::string& status : GetParam().statuses) {
    position = received.find("HTTP/1.1 " + status, position);
    ASSERT_NE(position, std::string::npos) << status << " in " << received;
    ++position;
  }
  EXPECT_EQ(received.find("HTTP/1.1 ", position), std::string::npos);
  EXPECT_NE(received.find("Connection: close"), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(
  Closes,
  ClosedPipelines,
  ::testing::Values(
    PipelineCase{ "ClientAsksForClose",
                  "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" +
                    Get("/2") + Get("/3"),
                  false,
                  1,
                  { "200" } },
    PipelineCase{ "ServerAnnouncesClose",
                  Get("/1") + Get("/2") + Get("/3"),
                  true,
                  1,
                  { "200" } },
    PipelineCase{ "MalformedRequest",
                  Get("/1") + "BAD\r\n\r\n" + Get("/3"),
                  false,
                  1,
                  { "200", "400" } },
    PipelineCase{ "LargeBody",
                  Get("/1") +
                    "POST /2 HTTP/1.1\r\nHost: h\r\n"
                    "Content-Length: 99999\r\n\r\n" +
                    Get("/3"),
                  false,
                  1,
                  { "200", "413" } },
    PipelineCase{ "MalformedFirst",
                  "BAD\r\n\r\n" + Get("/2"),
                  false,
                  0,
                  { "400" } }),
  [](const auto& aInfo) { return aInfo.param.name; });

// Guards against handling a request that arrives on a connection which the idle
// limit has just closed: its client sends it again.
TEST_F(ServerTest, RequestsAfterTheIdleLimitAreNotHandled)
{
  auto socket = Connect();
  Exchange(socket, Get("/1"));
  Run(300);
  std::error_code ignored;
  asio::write(socket, asio::buffer(Get("/2")), ignored);
  Run(50);
  EXPECT_EQ(m_handler.m_requests.size(), 1U);
  EXPECT_EQ(ReadAvailable(socket), "(closed)");
}

// Guards against work on requests whose client has disconnected.
TEST_F(ServerTest, ReportsClientDisconnect)
{
  m_handler.m_respondAtOnce = false;
  auto socket = Connect();
  Exchange(socket, Get("/1"));
  EXPECT_EQ(m_server->Counts().pendingRequests, 1U);
  socket.close();
  Run(30);
  EXPECT_EQ(m_handler.m_disconnects, 1);
  EXPECT_EQ(m_server->Counts().pendingRequests, 0U);
  m_handler.Respond(0);
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

// Guards against dropping an invalid request without a response.
TEST_P(Rejections, GetAResponseAndConnectionClose)
{
  auto socket = Connect();
  const std::string response = Exchange(socket, GetParam().bytes, 150);
  EXPECT_EQ(response.substr(0, 12),
            std::string("HTTP/1.1 ") + GetParam().status);
  EXPECT_NE(response.find("Connection: close"), std::string::npos);
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

// Guards against idle connections that are never closed.
TEST_F(ServerTest, ClosesIdleConnections)
{
  auto socket = Connect();
  Exchange(socket, Get("/1"));
  Run(900);
  EXPECT_EQ(m_server->ConnectionCount(), 0U);
}

// Guards against clients that reuse the connection of a stopping daemon, and
// against aborting a pending request on shutdown.
TEST_F(ServerTest, ShutdownCompletesPendingRequests)
{
  m_handler.m_respondAtOnce = false;
  auto busy = Connect();
  auto idle = Connect();
  Exchange(idle, "", 20);
  Exchange(busy, Get("/1"), 20);
  m_server->AnnounceClose();
  m_server->CloseIdleConnections();
  Run(20);
  EXPECT_EQ(ReadAvailable(idle), "(closed)");
  m_handler.Respond(0);
  Run(20);
  const std::string response = ReadAvailable(busy);
  EXPECT_NE(response.find("/1"), std::string::npos);
  EXPECT_NE(response.find("Connection: close"), std::string::npos);
}

// Guards against responses that use up the memory while clients read slowly,
// and against closing the connection of a client that got its response lately.
TEST_F(ServerTest, ClosesTheSlowestReaderAboveTheLimit)
{
  std::vector<asio::ip::tcp::socket> readers;
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(m_server->Counts().closedSlowReaders, 0U) << i;
    readers.push_back(Connect());
    asio::write(readers.back(), asio::buffer(Get(kLongPath)));
    Run(20);
  }
  EXPECT_EQ(m_server->Counts().closedSlowReaders, 1U);
  EXPECT_EQ(m_server->ConnectionCount(), 3U);
  std::string bytes(kLongResponseBytes, '\0');
  std::error_code code;
  asio::read(readers.front(), asio::buffer(bytes), code);
  EXPECT_TRUE(code);
}

// Guards against a limit that refuses a response for its length alone, and
// against bytes that are counted after they were read.
TEST_F(ServerTest, ALongResponseAboveTheLimitIsServed)
{
  ServerLimits limits = m_server->Limits();
  limits.maxUnsentBytes = 1;
  m_server->SetLimits(limits);
  auto socket = Connect();
  asio::write(socket, asio::buffer(Get(kLongPath)));
  size_t received = 0;
  for (int i = 0; i < 1000 && received < kLongResponseBytes; ++i) {
    Run(1);
    socket.non_blocking(true);
    std::string bytes(kLongResponseBytes, '\0');
    std::error_code ignored;
    received += socket.read_some(asio::buffer(bytes), ignored);
  }
  EXPECT_GE(received, kLongResponseBytes);
  Run(20);
  EXPECT_EQ(m_server->Counts().unsentBytes, 0U);
  EXPECT_EQ(m_server->Counts().closedSlowReaders, 0U);
}

// Guards against a limit that misses requests which arrive in one read, and
// against rejecting the short requests of ordinary clients above it.
TEST_F(ServerTest, OnlyShortRequestsAreAcceptedAboveTheLimit)
{
  m_handler.m_respondAtOnce = false;
  const std::string padding(200, 'x');
  std::vector<asio::ip::tcp::socket> waiting;
  while (m_server->Counts().bufferedBytes <=
         m_server->Limits().maxBufferedBytes - padding.size()) {
    waiting.push_back(Connect());
    EXPECT_EQ(Exchange(waiting.back(), Get("/" + padding)), "");
  }
  ServerLimits limits = m_server->Limits();
  limits.shortRequestBytes = padding.size();
  m_server->SetLimits(limits);
  auto longRequest = Connect();
  EXPECT_NE(Exchange(longRequest, Get("/" + padding)).find("503"),
            std::string::npos);
  auto shortRequest = Connect();
  EXPECT_EQ(Exchange(shortRequest, Get("/")), "");
  EXPECT_EQ(m_handler.m_requests.size(), waiting.size() + 1);
}

// Guards against pipelined requests that use up the memory, and against bytes
// that are counted after the connection was closed.
TEST_F(ServerTest, PipelinedRequestsCountTowardTheLimit)
{
  m_handler.m_respondAtOnce = false;
  std::string requests;
  while (requests.size() <= m_server->Limits().maxBufferedBytes) {
    requests += Get("/1");
  }
  auto within = Connect();
  Exchange(within, Get("/1") + Get("/2"));
  EXPECT_EQ(m_server->Counts().bufferedBytes, (Get("/1") + Get("/2")).size());
  auto above = Connect();
  EXPECT_EQ(Exchange(above, requests), "(closed)");
  EXPECT_EQ(m_handler.m_disconnects, 1);
  EXPECT_EQ(m_server->Counts().bufferedBytes, (Get("/1") + Get("/2")).size());
}

// Guards against a client that waits forever for `100 Continue` before it sends
// its body.
TEST_F(ServerTest, SendsContinueForExpectedBody)
{
  auto socket = Connect();
  const std::string interimResponse =
    Exchange(socket,
             "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
             "Content-Length: 2\r\n\r\n");
  EXPECT_EQ(interimResponse, "HTTP/1.1 100 Continue\r\n\r\n");
  EXPECT_NE(Exchange(socket, "ab").find("200 OK"), std::string::npos);
  EXPECT_EQ(m_handler.m_requests.at(0).body, "ab");
}

} // namespace
} // namespace wagtailbend::http1
