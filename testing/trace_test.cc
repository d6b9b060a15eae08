// Spans and metrics of real processes.

#include <map>
#include <mutex>
#include <thread>

#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "testing/caller.h"
#include "testing/deployment.h"

namespace wagtailbend::testing {
namespace {

using nlohmann::json;

/// Receives OTLP/HTTP JSON.
class SpanReceiver
{
public:
  SpanReceiver()
  {
    m_server.Post(
      "/v1/traces",
      [this](const httplib::Request& aRequest, httplib::Response& aResponse) {
        Take(json::parse(aRequest.body, nullptr, false));
        aResponse.set_content("{}", "application/json");
      });
    m_port = m_server.bind_to_any_port("127.0.0.1");
    m_thread = std::thread([this] { m_server.listen_after_bind(); });
  }

  ~SpanReceiver()
  {
    m_server.stop();
    m_thread.join();
  }

  std::string Url() const
  {
    return "http://127.0.0.1:" + std::to_string(m_port);
  }

  std::vector<json> Spans()
  {
    const std::lock_guard lock(m_mutex);
    return m_spans;
  }

private:
  void Take(const json& aBody)
  {
    const std::lock_guard lock(m_mutex);
    for (const json& resource : aBody.value("resourceSpans", json::array())) {
      for (const json& scope : resource["scopeSpans"]) {
        m_spans.insert(
          m_spans.end(), scope["spans"].begin(), scope["spans"].end());
      }
    }
  }

  httplib::Server m_server;
  int m_port = 0;
  std::mutex m_mutex;
  std::vector<json> m_spans;
  std::thread m_thread;
};

// Guards against hops that are missing from a trace or start one of their own.
TEST(Trace, ThreeDeepChainHasOneJoinedSpanPerHop)
{
  SpanReceiver receiver;
  Deployment deployment("association",
                        { { "association.Payouts", {} },
                          { "association.Ledgers", {} },
                          { "association.Settlements", {} } });
  deployment.TraceTo(receiver.Url());
  ASSERT_TRUE(deployment.Start());
  Caller caller(deployment.At(2).customer);
  constexpr char kOrder[] = "/association.Payouts/Order";
  ASSERT_TRUE(IsComplete(caller.Call(kOrder, "niran"), kOrder, "niran"));
  // Entry and ingress of the payout; egress and ingress of three calls.
  const std::map<std::string, int> expected = {
    { kOrder, 2 },
    { "/association.Ledgers/Roster", 2 },
    { "/association.Settlements/Tally", 2 },
    { "/association.Settlements/Lookup", 2 },
  };
  for (int i = 0; i < 500 && receiver.Spans().size() < 8; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  std::map<std::string, int> seen;
  std::map<std::string, std::string> names;
  const std::vector<json> spans = receiver.Spans();
  for (const json& span : spans) {
    const std::string name = span["name"].get<std::string>();
    ++seen[name];
    names[span["spanId"].get<std::string>()] = name;
    EXPECT_EQ(span["traceId"], spans[0]["traceId"]);
    EXPECT_NE(span["attributes"].dump().find("wb.attempts"), std::string::npos);
    EXPECT_NE(span["attributes"].dump().find("wb.queue_ms"), std::string::npos);
  }
  EXPECT_EQ(seen, expected);
  EXPECT_EQ(names.size(), 8U);
  int roots = 0;
  for (const json& span : spans) {
    const std::string parent = span.value("parentSpanId", "");
    roots += names.count(parent) == 0 ? 1 : 0;
  }
  EXPECT_EQ(roots, 1);
}

// Guards operators against metrics that stay at zero.
TEST(Metrics, CountRequestsErrorsAndAdmission)
{
  Deployment deployment("association", { { "association.Settlements", {} } });
  ASSERT_TRUE(deployment.Start());
  Caller caller(deployment.At(0).customer);
  caller.Call("/association.Settlements/Lookup", "trip");
  caller.Call("/association.Payouts/Order", "niran");
  const std::map<std::string, double> expected = {
    { "wb_requests_total{origin=\"customer\"}", 2 },
    { "wb_errors_total{origin=\"customer\",kind=\"no-target\"}", 1 },
    { "wb_completed_total", 1 },
    { "wb_attempts_total", 1 },
    { "wb_admission_limit", 100 },
    { "wb_admission_in_flight", 0 },
    { "wb_latency_seconds_count{class=\"lookup\"}", 1 },
  };
  for (const auto& [name, value] : expected) {
    EXPECT_EQ(deployment.Metric(0, name), value) << name;
  }
}

} // namespace
} // namespace wagtailbend::testing
