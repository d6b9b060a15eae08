// Contract tests of Platform. They run against the in-memory fake and against
// the HTTP client with a fake server on loopback, so that both behave the same.

#include "wagtailbend/store/platform.h"

#include <functional>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <httplib.h>

#include "testing/fakes/fake_platform_server.h"
#include "wagtailbend/store/http_platform.h"

namespace wagtailbend::store {
namespace {

using testing::SizeIs;
using testing_fakes::FakePlatformServer;
using testing_fakes::FaultKind;
using testing_fakes::InMemoryPlatform;
using testing_fakes::Operation;

const std::string kBinary("\0\xff\n\"/%", 6);

// The parameter selects the in-memory fake (false) or the HTTP client (true).
class PlatformContractTest : public testing::TestWithParam<bool>
{
protected:
  void SetUp() override
  {
    if (!GetParam()) {
      return;
    }
    ASSERT_TRUE(m_server.Start("127.0.0.1", 0));
    auto client = HttpPlatform::Create(m_server.Url(), {});
    ASSERT_TRUE(IsOk(client));
    m_client = TakeValue(std::move(client));
  }

  Platform& Subject() { return m_client ? *m_client : m_store; }

  std::string ReadValue(const std::string& aKey)
  {
    const auto row = Subject().ReadRow("t", aKey);
    return IsOk(row) && GetValue(row) ? GetValue(row)->value : "absent";
  }

