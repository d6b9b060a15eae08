#include "wagtailbend/observability/otlp_exporter.h"

#include <httplib.h>

namespace wagtailbend::observability {
namespace {

constexpr size_t kMaxQueuedSpans = 4096;
constexpr auto kBatchInterval = std::chrono::milliseconds(200);
constexpr auto kRequestTimeout = std::chrono::milliseconds(500);
constexpr int kHttpOk = 200;

} // namespace

OtlpExporter::OtlpExporter(std::string aBaseUrl, std::string aServiceName)
  : m_baseUrl(std::move(aBaseUrl))
  , m_serviceName(std::move(aServiceName))
  , m_thread([this] { Run(); })
{
}

OtlpExporter::~OtlpExporter()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_stopCondition.notify_one();
  m_thread.join();
}

void
OtlpExporter::Export(Span aSpan)
{
  const std::lock_guard lock(m_mutex);
  if (m_queue.size() >= kMaxQueuedSpans) {
    m_dropped.fetch_add(1);
    return;
  }
  m_queue.push_back(std::move(aSpan));
}

void
OtlpExporter::Run()
{
  bool stopping = false;
  while (!stopping) {
    std::vector<Span> batch;
    {
      std::unique_lock lock(m_mutex);
      m_stopCondition.wait_for(
        lock, kBatchInterval, [this] { return m_stopping; });
      stopping = m_stopping;
      batch.swap(m_queue);
    }
    if (!batch.empty()) {
      Send(batch);
    }
  }
}

void
OtlpExporter::Send(const std::vector<Span>& aBatch)
{
  httplib::Client client(m_baseUrl);
  client.set_connection_timeout(kRequestTimeout);
  client.set_read_timeout(kRequestTimeout);
  const auto response = client.Post(
    "/v1/traces", EncodeOtlpJson(m_serviceName, aBatch), "application/json");
  if (response && response->status == kHttpOk) {
    m_sent.fetch_add(aBatch.size());
    return;
  }
  m_dropped.fetch_add(aBatch.size());
}

} // namespace wagtailbend::observability
