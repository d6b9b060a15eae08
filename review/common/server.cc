#include "review/common/server.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <poll.h>
#include <sys/socket.h>

#include <nlohmann/json.hpp>

#include "wagtailbend/base/rng.h"

namespace wagtailbend::review {
namespace {

using std::chrono::milliseconds;

constexpr auto kIdleTimeout = std::chrono::seconds(10);
constexpr auto kAcknowledgeTimeout = std::chrono::seconds(1);
constexpr int kPollMs = 50;
constexpr int kRestartMs = 2500;
constexpr size_t kReadBytes = 64UL * 1024;

/// Returns the number that the query of aPath gives aName, or aDefault.
int64_t
QueryNumber(const std::string& aPath,
            const std::string& aName,
            int64_t aDefault)
{
  const size_t at = aPath.find(aName + "=");
  if (at == std::string::npos) {
    return aDefault;
  }
  int64_t value = aDefault;
  std::from_chars(
    aPath.data() + at + aName.size() + 1, aPath.data() + aPath.size(), value);
  return value;
}

int64_t
UnixMs()
{
  return std::chrono::duration_cast<milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

std::string
NewId()
{
  return "i-" + std::to_string(ThreadRng()());
}

} // namespace

Server::Server(ServerOptions aOptions, Record& aRecord)
  : m_options(std::move(aOptions))
  , m_record(aRecord)
  , m_id(NewId())
  , m_bornMs(UnixMs())
{
}

Server::~Server()
{
  Stop();
}

bool
Server::Start()
{
  m_listener = ListenOn(m_options.host, m_options.port);
  if (m_listener < 0) {
    return false;
  }
  m_acceptor = std::thread([this] { Accept(); });
  m_heartbeats = std::thread([this] { SendHeartbeats(); });
  return true;
}

void
Server::Stop()
{
  if (m_stopping.exchange(true)) {
    return;
  }
  if (m_acceptor.joinable()) {
    m_acceptor.join();
  }
  if (m_heartbeats.joinable()) {
    m_heartbeats.join();
  }
  Connection(std::exchange(m_listener, -1)).Close();
  {
    const std::lock_guard lock(m_mutex);
    for (const int descriptor : m_connections) {
      shutdown(descriptor, SHUT_RDWR);
    }
  }
  while (m_serving > 0) {
    std::this_thread::sleep_for(milliseconds(5));
  }
}

std::vector<Run>
Server::Runs() const
{
  const std::lock_guard lock(m_mutex);
  return m_runs;
}

void
Server::Accept()
{
  while (!m_stopping) {
    if (m_crashed) {
      Restart();
      continue;
    }
    pollfd request{ m_listener, POLLIN, 0 };
    if (poll(&request, 1, kPollMs) <= 0) {
      continue;
    }
    const int descriptor = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) {
      continue;
    }
    ++m_serving;
    std::thread([this, descriptor] {
      Serve(descriptor);
      --m_serving;
    }).detach();
  }
}

void
Server::Crash(const std::string& aId)
{
  const std::lock_guard lock(m_mutex);
  if (m_crashed.exchange(true)) {
    return;
  }
  m_crashTimes.push_back(m_record.MillisecondsSinceStart());
  m_record.Add("server at " + m_options.host + " crashes by " + aId);
  shutdown(m_listener, SHUT_RDWR);
  for (const int descriptor : m_connections) {
    shutdown(descriptor, SHUT_RDWR);
  }
}

void
Server::Restart()
{
  Connection(std::exchange(m_listener, -1)).Close();
  for (int slept = 0; slept < kRestartMs && !m_stopping; slept += kPollMs) {
    std::this_thread::sleep_for(milliseconds(kPollMs));
  }
  {
    const std::lock_guard lock(m_mutex);
    m_id = NewId();
    m_bornMs = UnixMs();
  }
  m_listener = ListenOn(m_options.host, m_options.port);
  m_crashed = false;
}

std::string
Server::Id() const
{
  const std::lock_guard lock(m_mutex);
  return m_id;
}

std::vector<int64_t>
Server::CrashTimes() const
{
  const std::lock_guard lock(m_mutex);
  return m_crashTimes;
}

void
Server::Serve(int aDescriptor)
{
  Connection connection(aDescriptor);
  {
    const std::lock_guard lock(m_mutex);
    m_connections.insert(aDescriptor);
  }
  while (!m_stopping) {
    const auto head = connection.ReadHead(Clock::now() + kIdleTimeout);
    if (!head || !Answer(connection, *head)) {
      break;
    }
  }
  const std::lock_guard lock(m_mutex);
  m_connections.erase(aDescriptor);
}

bool
Server::ReadBody(Connection& aConnection, size_t aBytes) const
{
  const auto begin = Clock::now();
  for (size_t read = 0; read < aBytes;) {
    const size_t count = aConnection.Skip(std::min(kReadBytes, aBytes - read),
                                          Clock::now() + kIdleTimeout);
    if (count == 0) {
      return false;
    }
    read += count;
    std::this_thread::sleep_until(
      begin +
      std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(static_cast<double>(read) / m_bodyRate)));
  }
  return true;
}

