#include <thread>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "wagtailbend/http1/testing/endless_server.h"
#include "wagtailbend/http1/testing/io_thread.h"
#include "wagtailbend/http1/testing/scripted_server.h"
#include "wagtailbend/observability/event_log.h"
#include "wagtailbend/observability/metrics.h"
#include "wagtailbend/observability/otlp_exporter.h"
#include "wagtailbend/observability/trace.h"

namespace wagtailbend::observability {
namespace {

using testing::HasSubstr;

// Guards against log injection: an unescaped value that adds a line or a
// key=value pair.
TEST(EventLogTest, ValuesAreQuotedWhereNeeded)
{
  Event event("target_removed");
  event.Add("target", "10.0.0.1:80").Add("reason", "a \"b\"\nlevel=error");
  EXPECT_EQ(event.Line(),
            "event=target_removed target=10.0.0.1:80 "
            "reason=\"a \\\"b\\\"\\x0alevel=error\"");
}

// Guards against metrics that are missing from the exported text, and against
// a second AddCounter that resets the counter.
TEST(MetricsTest, TextContainsEveryMetric)
{
  MetricsRegistry registry;
  registry.AddCounter("wb_errors_total{kind=\"overloaded\"}", "Errors.").Add(2);
  registry.AddCounter("wb_errors_total{kind=\"overloaded\"}", "Errors.").Add(1);
  registry.AddGauge("wb_limit", "Limit.", [] { return 7.5; });
  DurationHistogram& histogram =
    registry.AddHistogram("wb_latency_seconds{class=\"short\"}", "Latency.");
  for (int i = 0; i < 100; ++i) {
    histogram.Record(std::chrono::milliseconds(i < 99 ? 1 : 1000));
  }
  const std::string text = registry.Text();
  EXPECT_THAT(text, HasSubstr("wb_errors_total{kind=\"overloaded\"} 3\n"));
  EXPECT_THAT(text, HasSubstr("wb_limit 7.5\n"));
  EXPECT_THAT(text, HasSubstr("wb_latency_seconds_count{class=\"short\"} 100"));
  EXPECT_NEAR(ToFractionalMilliseconds(histogram.Quantile(0.5)), 1.0, 0.25);
  EXPECT_GE(histogram.Quantile(1.0), std::chrono::milliseconds(1000));
}

// Guards against lost updates when several threads share a metric.
TEST(MetricsTest, ConcurrentAddsAreNotLost)
{
  Counter counter;
  DurationHistogram histogram;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      for (int j = 0; j < 10'000; ++j) {
        counter.Add(1);
        histogram.Record(std::chrono::microseconds(j));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  EXPECT_EQ(counter.Value(), 40'000U);
  EXPECT_EQ(histogram.Count(), 40'000U);
}

// Guards against a child span that starts a new trace or reuses the span ID of
// its parent, and against sampling at a rate of zero.
TEST(TraceTest, TraceparentRoundTripsAndChildKeepsTraceId)
{
  Rng rng(1);
  const TraceContext root = TraceContext::NewRoot(rng, 1'000'000);
  EXPECT_TRUE(root.sampled);
  EXPECT_EQ(TraceContext::Parse(root.ToString()), root);
  const TraceContext child = root.Child(rng);
  EXPECT_EQ(child.traceId, root.traceId);
  EXPECT_NE(child.spanId, root.spanId);
  EXPECT_FALSE(TraceContext::NewRoot(rng, 0).sampled);
}

// Guards against propagating a trace context from an invalid header: zero IDs,
// a non-hexadecimal digit or an unsupported version.
TEST(TraceTest, MalformedTraceparentIsRejected)
{
  for (const char* text :
       { "",
         "00-00000000000000000000000000000000-00f067aa0ba902b7-01",
         "00-4bf92f3577b34da6a3ce929d0e0e4736-0000000000000000-01",
         "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-0g",
         "01-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01" }) {
    EXPECT_EQ(TraceContext::Parse(text), std::nullopt) << text;
  }
}

// Guards against spans that an OTLP receiver cannot read, and against queued
// spans that are lost when the exporter is destroyed.
TEST(OtlpExporterTest, SendsSpansAsOtlpJson)
{
  httplib::Server server;
  std::string body;
  server.Post("/v1/traces",
              [&](const httplib::Request& aRequest, httplib::Response&) {
                body = aRequest.body;
              });
  const int port = server.bind_to_any_port("127.0.0.1");
  std::thread thread([&] { server.listen_after_bind(); });
  Rng rng(1);
  const Span span{ TraceContext::NewRoot(rng, 1'000'000),
                   5,
                   "ingress",
                   1,
                   2,
                   true,
                   { { "method", "/a.B/C" } } };
  {
    OtlpExporter exporter("http://127.0.0.1:" + std::to_string(port), "b-1");
    exporter.Export(span);
  }
  server.stop();
  thread.join();
  const auto json = nlohmann::json::parse(body);
  const auto& sent = json["resourceSpans"][0]["scopeSpans"][0]["spans"][0];
  EXPECT_EQ(sent["traceId"], span.context.traceId.ToString());
  EXPECT_EQ(sent["parentSpanId"], "0000000000000005");
  EXPECT_EQ(sent["status"]["code"], 2);
}

// Guards against unbounded memory use or blocking while the OTLP receiver is
// unreachable.
TEST(OtlpExporterTest, ReceiverOutageDropsSpans)
{
  OtlpExporter exporter("http://127.0.0.1:1", "b-1");
  for (int i = 0; i < 10'000; ++i) {
    exporter.Export(Span{});
  }
  EXPECT_GT(exporter.DroppedSpans(), 0U);
  EXPECT_EQ(exporter.SentSpans(), 0U);
}

// Guards against a receiver's response that uses up the daemon's memory.
TEST(OtlpExporterTest, EndlessResponsesEnd)
{
  const std::string statusLine = "HTTP/1.1 200 OK\r\n";
  for (const http1::testing::EndlessResponse& response :
       { http1::testing::EndlessResponse{ statusLine, "X: 1\r\n", {} },
         { statusLine + "\r\n", std::string(1024, 'x'), {} } }) {
    asio::io_context io;
    http1::testing::EndlessServer server(io, response);
    const auto endpoint = server.Endpoint();
    const http1::testing::IoThread thread(io);
    const TimePoint start = MonotonicNow();
    {
      OtlpExporter exporter(
        "http://127.0.0.1:" + std::to_string(endpoint.port()), "b-1");
      exporter.Export(Span{});
    }
    EXPECT_LT(MonotonicNow() - start, std::chrono::seconds(6));
  }
}

// Guards against spans that count as sent although nobody confirmed it.
TEST(OtlpExporterTest, ABrokenResponseDropsSpans)
{
  asio::io_context io;
  http1::testing::ScriptedServer server(io);
  server.AddResponse("HTTP/1.1 200 OK\r\nA B: x\r\nContent-Length: 0\r\n\r\n");
  const auto endpoint = server.Endpoint();
  const http1::testing::IoThread thread(io);
  OtlpExporter exporter("http://127.0.0.1:" + std::to_string(endpoint.port()),
                        "b-1");
  exporter.Export(Span{});
  for (int i = 0;
       i < 500 && exporter.DroppedSpans() + exporter.SentSpans() == 0;
       ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_EQ(exporter.DroppedSpans(), 1U);
  EXPECT_EQ(exporter.SentSpans(), 0U);
}

} // namespace
} // namespace wagtailbend::observability
