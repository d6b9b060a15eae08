#include "wagtailbend/http1/blocking_client.h"

#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include <sys/resource.h>

#include <gtest/gtest.h>

#include "wagtailbend/base/boot_time.h"
#include "wagtailbend/http1/testing/broken_responses.h"
#include "wagtailbend/http1/testing/io_thread.h"
#include "wagtailbend/http1/testing/scripted_server.h"

namespace wagtailbend::http1 {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::MakeResponseBytes;
using testing::ScriptedServer;

class BlockingClientTest : public ::testing::Test
{
protected:
  /// Serves what was scripted before. Call it once.
  BlockingClient& Start(const std::string& aHost = "127.0.0.1")
  {
    BlockingClientOptions options;
    options.slowResponseAllowance = milliseconds(300);
    m_client.emplace(ServerName{ aHost, m_server.Endpoint().port() }, options);
    m_thread.emplace(m_io);
    return *m_client;
  }

  static RequestMessage Get()
  {
    RequestMessage request;
    request.method = "GET";
    request.target = "/a?b=c";
    return request;
  }

  asio::io_context m_io;
  ScriptedServer m_server{ m_io };
  std::optional<testing::IoThread> m_thread;
  std::optional<BlockingClient> m_client;
};

// Guards against requests that the server can't frame or route.
TEST_F(BlockingClientTest, EachRequestHasAConnectionOfItsOwn)
{
  for (int i = 0; i < 2; ++i) {
    m_server.AddResponse(MakeResponseBytes("whole", "HTTP/1.1 200 OK"));
  }
  BlockingClient& client = Start("localhost");
  for (int i = 0; i < 2; ++i) {
    const ClientResult result = client.Perform(Get(), seconds(5));
    ASSERT_TRUE(std::holds_alternative<CompleteResponse>(result));
    EXPECT_EQ(std::get<CompleteResponse>(result).response.body, "whole");
  }
  m_thread.reset();
  EXPECT_EQ(m_server.AcceptedConnections(), 2U);
  const std::string& head = m_server.Requests().at(0);
  EXPECT_EQ(head.substr(0, head.find('\r')), "GET /a?b=c HTTP/1.1");
  EXPECT_NE(head.find("Host: localhost:"), std::string::npos);
  EXPECT_NE(head.find("Connection: close\r\n"), std::string::npos);
}

// Guards against calls that wait for a silent server for good.
TEST_F(BlockingClientTest, ASilentServerEndsTheRequest)
{
  BlockingClient& client = Start();
  const TimePoint start = BootNow();
  const ClientResult result = client.Perform(Get(), milliseconds(200));
  ASSERT_TRUE(std::holds_alternative<NoResponse>(result));
  EXPECT_EQ(std::get<NoResponse>(result).reason, FailureReason::kTimeout);
  EXPECT_TRUE(std::get<NoResponse>(result).requestSent);
  EXPECT_LT(BootNow() - start, seconds(4));
}

// Guards against a failed connect that counts as a request that was sent.
TEST_F(BlockingClientTest, AFailedConnectMeansNotSent)
{
  m_server.Stop();
  BlockingClient& client = Start();
  const ClientResult result = client.Perform(Get(), seconds(5));
  ASSERT_TRUE(std::holds_alternative<NoResponse>(result));
  EXPECT_FALSE(std::get<NoResponse>(result).requestSent);
}

// Guards against a process that ends when it has no file descriptor left.
TEST_F(BlockingClientTest, ALackOfFileDescriptorsMeansNotSent)
{
  BlockingClient& client = Start();
  rlimit limit{};
  ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &limit), 0);
  rlimit none = limit;
  none.rlim_cur = 0;
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &none), 0);
  const ClientResult result = client.Perform(Get(), seconds(5));
  ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &limit), 0);
  ASSERT_TRUE(std::holds_alternative<NoResponse>(result));
  EXPECT_FALSE(std::get<NoResponse>(result).requestSent);
}

// Guards against a stop that waits for a server.
TEST_F(BlockingClientTest, InterruptEndsPendingAndLaterRequests)
{
  BlockingClient& client = Start();
  const TimePoint start = BootNow();
  std::thread interrupter([&client] {
    std::this_thread::sleep_for(milliseconds(100));
    client.Interrupt();
  });
  for (const bool sent : { true, false }) {
    const ClientResult result = client.Perform(Get(), seconds(30));
    ASSERT_TRUE(std::holds_alternative<NoResponse>(result));
    EXPECT_EQ(std::get<NoResponse>(result).reason, FailureReason::kInterrupted);
    EXPECT_EQ(std::get<NoResponse>(result).requestSent, sent);
  }
  interrupter.join();
  EXPECT_LT(BootNow() - start, seconds(10));
}

// Guards against a long upload that is taken for a silent server.
TEST_F(BlockingClientTest, AnUploadThatMakesProgressIsNotEnded)
{
  constexpr size_t kBodyBytes = 48UL * 1024 * 1024;
  constexpr size_t kBytesPerMs = 16UL * 1024;
  asio::ip::tcp::acceptor acceptor(
    m_io, asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0));
  std::thread reader([&acceptor] {
    asio::ip::tcp::socket socket = acceptor.accept();
    std::string bytes(1024UL * 1024, '\0');
    size_t received = 0;
    std::error_code code;
    const TimePoint start = BootNow();
    while (received < kBodyBytes && !code) {
      received += socket.read_some(asio::buffer(bytes), code);
      std::this_thread::sleep_for(start + milliseconds(received / kBytesPerMs) -
                                  BootNow());
    }
    asio::write(
      socket, asio::buffer(MakeResponseBytes("ok", "HTTP/1.1 200 OK")), code);
  });
  BlockingClientOptions options;
  options.slowResponseAllowance = seconds(60);
  BlockingClient client({ "127.0.0.1", acceptor.local_endpoint().port() },
                        options);
  RequestMessage request = Get();
  request.method = "PUT";
  request.body = std::string(kBodyBytes, 'x');
  const ClientResult result = client.Perform(std::move(request), seconds(1));
  reader.join();
  EXPECT_TRUE(std::holds_alternative<CompleteResponse>(result));
}

// Guards against URLs that are accepted and then fail with each request.
TEST(ParseHttpUrlTest, AcceptsHostAndPortOnly)
{
  const std::vector<std::pair<std::string, std::optional<ServerName>>> cases = {
    { "http://a:1", ServerName{ "a", 1 } },
    { "http://10.0.0.1:65535/", ServerName{ "10.0.0.1", 65535 } },
    { "http://[::1]:9", ServerName{ "::1", 9 } },
    { "", std::nullopt },
    { "http://a", std::nullopt },
    { "a:1", std::nullopt },
    { "https://a:1", std::nullopt },
    { "http://", std::nullopt },
    { "http://a:", std::nullopt },
    { "http://a:x", std::nullopt },
    { "http://a:0", std::nullopt },
    { "http://a:65536", std::nullopt },
    { "http://a:1/path", std::nullopt },
    { "http://a?q", std::nullopt },
  };
  for (const auto& [url, server] : cases) {
    EXPECT_EQ(ParseHttpUrl(url), server) << url;
  }
  EXPECT_EQ(ParseHttpUrl("http://a.b/", 80), (ServerName{ "a.b", 80 }));
}

} // namespace
} // namespace wagtailbend::http1