bool
Server::Answer(Connection& aConnection, const Head& aHead)
{
  if (!ReadBody(aConnection, aHead.ContentLength())) {
    return false;
  }
  const std::string id = aHead.Header("attempt-id");
  const size_t space = aHead.startLine.find(' ');
  const std::string path =
    aHead.startLine.substr(space + 1, aHead.startLine.rfind(' ') - space - 1);
  const std::string expected = aHead.Header("expected-instance");
  if (!expected.empty() && expected != Id()) {
    return aConnection.SendAll("HTTP/1.1 421 Misdirected Request\r\n"
                               "Attempt-Id: " +
                               id + "\r\nContent-Length: 0\r\n\r\n");
  }
  size_t number = 0;
  {
    const std::lock_guard lock(m_mutex);
    number = m_runs.size();
    m_runs.push_back({ id, path, m_record.MillisecondsSinceStart(), -1 });
  }
  if (path.find(kCrashingPath) != std::string::npos) {
    Crash(id);
    return false;
  }
  std::this_thread::sleep_for(milliseconds(QueryNumber(path, "work", 10)));
  const std::string body(static_cast<size_t>(QueryNumber(path, "size", 100)),
                         'x');
  const bool sent =
    aConnection.SendAll("HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
                        "\r\nResponse-Signature: sig." + id +
                        "\r\nKeep-Alive: timeout=10\r\nContent-Length: " +
                        std::to_string(body.size()) + "\r\n\r\n") &&
    aConnection.SendAll(body);
  if (sent) {
    const std::lock_guard lock(m_mutex);
    m_runs[number].answeredMs = m_record.MillisecondsSinceStart();
  }
  return sent;
}

void
Server::SendHeartbeats()
{
  int sequence = 0;
  while (!m_stopping) {
    if (m_crashed) {
      std::this_thread::sleep_for(milliseconds(kPollMs));
      continue;
    }
    const std::string serverId = Id();
    const nlohmann::json beat = {
      { "Address", m_options.host + ":" + std::to_string(m_options.port) },
      { "born", m_bornMs },
      { "Information",
        { { "Service", m_options.service },
          { "Version", "v1" },
          { "Zone", m_options.zone },
          { "Slots", m_options.slots } } },
      { "Status",
        { { "State", "ready" },
          { "Sequence", ++sequence },
          { "ColdRemainingMs", 0 } } }
    };
    const std::string body = beat.dump();
    std::string request =
      "POST /v1/instances/" + serverId + "/heartbeat HTTP/1.1\r\n";
    request +=
      "Host: daemon\r\nContent-Type: application/json\r\nContent-Length: ";
    request += std::to_string(body.size());
    request += "\r\n\r\n";
    request += body;
    Connection connection =
      Connection::To(m_options.host, m_options.controlPort, 0);
    if (connection.IsOpen() && connection.SendAll(request)) {
      connection.ReadHead(Clock::now() + kAcknowledgeTimeout);
    }
    for (int slept = 0; slept < m_options.beatMs && !m_stopping;
         slept += kPollMs) {
      std::this_thread::sleep_for(milliseconds(kPollMs));
    }
  }
}

} // namespace wagtailbend::review
