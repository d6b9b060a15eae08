#include "wagtailbend/observability/otlp_exporter.h"

namespace wagtailbend::observability {
namespace {

constexpr size_t kMaxQueuedSpans = 4096;
constexpr auto kBatchInterval = std::chrono::milliseconds(200);
constexpr Duration kRequestTimeout = std::chrono::milliseconds(500);
constexpr http1::ParseLimits kResponseLimits = { 16UL * 1024, 64UL * 1024 };
constexpr uint16_t kDefaultPort = 80;
constexpr int kHttpOk = 200;

std::unique_ptr<http1::BlockingClient>
MakeClient(const std::string& aBaseUrl)
{
  auto server = http1::ParseHttpUrl(aBaseUrl, kDefaultPort);
  if (!server) {
    return nullptr;
  }
  return std::make_unique<http1::BlockingClient>(
    std::move(*server),
    http1::BlockingClientOptions{
      kRequestTimeout, kRequestTimeout, kRequestTimeout, kResponseLimits });
}

} // namespace

OtlpExporter::OtlpExporter(const std::string& aBaseUrl,
                           std::string aServiceName)
  : m_client(MakeClient(aBaseUrl))
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
  if (m_client != nullptr) {
    http1::RequestMessage request;
    request.method = "POST";
    request.target = "/v1/traces";
    request.body = EncodeOtlpJson(m_serviceName, aBatch);
    http1::SetHeader(request.headers, "Content-Type", "application/json");
    const http1::ClientResult result =
      m_client->Perform(std::move(request), kRequestTimeout);
    const auto* received = std::get_if<http1::CompleteResponse>(&result);
    if (received != nullptr && received->response.status == kHttpOk) {
      m_sent.fetch_add(aBatch.size());
      return;
    }
  }
  m_dropped.fetch_add(aBatch.size());
}

} // namespace wagtailbend::observability
