#include "testing/fakes/fake_platform_server.h"

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include "wagtailbend/store/codec.h"

namespace wagtailbend::testing_fakes {
namespace {

using namespace wagtailbend::store;
using httplib::Request;
using httplib::Response;

constexpr const char* kJson = "application/json";

// Enough threads for delayed requests not to block the others.
constexpr size_t kServerThreads = 16;

void
SendError(Response& aResponse, const Error& aError)
{
  aResponse.status = aError.kind == ErrorKind::kInvalidRequest ? 400 : 503;
  aResponse.set_content(EncodeNotApplied(aError.detail), kJson);
}

// Announces a body and closes the connection before sending it.
void
LoseReply(Response& aResponse)
{
  constexpr size_t kAnnouncedBytes = 1000;
  aResponse.set_content_provider(
    kAnnouncedBytes, kJson, [](size_t, size_t, httplib::DataSink&) {
      return false;
    });
}

void
SendAbsent(Response& aResponse)
{
  aResponse.status = 404;
  aResponse.set_content(R"({"error":"absent"})", kJson);
}

struct TransactResponder
{
  Response& response;

  void operator()(const Committed& aCommitted) const
  {
    response.set_content(EncodeCommitted(aCommitted), kJson);
  }
  void operator()(const Conflict& aConflict) const
  {
    response.status = 409;
    response.set_content(EncodeConflict(aConflict), kJson);
  }
  void operator()(const Refused& aRefused) const
  {
    SendError(response, aRefused.error);
  }
  void operator()(const Unknown&) const { LoseReply(response); }
  void operator()(const Done&) const { response.status = 204; }
};

} // namespace

Result<Faults>
ParseFaults(const std::string& aJson)
{
  try {
    const auto json = nlohmann::json::parse(aJson);
    Faults faults;
    const auto kind = FaultKindFromName(json.value("kind", "none"));
    if (!kind) {
      return Error{ ErrorKind::kInvalidRequest,
                    "kind: must be none, down, reply-lost or request-lost" };
    }
    faults.kind = *kind;
    faults.delay = std::chrono::milliseconds(json.value("delayMs", 0U));
    faults.skip = json.value("skip", 0U);
    faults.everyNth = json.value("everyNth", 1U);
    faults.limit = json.value("limit", 0U);
    for (const std::string& name :
         json.value("operations", std::vector<std::string>())) {
      const auto operation = OperationFromName(name);
      if (!operation) {
        return Error{ ErrorKind::kInvalidRequest,
                      fmt::format("operations: \"{}\" must be transact, read, "
                                  "list, put or get",
                                  name) };
      }
      faults.operations.insert(*operation);
    }
    return faults;
  } catch (const std::exception& e) {
    return Error{ ErrorKind::kInvalidRequest, e.what() };
  }
}

FakePlatformServer::FakePlatformServer(InMemoryPlatform& aStore)
  : m_store(aStore)
  , m_server(std::make_unique<httplib::Server>())
{
  m_server->new_task_queue = [] {
    return new httplib::ThreadPool(kServerThreads);
  };
  m_server->set_tcp_nodelay(true);
  // The library's default, SO_REUSEPORT, lets two servers bind one port.
  m_server->set_socket_options([](socket_t aSocket) {
    const int on = 1;
    setsockopt(aSocket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  });
  m_server->Post("/v1/faults", [this](const Request& aReq, Response& aRes) {
    auto faults = ParseFaults(aReq.body);
    if (const Error* error = GetError(faults)) {
      SendError(aRes, *error);
      return;
    }
    m_store.SetFaults(GetValue(faults));
    aRes.status = 204;
  });
  AddTableRoutes();
  AddObjectRoutes();
}

FakePlatformServer::~FakePlatformServer()
{
  Stop();
}

void
FakePlatformServer::AddTableRoutes()
{
  m_server->Post("/v1/table/transact",
                 [this](const Request& aReq, Response& aRes) {
                   auto request = DecodeTransact(aReq.body);
                   if (const Error* error = GetError(request)) {
                     SendError(aRes, *error);
                     return;
                   }
                   std::visit(TransactResponder{ aRes },
                              m_store.Transact(GetValue(request)));
                 });
  m_server->Get(R"(/v1/table/([^/]+)/([\s\S]+))",
                [this](const Request& aReq, Response& aRes) {
                  auto row = m_store.ReadRow(aReq.matches[1], aReq.matches[2]);
                  if (const Error* error = GetError(row)) {
                    SendError(aRes, *error);
                  } else if (!GetValue(row)) {
                    SendAbsent(aRes);
                  } else {
                    aRes.set_content(EncodeRow(*GetValue(row)), kJson);
                  }
                });
  m_server->Get(
    R"(/v1/table/([^/]+))", [this](const Request& aReq, Response& aRes) {
      auto rows =
        m_store.ListRows(aReq.matches[1], aReq.get_param_value("prefix"));
      if (const Error* error = GetError(rows)) {
        SendError(aRes, *error);
      } else {
        aRes.set_content(EncodeRows(GetValue(rows)), kJson);
      }
    });
}

void
FakePlatformServer::AddObjectRoutes()
{
  m_server->Put(R"(/v1/objects/([\s\S]+))",
                [this](const Request& aReq, Response& aRes) {
                  std::visit(TransactResponder{ aRes },
                             m_store.PutObject(aReq.matches[1], aReq.body));
                });
  m_server->Get(
    R"(/v1/objects/([\s\S]+))", [this](const Request& aReq, Response& aRes) {
      auto object = m_store.GetObject(aReq.matches[1]);
      if (const Error* error = GetError(object)) {
        SendError(aRes, *error);
      } else if (!GetValue(object)) {
        SendAbsent(aRes);
      } else {
        aRes.set_content(*GetValue(object), "application/octet-stream");
      }
    });
}

bool
FakePlatformServer::Start(const std::string& aHost, int aPort)
{
  m_host = aHost;
  m_port = aPort;
  if (aPort == 0) {
    m_port = m_server->bind_to_any_port(aHost);
  } else if (!m_server->bind_to_port(aHost, aPort)) {
    return false;
  }
  if (m_port <= 0) {
    return false;
  }
  m_thread = std::thread([this] { m_server->listen_after_bind(); });
  // Server::stop has no effect before the accept loop runs.
  while (!m_server->is_running()) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

void
FakePlatformServer::Stop()
{
  if (!m_thread.joinable()) {
    return;
  }
  m_server->stop();
  m_thread.join();
}

std::string
FakePlatformServer::Url() const
{
  return fmt::format("http://{}:{}", m_host, m_port);
}

} // namespace wagtailbend::testing_fakes
