#include "wagtailbend/http1/client_connection.h"

#include <gtest/gtest.h>

#include "wagtailbend/http1/testing/scripted_server.h"

namespace wagtailbend::http1 {
namespace {

using testing::ScriptedServer;
using After = ScriptedServer::After;

constexpr const char* kMatchingResponse =
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

  std::optional<ClientResult> SendRequest(
    const std::string& aId,
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

// Guards against a new connection for every request.
TEST_F(ClientConnectionTest, ReusesTheConnectionAfterACompleteResponse)
{
  m_server.AddResponse(kMatchingResponse);
  m_server.AddResponse(kMatchingResponse);
  ASSERT_TRUE(Connect());
  for (const char* id : { "a", "b" }) {
    const auto result = SendRequest(id);
    ASSERT_TRUE(result && std::holds_alternative<CompleteResponse>(*result));
    EXPECT_EQ(std::get<CompleteResponse>(*result).response.body, "ok");
    EXPECT_TRUE(m_connection->IsReady());
  }
  EXPECT_EQ(m_server.AcceptedConnections(), 1U);
}

// Guards against passing on a late response to an earlier request in place of
// the expected one.
TEST_F(ClientConnectionTest, SkipsResponsesToOtherRequests)
{
  m_server.AddResponse(
    "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 5\r\n\r\nother" +
    std::string(kMatchingResponse));
  ASSERT_TRUE(Connect());
  const auto result = SendRequest("mine");
  ASSERT_TRUE(result && std::holds_alternative<CompleteResponse>(*result));
  EXPECT_EQ(std::get<CompleteResponse>(*result).response.body, "ok");
  EXPECT_EQ(std::get<CompleteResponse>(*result).skippedResponses, 1U);
}

// Guards against extra bytes after a response, which would be taken for the
// response to the next request.
TEST_F(ClientConnectionTest, ClosesTheConnectionOnBytesAfterTheResponse)
{
  m_server.AddResponse(std::string(kMatchingResponse) + "HTTP/1.1 200 OK\r\n");
  ASSERT_TRUE(Connect());
  const auto result = SendRequest("a");
  ASSERT_TRUE(result && std::holds_alternative<CompleteResponse>(*result));
  EXPECT_FALSE(m_connection->IsReady());
}

// Guards against reusing a connection that the server closed while it was idle.
TEST_F(ClientConnectionTest, ReportsAnIdleConnectionThatTheServerCloses)
{
  ASSERT_TRUE(Connect());
  bool closed = false;
  m_connection->SetIdleCloseHandler([&closed] { closed = true; });
  // Sending a request removes the handler, so it is set again below.
  m_server.AddResponse(std::string(kMatchingResponse));
  const auto result = SendRequest("a");
  ASSERT_TRUE(result);
  m_connection->SetIdleCloseHandler([&closed] { closed = true; });
  m_server.Stop();
  Run(std::chrono::milliseconds(50));
  EXPECT_TRUE(closed);
  EXPECT_FALSE(m_connection->IsReady());
}

// Guards against losing responses that are delimited by the end of the
// connection.
TEST_F(ClientConnectionTest, AcceptsAResponseDelimitedByConnectionEnd)
{
  m_server.AddResponse("HTTP/1.1 200 OK\r\nId: {id}\r\n\r\nwhole",
                       After::kClose);
  ASSERT_TRUE(Connect());
  const auto result = SendRequest("a");
  ASSERT_TRUE(result && std::holds_alternative<CompleteResponse>(*result));
  EXPECT_EQ(std::get<CompleteResponse>(*result).response.body, "whole");
  EXPECT_FALSE(m_connection->IsReady());
}

struct IncompleteResponseCase
{
  const char* name;
  std::string bytes;
  After after;
  bool partial;
};

class LostAnswers
  : public ClientConnectionTest
  , public ::testing::WithParamInterface<IncompleteResponseCase>
{};

// Guards against passing on an incomplete response, and against reporting a
// sent request as not sent, which would allow an unsafe retry.
TEST_P(LostAnswers, FailTheRequest)
{
  m_server.AddResponse(GetParam().bytes, GetParam().after);
  ASSERT_TRUE(Connect());
  const auto result = SendRequest("a", std::chrono::milliseconds(200));
  ASSERT_TRUE(result && std::holds_alternative<NoResponse>(*result));
  EXPECT_TRUE(std::get<NoResponse>(*result).requestSent);
  EXPECT_EQ(std::get<NoResponse>(*result).responseStarted, GetParam().partial);
  EXPECT_FALSE(m_connection->IsReady());
}

INSTANTIATE_TEST_SUITE_P(
  Faults,
  LostAnswers,
  ::testing::Values(
    IncompleteResponseCase{ "Silence", "", After::kKeepOpen, false },
    IncompleteResponseCase{ "Reset", "", After::kReset, false },
    IncompleteResponseCase{ "Closed", "", After::kClose, false },
    IncompleteResponseCase{
      "TruncatedBody",
      "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 9\r\n\r\nabc",
      After::kClose,
      true },
    IncompleteResponseCase{ "UnframedReset",
                            "HTTP/1.1 200 OK\r\nId: {id}\r\n\r\nabc",
                            After::kReset,
                            true },
    IncompleteResponseCase{ "NotHttp",
                            "garbage\r\n\r\n",
                            After::kKeepOpen,
                            true },
    IncompleteResponseCase{
      "ForeignThenSilence",
      "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 0\r\n\r\n",
      After::kKeepOpen,
      false }),
  [](const auto& aInfo) { return aInfo.param.name; });

// Guards against reporting a connection as established when the server refuses
// it.
TEST_F(ClientConnectionTest, ReportsARefusedConnection)
{
  m_server.Stop();
  EXPECT_FALSE(Connect());
}

struct CutHeadCase
{
  const char* name;
  /// Sent before the header section that is cut.
  std::string before;
  std::string head;
  After after;
};

class CutHeadTest
  : public ClientConnectionTest
  , public ::testing::WithParamInterface<CutHeadCase>
{};

// Guards against a response that ends within its header section and is passed
// on as complete.
TEST_P(CutHeadTest, IsNoResponse)
{
  const CutHeadCase& cut = GetParam();
  for (size_t length = 0; length < cut.head.size(); ++length) {
    m_server.AddResponse(cut.before + cut.head.substr(0, length), cut.after);
    ASSERT_TRUE(Connect());
    const auto result = SendRequest("a");
    ASSERT_TRUE(result) << length;
    EXPECT_TRUE(std::holds_alternative<NoResponse>(*result)) << length;
    EXPECT_FALSE(m_connection->IsReady()) << length;
  }
}

constexpr const char* kHeadWithLength =
  "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nId: a\r\n\r\n";
constexpr const char* kChunkedHead =
  "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr const char* kHeadWithoutLength =
  "HTTP/1.1 200 OK\r\nId: a\r\nSeal: s\r\n\r\n";
constexpr const char* kEmptyHead = "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n";
constexpr const char* kInterimHead = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr const char* kOtherResponse =
  "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 2\r\n\r\nok";

INSTANTIATE_TEST_SUITE_P(
  Shapes,
  CutHeadTest,
  ::testing::Values(
    CutHeadCase{ "LengthClosed", "", kHeadWithLength, After::kClose },
    CutHeadCase{ "LengthReset", "", kHeadWithLength, After::kReset },
    CutHeadCase{ "ChunkedClosed", "", kChunkedHead, After::kClose },
    CutHeadCase{ "ChunkedReset", "", kChunkedHead, After::kReset },
    CutHeadCase{ "NoLengthClosed", "", kHeadWithoutLength, After::kClose },
    CutHeadCase{ "NoLengthReset", "", kHeadWithoutLength, After::kReset },
    CutHeadCase{ "EmptyClosed", "", kEmptyHead, After::kClose },
    CutHeadCase{ "AfterInterim", kInterimHead, kHeadWithLength, After::kClose },
    CutHeadCase{ "AfterInterimNoLength",
                 kInterimHead,
                 kHeadWithoutLength,
                 After::kClose },
    CutHeadCase{ "AfterOtherResponse",
                 kOtherResponse,
                 kHeadWithoutLength,
                 After::kClose }),
  [](const auto& aInfo) { return aInfo.param.name; });

} // namespace
} // namespace wagtailbend::http1
