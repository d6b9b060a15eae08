// Targets that send bytes without end until the connection is closed.

#include <optional>

#include <gtest/gtest.h>

#include "wagtailbend/base/boot_time.h"
#include "wagtailbend/http1/client_connection.h"
#include "wagtailbend/http1/testing/endless_server.h"

namespace wagtailbend::http1 {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::EndlessServer;

constexpr ParseLimits kLimits = { .maxHeaderBytes = 16UL * 1024,
                                  .maxBodyBytes = 512UL * 1024 };
// What is read of one response besides the limits: one read buffer.
constexpr size_t kReadSlackBytes = 64UL * 1024;
constexpr Duration kRequestTimeout = seconds(10);
// Long before kRequestTimeout, and enough for a busy machine.
constexpr Duration kEarly = seconds(4);

constexpr const char* kChunkedHead = "HTTP/1.1 200 OK\r\nId: {id}\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n";

struct Exchange
{
  std::optional<ClientResult> result;
  std::shared_ptr<ClientConnection> connection;
  Duration duration{};
};

Exchange
SendTo(asio::io_context& aIo,
       const EndlessServer& aServer,
       const std::shared_ptr<ReceiveBudget>& aBudget,
       Duration aTimeout)
{
  Exchange exchange;
  exchange.connection = ClientConnection::Make(aIo, kLimits, aBudget);
  const TimePoint start = BootNow();
  exchange.connection->Connect(
    aServer.Endpoint(), seconds(1), seconds(5), [&](bool aConnected) {
      ASSERT_TRUE(aConnected);
      ClientRequest request;
      request.bytes = "GET / HTTP/1.1\r\nHost: h\r\nId: 7\r\n\r\n";
      request.idHeader = "Id";
      request.id = "7";
      request.timeout = aTimeout;
      exchange.connection->Send(request, [&](ClientResult aResult) {
        exchange.result = std::move(aResult);
      });
    });
  while (!exchange.result && BootNow() - start < 2 * kRequestTimeout) {
    aIo.restart();
    aIo.run_for(milliseconds(10));
  }
  exchange.duration = BootNow() - start;
  return exchange;
}

struct EndlessCase
{
  const char* name;
  std::string start;
  std::string repeated;
};

class EndlessResponseTest : public ::testing::TestWithParam<EndlessCase>
{
protected:
  asio::io_context m_io;
  std::shared_ptr<ReceiveBudget> m_budget =
    std::make_shared<ReceiveBudget>(1024UL * 1024);
};

// Guards against a target in trouble that occupies memory, the traffic thread
// and a slot until the request's deadline.
TEST_P(EndlessResponseTest, EndsEarlyAndClosesTheConnection)
{
  EndlessServer server(m_io, { GetParam().start, GetParam().repeated });
  const Exchange exchange = SendTo(m_io, server, m_budget, kRequestTimeout);
  ASSERT_TRUE(exchange.result &&
              std::holds_alternative<NoResponse>(*exchange.result));
  const auto& failure = std::get<NoResponse>(*exchange.result);
  EXPECT_TRUE(failure.requestSent);
  EXPECT_NE(failure.reason, FailureReason::kTimeout);
  EXPECT_LT(exchange.duration, kEarly);
  EXPECT_LE(failure.receivedBytes,
            kLimits.maxHeaderBytes + kLimits.maxBodyBytes + kReadSlackBytes);
  EXPECT_FALSE(exchange.connection->IsReady());
  EXPECT_EQ(m_budget->UsedBytes(), 0U);
}

// Guards against a slow sender that keeps a request open past its deadline.
TEST_P(EndlessResponseTest, SlowBytesEndAtTheTimeoutAtTheLatest)
{
  EndlessServer server(
    m_io, { GetParam().start, GetParam().repeated.substr(0, 1), seconds(1) });
  const Exchange exchange = SendTo(m_io, server, m_budget, milliseconds(300));
  ASSERT_TRUE(exchange.result &&
              std::holds_alternative<NoResponse>(*exchange.result));
  EXPECT_TRUE(std::get<NoResponse>(*exchange.result).requestSent);
  EXPECT_LT(exchange.duration, kEarly);
  EXPECT_FALSE(exchange.connection->IsReady());
  EXPECT_EQ(m_budget->UsedBytes(), 0U);
}

INSTANTIATE_TEST_SUITE_P(
  Faults,
  EndlessResponseTest,
  ::testing::Values(
    EndlessCase{ "StatusLine", "HTTP/1.1 200 ", std::string(1024, 'x') },
    EndlessCase{ "HeaderLine", "HTTP/1.1 200 OK\r\nX: ", std::string(99, 'x') },
    EndlessCase{ "HeaderLines", "HTTP/1.1 200 OK\r\nId: {id}\r\n", "X: 1\r\n" },
    EndlessCase{ "InformationalResponses",
                 "",
                 "HTTP/1.1 100 Continue\r\n\r\n" },
    EndlessCase{ "ResponsesToOtherRequests",
                 "",
                 "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 2\r\n\r\nno" },
    EndlessCase{ "LargeResponsesToOtherRequests",
                 "",
                 "HTTP/1.1 200 OK\r\nId: x\r\nContent-Length: 200000\r\n\r\n" +
                   std::string(200000, 'x') },
    EndlessCase{ "ChunkExtension",
                 std::string(kChunkedHead) + "5;",
                 std::string(1024, 'x') },
    EndlessCase{ "ChunkExtensions",
                 kChunkedHead,
                 "1;" + std::string(2000, 'x') + "\r\nx\r\n" },
    EndlessCase{ "ChunkSize", kChunkedHead, "0" },
    EndlessCase{ "ChunksOfOneByte", kChunkedHead, "1\r\nx\r\n" },
    EndlessCase{ "Chunks",
                 kChunkedHead,
                 "400\r\n" + std::string(0x400, 'x') + "\r\n" },
    EndlessCase{ "TrailerLine",
                 std::string(kChunkedHead) + "0\r\nX: ",
                 std::string(1024, 'x') },
    EndlessCase{ "Trailers", std::string(kChunkedHead) + "0\r\n", "X: 1\r\n" },
    EndlessCase{ "UnframedBody",
                 "HTTP/1.1 200 OK\r\nId: {id}\r\n\r\n",
                 std::string(1024, 'x') },
    EndlessCase{ "LongBody",
                 "HTTP/1.1 200 OK\r\nId: {id}\r\n"
                 "Content-Length: 999999999999\r\n\r\n",
                 std::string(1024, 'x') },
    EndlessCase{ "NoHttp", "", "garbage " }),
  [](const auto& aInfo) { return aInfo.param.name; });

// Guards against dropping a complete response because of the bytes behind it,
// and against taking those for the response to the next request.
TEST(EndlessBytesTest, BytesPastTheContentLengthCloseTheConnection)
{
  asio::io_context io;
  EndlessServer server(
    io,
    { "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 2\r\n\r\nok",
      std::string(1024, 'x') });
  const Exchange exchange = SendTo(io, server, nullptr, kRequestTimeout);
  ASSERT_TRUE(exchange.result &&
              std::holds_alternative<CompleteResponse>(*exchange.result));
  EXPECT_EQ(std::get<CompleteResponse>(*exchange.result).response.body, "ok");
  for (int i = 0; i < 200 && exchange.connection->IsReady(); ++i) {
    io.restart();
    io.run_for(milliseconds(10));
  }
  EXPECT_FALSE(exchange.connection->IsReady());
}

// Guards against many endless responses at once that together use up the
// memory of the VM, and against failing short responses meanwhile.
TEST(EndlessBytesTest, ResponsesShareOneBudget)
{
  const auto budget = std::make_shared<ReceiveBudget>(100);
  ReceiveReservation first(budget);
  ReceiveReservation second(budget);
  EXPECT_TRUE(first.Grow(ReceiveBudget::kFreeBytes + 60));
  EXPECT_TRUE(second.Grow(ReceiveBudget::kFreeBytes));
  EXPECT_FALSE(second.Grow(41));
  EXPECT_TRUE(second.Grow(40));
  EXPECT_EQ(budget->UsedBytes(), 100U);
  first.Release();
  EXPECT_EQ(budget->UsedBytes(), 40U);
  EXPECT_TRUE(second.Grow(60));
}

} // namespace
} // namespace wagtailbend::http1
