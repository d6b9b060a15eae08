// A platform in trouble that answers the HTTP client with bytes that are no
// response, or without end. platform_test.cc holds the contract tests.

#include "wagtailbend/store/http_platform.h"

#include <gtest/gtest.h>

#include "wagtailbend/base/boot_time.h"
#include "wagtailbend/http1/testing/broken_responses.h"
#include "wagtailbend/http1/testing/endless_server.h"
#include "wagtailbend/http1/testing/io_thread.h"
#include "wagtailbend/http1/testing/scripted_server.h"

namespace wagtailbend::store {
namespace {

using http1::testing::BrokenResponse;
using http1::testing::EndlessResponse;
using http1::testing::EndlessServer;
using http1::testing::IoThread;
using http1::testing::ScriptedServer;

constexpr auto kNameOf = [](const auto& aInfo) { return aInfo.param.name; };

std::unique_ptr<Platform>
MakeClient(const asio::ip::tcp::endpoint& aPlatform)
{
  return TakeValue(HttpPlatform::Create(
    "http://127.0.0.1:" + std::to_string(aPlatform.port()), {}));
}

class BrokenPlatformResponseTest
  : public ::testing::TestWithParam<BrokenResponse>
{};

// Guards against taking a broken response for one.
TEST_P(BrokenPlatformResponseTest, IsNoResponse)
{
  asio::io_context io;
  ScriptedServer server(io);
  constexpr int kCalls = 5;
  for (int i = 0; i < kCalls; ++i) {
    server.AddResponse(GetParam().bytes);
  }
  const auto client = MakeClient(server.Endpoint());
  const IoThread thread(io);
  EXPECT_FALSE(IsOk(client->ListRows("t", "")));
  EXPECT_FALSE(IsOk(client->ReadRow("t", "a")));
  EXPECT_FALSE(IsOk(client->GetObject("o")));
  EXPECT_TRUE(std::holds_alternative<Unknown>(client->Transact({ {}, {} })));
  EXPECT_TRUE(std::holds_alternative<Unknown>(client->PutObject("o", "v")));
}

constexpr std::string_view kBody =
  R"({"rows":[],"versions":[],"key":"a","version":1,"value":""})";

INSTANTIATE_TEST_SUITE_P(
  Statuses,
  BrokenPlatformResponseTest,
  ::testing::ValuesIn(http1::testing::InvalidStatuses(kBody)),
  kNameOf);

INSTANTIATE_TEST_SUITE_P(
  HeaderLines,
  BrokenPlatformResponseTest,
  ::testing::ValuesIn(http1::testing::InvalidHeaderLines(kBody)),
  kNameOf);

struct EndlessCase
{
  const char* name;
  EndlessResponse response;
};

class EndlessPlatformResponseTest : public ::testing::TestWithParam<EndlessCase>
{};

// Guards against a response that uses up the memory of the process.
TEST_P(EndlessPlatformResponseTest, EndsTheCall)
{
  asio::io_context io;
  EndlessServer server(io, GetParam().response);
  const auto client = MakeClient(server.Endpoint());
  const IoThread thread(io);
  const TimePoint start = BootNow();
  EXPECT_FALSE(IsOk(client->ListRows("t", "")));
  // One call of at most 4 s, and slack for a busy machine.
  EXPECT_LT(BootNow() - start, std::chrono::seconds(10));
}

INSTANTIATE_TEST_SUITE_P(
  Faults,
  EndlessPlatformResponseTest,
  ::testing::Values(
    EndlessCase{ "HeaderLine",
                 { "HTTP/1.1 200 OK\r\nX: ", std::string(1024, 'x'), {} } },
    EndlessCase{ "HeaderLines", { "HTTP/1.1 200 OK\r\n", "X: 1\r\n", {} } },
    EndlessCase{ "Body",
                 { "HTTP/1.1 200 OK\r\n\r\n", std::string(1024, 'x'), {} } },
    EndlessCase{
      "SlowBody",
      { "HTTP/1.1 200 OK\r\n\r\n", "x", std::chrono::milliseconds(200) } }),
  kNameOf);

} // namespace
} // namespace wagtailbend::store
