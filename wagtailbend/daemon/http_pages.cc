#include "wagtailbend/daemon/http_pages.h"

#include <thread>
#include <utility>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "wagtailbend/settings/settings.h"

namespace wagtailbend::daemon {
namespace {

// Announcements, heartbeats and status are a few requests per second.
constexpr int kHttpThreads = 3;
constexpr char kJson[] = "application/json";
constexpr char kText[] = "text/plain; version=0.0.4";

void
AnswerError(httplib::Response& aResponse, int aStatus, const Error& aError)
{
  aResponse.status = aStatus;
  nlohmann::json body = { { "error", ErrorResponseFor(aError.kind).name },
                          { "detail", aError.detail } };
  aResponse.set_content(body.dump(), kJson);
}

void
AnswerResult(httplib::Response& aResponse, const std::optional<Error>& aError)
{
  if (aError) {
    AnswerError(aResponse, 409, *aError);
    return;
  }
  aResponse.set_content("{}", kJson);
}

std::optional<Announcement>
ParseAnnouncement(const nlohmann::json& aJson)
{
  if (!aJson.is_object() || !aJson.contains("service") ||
      !aJson["service"].is_string() || !aJson.contains("address") ||
      !aJson["address"].is_string()) {
    return std::nullopt;
  }
  auto number = [&aJson](const char* aKey) -> uint32_t {
    auto found = aJson.find(aKey);
    return found != aJson.end() && found->is_number_unsigned()
             ? found->get<uint32_t>()
             : 0;
  };
  Announcement announcement;
  announcement.service = aJson["service"].get<std::string>();
  announcement.address = aJson["address"].get<std::string>();
  announcement.slots = number("slots");
  announcement.connections = number("connections");
  auto cold = aJson.find("cold");
  announcement.cold = cold != aJson.end() && *cold == true;
  return announcement;
}

} // namespace

struct HttpPages::Running
{
  httplib::Server server;
  std::thread thread;
};

HttpPages::HttpPages(HttpHandlers aHandlers)
  : m_handlers(std::move(aHandlers))
  , m_running(std::make_unique<Running>())
{
  httplib::Server& server = m_running->server;
  server.new_task_queue = [] { return new httplib::ThreadPool(kHttpThreads); };
  // A kept connection would hold one of the few threads.
  server.set_keep_alive_max_count(1);
  AddTargetPages();
  AddReadPages();
}

HttpPages::~HttpPages()
{
  Stop();
}

void
HttpPages::AddTargetPages()
{
  using httplib::Request;
  using httplib::Response;
  httplib::Server& server = m_running->server;
  server.Post("/v1/target/announce",
              [this](const Request& aRequest, Response& aResponse) {
                auto json =
                  nlohmann::json::parse(aRequest.body, nullptr, false);
                auto announcement = ParseAnnouncement(json);
                if (!announcement) {
                  AnswerError(aResponse,
                              400,
                              { ErrorKind::kInvalidRequest,
                                "service and address are required" });
                  return;
                }
                AnswerResult(aResponse, m_handlers.announce(*announcement));
              });
  server.Post("/v1/target/heartbeat",
              [this](const Request& aRequest, Response& aResponse) {
                auto json =
                  nlohmann::json::parse(aRequest.body, nullptr, false);
                double load = json.is_object() && json.contains("load") &&
                                  json["load"].is_number()
                                ? json["load"].get<double>()
                                : 0;
                AnswerResult(aResponse, m_handlers.heartbeat(load));
              });
  server.Post("/v1/target/drain", [this](const Request&, Response& aResponse) {
    m_handlers.drain();
    AnswerResult(aResponse, std::nullopt);
  });
}

void
HttpPages::AddReadPages()
{
  using httplib::Request;
  using httplib::Response;
  httplib::Server& server = m_running->server;
  server.Get("/metrics", [this](const Request&, Response& aResponse) {
    aResponse.set_content(m_handlers.metrics(), kText);
  });
  server.Get("/status", [this](const Request&, Response& aResponse) {
    aResponse.set_content(m_handlers.status(), kJson);
  });
}

std::optional<Error>
HttpPages::Start(const std::string& aAddress)
{
  std::string host;
  uint16_t port = 0;
  if (!settings::ParseAddress(aAddress, host, port) ||
      !m_running->server.bind_to_port(host, port)) {
    return Error{ ErrorKind::kInternal, "cannot listen on " + aAddress };
  }
  m_running->thread =
    std::thread([this] { m_running->server.listen_after_bind(); });
  return std::nullopt;
}

void
HttpPages::Stop()
{
  m_running->server.stop();
  if (m_running->thread.joinable()) {
    m_running->thread.join();
  }
}

} // namespace wagtailbend::daemon
