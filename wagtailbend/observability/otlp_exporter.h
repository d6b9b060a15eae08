// Sends spans in batches to an OTLP/HTTP receiver on a background thread.
//
//   OtlpExporter exporter("http://127.0.0.1:4318", "balances-1");
//   exporter.Export(std::move(span));

#pragma once

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "wagtailbend/http1/blocking_client.h"
#include "wagtailbend/observability/trace.h"

namespace wagtailbend::observability {

/// Thread-safe. Spans are dropped and counted when the receiver is slow or
/// unreachable, so that tracing neither delays the daemon nor uses unbounded
/// memory.
class OtlpExporter : public SpanSink
{
public:
  /// Posts to "/v1/traces" of aBaseUrl. All spans are dropped if that is no URL
  /// of the form "http://HOST:PORT"; the port is 80 if it is left out.
  OtlpExporter(const std::string& aBaseUrl, std::string aServiceName);
  /// Sends the queued spans in a final request, within the request timeouts.
  ~OtlpExporter() override;
  OtlpExporter(const OtlpExporter&) = delete;
  OtlpExporter& operator=(const OtlpExporter&) = delete;

  void Export(Span aSpan) override;
  uint64_t DroppedSpans() const { return m_dropped.load(); }
  uint64_t SentSpans() const { return m_sent.load(); }

private:
  void Run();
  void Send(const std::vector<Span>& aBatch);

  /// Null if the URL is invalid.
  const std::unique_ptr<http1::BlockingClient> m_client;
  const std::string m_serviceName;
  std::mutex m_mutex;
  std::condition_variable m_stopCondition;
  std::vector<Span> m_queue;
  bool m_stopping = false;
  std::atomic<uint64_t> m_dropped{ 0 };
  std::atomic<uint64_t> m_sent{ 0 };
  std::thread m_thread;
};

} // namespace wagtailbend::observability