  InMemoryPlatform m_store;
  FakePlatformServer m_server{ m_store };
  std::unique_ptr<Platform> m_client;
};

INSTANTIATE_TEST_SUITE_P(FakeAndHttp,
                         PlatformContractTest,
                         testing::Bool(),
                         [](const auto& aInfo) {
                           return aInfo.param ? "Http" : "InMemory";
                         });

// Guards against values or keys that are altered by the JSON or URL encoding.
TEST_P(PlatformContractTest, RowsAndObjectsKeepArbitraryBytes)
{
  const std::string key = "a/b c?%2F+\xc3\xa9";
  auto result = Subject().Transact({ {}, { { "t", key, kBinary } } });
  ASSERT_TRUE(std::holds_alternative<Committed>(result));
  const uint64_t version = std::get<Committed>(result).versions.at(0);
  EXPECT_EQ(GetValue(Subject().ReadRow("t", key)),
            (Row{ key, version, kBinary }));
  EXPECT_EQ(Subject().PutObject(key, kBinary), PutResult(Done{}));
  EXPECT_EQ(GetValue(Subject().GetObject(key)), kBinary);
  EXPECT_EQ(GetValue(Subject().GetObject("other")), std::nullopt);
  EXPECT_EQ(GetValue(Subject().ReadRow("t", "other")), std::nullopt);
}

// Guards against a transaction that is partly applied, and against a conflict
// that does not list the rows that caused it.
TEST_P(PlatformContractTest, ConflictAppliesNothingAndNamesRows)
{
  Subject().Transact({ {}, { { "t", "a", "1" } } });
  const Row current = *GetValue(Subject().ReadRow("t", "a"));
  const auto result = Subject().Transact(
    { { { "t", "a", current.version + 1 }, { "t", "b", std::nullopt } },
      { { "t", "a", "2" }, { "t", "b", "2" } } });
  EXPECT_EQ(result, TransactResult(Conflict{ { { "t", "a", current } } }));
  EXPECT_EQ(ReadValue("a"), "1");
  EXPECT_EQ(ReadValue("b"), "absent");
  EXPECT_EQ(Subject().Transact({ { { "t", "c", 1 } }, {} }),
            TransactResult(Conflict{ { { "t", "c", std::nullopt } } }));
}

// Guards against a stale expected version that matches a row which was deleted
// and written again.
TEST_P(PlatformContractTest, VersionsAreNotReusedAfterDelete)
{
  Subject().Transact({ {}, { { "t", "a", "1" } } });
  const uint64_t version = GetValue(Subject().ReadRow("t", "a"))->version;
  Subject().Transact(
    { { { "t", "a", version } }, { { "t", "a", std::nullopt } } });
  EXPECT_EQ(ReadValue("a"), "absent");
  Subject().Transact({ { { "t", "a", std::nullopt } }, { { "t", "a", "2" } } });
  const auto result =
    Subject().Transact({ { { "t", "a", version } }, { { "t", "a", "3" } } });
  EXPECT_TRUE(std::holds_alternative<Conflict>(result));
}

// Guards against listings that are unordered or contain rows of another prefix
// or table.
TEST_P(PlatformContractTest, ListIsOrderedAndLimitedToThePrefix)
{
  for (const char* key : { "p/2", "p/1", "q/1", "p" }) {
    Subject().Transact({ {}, { { "t", key, key } } });
  }
  Subject().Transact({ {}, { { "u", "p/3", "" } } });
  const auto rows = Subject().ListRows("t", "p/");
  ASSERT_THAT(GetValue(rows), SizeIs(2));
  EXPECT_EQ(GetValue(rows)[0].key, "p/1");
  EXPECT_EQ(GetValue(rows)[1].key, "p/2");
  EXPECT_THAT(GetValue(Subject().ListRows("t", "")), SizeIs(4));
}

struct FaultCase
{
  FaultKind kind;
  bool refused;
  const char* valueAfter;
};

// Guards against reporting a write that took effect as refused, or one that did
// not as committed.
TEST_P(PlatformContractTest, FaultsAreRefusedOrUnknown)
{
  for (const FaultCase& c : { FaultCase{ FaultKind::kDown, true, "absent" },
                              { FaultKind::kRequestLost, false, "absent" },
                              { FaultKind::kReplyLost, false, "1" } }) {
    SCOPED_TRACE(FaultKindName(c.kind));
    m_store.SetFaults({ .kind = c.kind });
    const auto transact = Subject().Transact({ {}, { { "t", "a", "1" } } });
    EXPECT_EQ(std::holds_alternative<Refused>(transact), c.refused);
    EXPECT_EQ(std::holds_alternative<Unknown>(transact), !c.refused);
    const auto put = Subject().PutObject("o", "1");
    EXPECT_EQ(std::holds_alternative<Refused>(put), c.refused);
    EXPECT_EQ(std::holds_alternative<Unknown>(put), !c.refused);
    const auto read = Subject().ReadRow("t", "a");
    ASSERT_FALSE(IsOk(read));
    EXPECT_EQ(GetError(read)->kind, ErrorKind::kPlatformUnavailable);
    EXPECT_FALSE(IsOk(Subject().ListRows("t", "")));
    EXPECT_FALSE(IsOk(Subject().GetObject("o")));
    m_store.SetFaults({});
    EXPECT_EQ(ReadValue("a"), c.valueAfter);
    EXPECT_EQ(GetValue(Subject().GetObject("o")).value_or("absent"),
              c.valueAfter);
  }
}

// Guards against fault injection that hits other operations or calls than those
// selected.
TEST_P(PlatformContractTest, FaultsSelectOperationsAndEveryNth)
{
  m_store.SetFaults({ .kind = FaultKind::kDown,
                      .operations = { Operation::kReadRow },
                      .skip = 1,
                      .everyNth = 2,
                      .limit = 2 });
  std::string pattern;
  for (int i = 0; i < 8; ++i) {
    pattern += IsOk(Subject().ReadRow("t", "a")) ? '.' : 'x';
  }
  EXPECT_EQ(pattern, "..x.x...");
  EXPECT_TRUE(IsOk(Subject().GetObject("a")));
  EXPECT_EQ(m_store.Count(Operation::kReadRow), 8U);
}

// Guards against invalid table names and keys that reach the platform.
TEST_P(PlatformContractTest, InvalidNamesAreRefused)
{
  for (const auto& [table, key] :
       { std::pair("", "k"), { "a/b", "k" }, { "t", "" }, { "t", "\xff" } }) {
    const auto result = Subject().Transact({ {}, { { table, key, "" } } });
    ASSERT_TRUE(std::holds_alternative<Refused>(result));
    EXPECT_EQ(std::get<Refused>(result).error.kind, ErrorKind::kInvalidRequest);
    EXPECT_FALSE(IsOk(Subject().ReadRow(table, key)));
  }
}

// Guards against a client that waits indefinitely, and against reporting a
// request as refused that the platform may still apply after the read time-out.
TEST(HttpPlatformTest, SlowWriteIsUnknownAndTakesEffect)
{
  InMemoryPlatform store;
  FakePlatformServer server(store);
  ASSERT_TRUE(server.Start("127.0.0.1", 0));
  auto client = HttpPlatform::Create(
    server.Url(), { .readTimeout = std::chrono::milliseconds(50) });
  store.SetFaults({ .delay = std::chrono::milliseconds(300) });
  auto result = GetValue(client)->Transact({ {}, { { "t", "a", "1" } } });
  EXPECT_TRUE(std::holds_alternative<Unknown>(result));
  server.Stop();
  store.SetFaults({});
  EXPECT_TRUE(GetValue(store.ReadRow("t", "a")));
  result = GetValue(client)->Transact({ {}, { { "t", "a", "2" } } });
  EXPECT_TRUE(std::holds_alternative<Refused>(result));
}

struct StatusCase
{
  int status;
  const char* body;
  size_t expectedIndex;
};

// Guards against treating a write as refused because of a status that an
// intermediary may have generated after the platform applied the request.
TEST(HttpPlatformTest, StatusDecidesBetweenRefusedAndUnknown)
{
  constexpr size_t kRefused = 2;
  constexpr size_t kUnknown = 3;
  StatusCase current{};
  httplib::Server server;
  server.Post("/v1/table/transact",
              [&](const httplib::Request&, httplib::Response& aResponse) {
                aResponse.status = current.status;
                aResponse.set_content(current.body, "application/json");
              });
  const int port = server.bind_to_any_port("127.0.0.1");
  std::thread thread([&] { server.listen_after_bind(); });
  auto client =
    HttpPlatform::Create("http://127.0.0.1:" + std::to_string(port), {});
  for (const StatusCase& c : { StatusCase{ 200, "not JSON", kUnknown },
                               { 200, R"({"versions":["x"]})", kUnknown },
                               { 409, "{}", kUnknown },
                               { 500, "", kUnknown },
                               { 503, "", kUnknown },
                               { 503, R"({"applied":true})", kUnknown },
                               { 503, R"({"applied":false})", kRefused },
                               { 504, R"({"applied":false})", kUnknown },
                               { 408, "", kUnknown },
                               { 429, "", kRefused },
                               { 400, "", kRefused } }) {
    current = c;
    const auto result = GetValue(client)->Transact({ {}, {} });
    EXPECT_EQ(result.index(), c.expectedIndex) << c.status << " " << c.body;
  }
  server.stop();
  thread.join();
}

// Guards against fault settings that are accepted but not applied, and against
// invalid ones that are accepted.
TEST(HttpPlatformTest, FaultsAreConfiguredOverHttp)
{
  InMemoryPlatform store;
  FakePlatformServer server(store);
  ASSERT_TRUE(server.Start("127.0.0.1", 0));
  httplib::Client http(server.Url());
  const auto post = [&](const char* aBody) {
    return http.Post("/v1/faults", aBody, "application/json")->status;
  };
  EXPECT_EQ(post(R"({"kind":"down","operations":["get"]})"), 204);
  EXPECT_FALSE(IsOk(store.GetObject("o")));
  EXPECT_TRUE(IsOk(store.ReadRow("t", "a")));
  EXPECT_EQ(post(R"({"kind":"broken"})"), 400);
  EXPECT_EQ(post(R"({"operations":["rename"]})"), 400);
  EXPECT_EQ(post("{"), 400);
}

// Guards against two fake servers that share a port, each of which would
// receive only part of the requests.
TEST(HttpPlatformTest, SecondServerOnThePortFailsToStart)
{
  InMemoryPlatform store;
  FakePlatformServer first(store);
  ASSERT_TRUE(first.Start("127.0.0.1", 0));
  EXPECT_FALSE(FakePlatformServer(store).Start("127.0.0.1", first.Port()));
}

// Guards against malformed or unsupported URLs that fail only at the first
// call.
TEST(HttpPlatformTest, CreateRejectsInvalidUrls)
{
  for (const char* url : { "",
                           "10.0.0.1:80",
                           "https://a:1",
                           "http://a",
                           "http://a:x",
                           "http://a:1/path" }) {
    EXPECT_FALSE(IsOk(HttpPlatform::Create(url, {}))) << url;
  }
}

} // namespace
} // namespace wagtailbend::store
