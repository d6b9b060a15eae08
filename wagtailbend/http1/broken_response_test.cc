// Targets in trouble whose bytes are no response.

#include <optional>

#include <gtest/gtest.h>

#include "wagtailbend/http1/client_connection.h"
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

constexpr auto kNameOf = [](const auto& aInfo) { return aInfo.param.name; };

INSTANTIATE_TEST_SUITE_P(Statuses,
                         BrokenResponseTest,
                         ::testing::ValuesIn(testing::InvalidStatuses()),
                         kNameOf);

} // namespace
} // namespace wagtailbend::http1
