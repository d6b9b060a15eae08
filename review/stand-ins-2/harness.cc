#include "review/stand-ins-2/harness.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace wagtailbend::review {
namespace {

using Json = nlohmann::json;

// Ports of a machine, as offsets from the base port.
constexpr int kClients = 0;
constexpr int kReady = 1;
constexpr int kControl = 2;
constexpr int kServer = 3;
constexpr int kInternal = 4;
constexpr int kPortsPerMachine = 16;
constexpr int kFirstPort = 14000;
// Below the ports that the system hands out.
constexpr int kPortRanges = 1100;
constexpr int kBeatMs = 1500;
constexpr int64_t kSecondMs = 1000;
// A client that was refused asks again after this time, or later if told so.
constexpr int64_t kPauseMs = 300;
constexpr int64_t kRecoveryMs = 15 * kSecondMs;
constexpr int64_t kAfterMs = 15 * kSecondMs;
constexpr double kServedShare = 0.25;

uint64_t
Random()
{
  static std::mutex mutex;
  static std::mt19937_64 engine{ std::random_device{}() };
  const std::lock_guard lock(mutex);
  return engine();
}

std::string
RandomHex()
{
  char text[17];
  std::snprintf(
    text, sizeof(text), "%016llx", static_cast<unsigned long long>(Random()));
  return text;
}

int64_t
UnixMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

sockaddr_in
MakeAddress(const std::string& aHost, int aPort)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<uint16_t>(aPort));
  inet_pton(AF_INET, aHost.c_str(), &address.sin_addr);
  return address;
}

bool
SendAll(int aSocket, const std::string& aBytes)
{
  size_t sent = 0;
  while (sent < aBytes.size()) {
    const ssize_t count =
      send(aSocket, aBytes.data() + sent, aBytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    sent += static_cast<size_t>(count);
  }
  return true;
}

int
Connect(const std::string& aHost, int aPort, int aReceiveBuffer)
{
  const int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aReceiveBuffer > 0) {
    setsockopt(
      file, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof(aReceiveBuffer));
  }
  const int one = 1;
  setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
  const sockaddr_in address = MakeAddress(aHost, aPort);
  if (connect(file,
              reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(file);
    return -1;
  }
  return file;
}

bool
IsFree(const std::string& aHost, int aPort)
{
  const int file = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(file, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in address = MakeAddress(aHost, aPort);
  const bool free =
    bind(file, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) ==
    0;
  close(file);
  return free;
}

std::string
Lower(std::string aText)
{
  std::transform(
    aText.begin(), aText.end(), aText.begin(), [](unsigned char aByte) {
      return static_cast<char>(std::tolower(aByte));
    });
  return aText;
}

/// Parses the lines of a head without the first one.
std::map<std::string, std::string>
ParseHeaders(const std::string& aHead)
{
  std::map<std::string, std::string> headers;
  std::istringstream lines(aHead);
  std::string line;
  std::getline(lines, line);
  while (std::getline(lines, line)) {
    const size_t colon = line.find(':');
    if (colon == std::string::npos) {
      continue;
    }
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(" \t"));
    value.erase(value.find_last_not_of(" \t\r") + 1);
    headers[Lower(line.substr(0, colon))] = value;
  }
  return headers;
}

/// Paces a reader to a number of bytes a second.
class Pace
{
public:
  explicit Pace(size_t aBytesPerSecond)
    : m_bytesPerSecond(aBytesPerSecond)
    , m_startMs(NowMs())
  {
  }

  void Wait(size_t aReadBytes)
  {
    m_bytes += aReadBytes;
    if (m_bytesPerSecond == 0) {
      return;
    }
    const auto dueMs =
      m_startMs + static_cast<int64_t>(m_bytes * 1000 / m_bytesPerSecond);
    if (dueMs > NowMs()) {
      SleepMs(dueMs - NowMs());
    }
  }

private:
  const size_t m_bytesPerSecond;
  const int64_t m_startMs;
  size_t m_bytes = 0;
};

} // namespace

int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

void
SleepMs(int64_t aMilliseconds)
{
  std::this_thread::sleep_for(std::chrono::milliseconds(aMilliseconds));
}

bool
WithTrouble()
{
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

Record::Record(const std::string& aPath)
  : m_file(open(aPath.c_str(),
                O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC | O_APPEND,
                0644))
  , m_startMs(NowMs())
{
}

Record::~Record()
{
  close(m_file);
}

void
Record::Line(const std::string& aText)
{
  const std::string line =
    std::to_string(NowMs() - m_startMs) + " ms " + aText + "\n";
  const std::lock_guard lock(m_mutex);
  if (write(m_file, line.data(), line.size()) < 0) {
    std::abort();
  }
}

Server::Server(ServerOptions aOptions, Record& aRecord)
  : m_options(std::move(aOptions))
  , m_record(aRecord)
  , m_id("i-" + RandomHex())
  , m_bornMs(UnixMs())
  , m_coldUntilMs(NowMs() + m_options.coldMs)
{
}

Server::~Server()
{
  End();
}

bool
Server::Start()
{
  m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
  const sockaddr_in address = MakeAddress(m_options.host, m_options.port);
  if (bind(m_listener,
           reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(m_listener, 512) != 0) {
    return false;
  }
  m_acceptor = std::thread([this] {
    while (!m_stopping) {
      const int file = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (file < 0) {
        return;
      }
      const std::lock_guard lock(m_mutex);
      m_sockets.push_back(file);
      m_workers.emplace_back([this, file] { Serve(file); });
    }
  });
  m_beats = std::thread([this] {
    for (int64_t next = NowMs(); !m_stopping && m_beating; SleepMs(10)) {
      if (NowMs() >= next) {
        next = NowMs() + kBeatMs;
        Tell("heartbeat", BeatBody(++m_sequence));
      }
    }
  });
  return true;
}

void
Server::End()
{
  if (m_stopping.exchange(true)) {
    return;
  }
  shutdown(m_listener, SHUT_RDWR);
  if (m_acceptor.joinable()) {
    m_acceptor.join();
  }
  if (m_beats.joinable()) {
    m_beats.join();
  }
  close(m_listener);
  {
    const std::lock_guard lock(m_mutex);
    for (const int file : m_sockets) {
      shutdown(file, SHUT_RDWR);
    }
  }
  for (std::thread& worker : m_workers) {
    worker.join();
  }
}

bool
Server::Leave()
{
  m_beating = false;
  if (m_beats.joinable()) {
    m_beats.join();
  }
  return Tell("deregister", Json{ { "born", m_bornMs } }.dump());
}

bool
Server::SendLateBeat()
{
  return Tell("heartbeat", BeatBody(m_sequence));
}

int64_t
Server::ColdRemainingMs() const
{
  return std::max<int64_t>(0, m_coldUntilMs - NowMs());
}

std::string
Server::BeatBody(int aSequence) const
{
  return Json{
    { "Address", m_options.host + ":" + std::to_string(m_options.port) },
    { "born", m_bornMs },
    { "Information",
      { { "Service", m_options.service },
        { "Version", "v1" },
        { "Zone", m_options.zone },
        { "Slots", m_options.slots } } },
    { "Status",
      { { "State", "ready" },
        { "Sequence", aSequence },
        { "ColdRemainingMs", ColdRemainingMs() } } }
  }.dump();
}

bool
Server::Tell(const std::string& aCall, const std::string& aBody) const
{
  const size_t colon = m_options.control.find(':');
  const int file = Connect(m_options.control.substr(0, colon),
                           std::stoi(m_options.control.substr(colon + 1)),
                           0);
  if (file < 0) {
    return false;
  }
  const bool sent = SendAll(
    file,
    "POST /v1/instances/" + m_id + "/" + aCall + " HTTP/1.1\r\nHost: " +
      m_options.control + "\r\nContent-Type: application/json\r\n" +
      "Connection: close\r\nContent-Length: " + std::to_string(aBody.size()) +
      "\r\n\r\n" + aBody);
  // An acknowledgement counts if it comes within a second.
  pollfd wait{ file, POLLIN, 0 };
  char bytes[512] = {};
  const bool answered = sent && poll(&wait, 1, 1000) == 1 &&
                        recv(file, bytes, sizeof(bytes) - 1, 0) > 12;
  close(file);
  return answered && std::strncmp(bytes + 9, "200", 3) == 0;
}

bool
Server::ReadRequest(int aSocket, std::string& aInput, ServerRequest& aRequest)
{
  size_t needed = 0;
  size_t headEnd = std::string::npos;
  while (headEnd == std::string::npos || aInput.size() < needed) {
    char bytes[16384];
    const ssize_t count = recv(aSocket, bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return false;
    }
    aInput.append(bytes, static_cast<size_t>(count));
    if (headEnd == std::string::npos) {
      headEnd = aInput.find("\r\n\r\n");
      if (headEnd == std::string::npos) {
        continue;
      }
      const std::string head = aInput.substr(0, headEnd + 2);
      aRequest.headers = ParseHeaders(head);
      std::istringstream line(head);
      line >> aRequest.method >> aRequest.path;
      const auto length = aRequest.headers.find("content-length");
      needed =
        headEnd + 4 +
        (length == aRequest.headers.end() ? 0 : std::stoul(length->second));
    }
  }
  aRequest.body = aInput.substr(headEnd + 4, needed - headEnd - 4);
  aInput.erase(0, needed);
  return true;
}

void
Server::Serve(int aSocket)
{
  std::string input;
  ServerRequest request;
  while (!m_stopping && ReadRequest(aSocket, input, request)) {
    if (!SendAll(aSocket, Respond(request))) {
      break;
    }
    request = {};
  }
  const std::lock_guard lock(m_mutex);
  std::erase(m_sockets, aSocket);
  close(aSocket);
}

std::string
Server::Respond(const ServerRequest& aRequest)
{
  const auto header = [&aRequest](const char* aName) {
    const auto found = aRequest.headers.find(aName);
    return found == aRequest.headers.end() ? std::string() : found->second;
  };
  const std::string id = header("attempt-id");
  const std::string expected = header("expected-instance");
  if (!expected.empty() && expected != m_id) {
    return "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + id +
           "\r\nInstance-Id: " + m_id + "\r\nContent-Length: 0\r\n\r\n";
  }
  {
    const std::lock_guard lock(m_mutex);
    ++m_runs[id];
    m_runTimes.push_back(NowMs());
  }
  m_record.Line("server " + m_id + " runs " + id + " " + aRequest.method + " " +
                aRequest.path);
  const int spread = m_options.spreadMs;
  const int work =
    m_options.workMs - spread + static_cast<int>(Random() % (2UL * spread + 1));
  SleepMs(ColdRemainingMs() > 0 ? work * m_options.coldFactor : work);
  std::string body = aRequest.path + "|" + id;
  if (m_options.responseBytes > 0 &&
      aRequest.path.find("/start") == std::string::npos) {
    body.resize(m_options.responseBytes, 'x');
  }
  return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id +
         "\r\nResponse-Signature: sig." + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::map<std::string, int>
Server::Runs() const
{
  const std::lock_guard lock(m_mutex);
  return m_runs;
}

std::vector<int64_t>
Server::RunsSince(int64_t aSinceMs) const
{
  const std::lock_guard lock(m_mutex);
  std::vector<int64_t> times;
  std::copy_if(m_runTimes.begin(),
               m_runTimes.end(),
               std::back_inserter(times),
               [aSinceMs](int64_t aTime) { return aTime >= aSinceMs; });
  return times;
}

std::string
Answer::Describe() const
{
  std::ostringstream text;
  text << id << " status " << status << (complete ? " complete" : " incomplete")
       << (isSigned ? " signed" : "") << " body " << bodyBytes << " of "
       << expectedBytes << " after " << endMs - sentMs << " ms " << error;
  return text.str();
}

Fleet::Fleet(const std::string& aRecordPath, std::vector<MachinePlan> aPlans)
  : m_record(aRecordPath)
{
  std::string pattern =
    std::filesystem::temp_directory_path() / "wagtailbend-review-XXXXXX";
  m_folder = mkdtemp(pattern.data());
  for (size_t i = 0; i < aPlans.size(); ++i) {
    Machine machine;
    machine.plan = aPlans[i];
    machine.host = "127.0.2." + std::to_string(i + 1);
    machine.settingsFile = m_folder + "/" + std::to_string(i) + ".conf";
    machine.logFile = m_folder + "/" + std::to_string(i) + ".log";
    machine.options.service = machine.plan.service;
    machine.options.zone = machine.plan.zone;
    machine.options.host = machine.host;
    m_machines.push_back(std::move(machine));
  }
}

Fleet::~Fleet()
{
  for (Machine& machine : m_machines) {
    if (machine.daemon > 0) {
      kill(machine.daemon, SIGKILL);
      waitpid(machine.daemon, nullptr, 0);
    }
    machine.server.reset();
  }
  std::error_code ignored;
  if (std::getenv("KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(m_folder, ignored);
  }
}

ServerOptions&
Fleet::OptionsOf(size_t aMachine)
{
  return m_machines[aMachine].options;
}

std::vector<std::string>
Fleet::Services() const
{
  std::set<std::string> services;
  for (const Machine& machine : m_machines) {
    services.insert(machine.plan.service);
  }
  return { services.begin(), services.end() };
}

std::string
Fleet::ConfigJson() const
{
  Json routes = Json::array();
  Json services = Json::array();
  const Json timeout = m_timeoutMs > 0 ? Json(m_timeoutMs) : Json(nullptr);
  for (const std::string& service : Services()) {
    const auto add = [&](const char* aKind, std::string_view aName, int aRank) {
      routes.push_back({ fmt::format("{}-{}", service, aName),
                         "crew.example",
                         fmt::format("/{}/{}/", service, aName),
                         aKind,
                         timeout,
                         1200,
                         aRank,
                         service,
                         2,
                         nullptr });
    };
    add("safe", "get", 2);
    add("unsafe", "post", 0);
    add("download", "file", 2);
    services.push_back({ service, "/health", 772, "h1", false });
  }
  return Json{
    { "Version", 7 },
    { "Routes",
      { { "Columns",
          { "Name",
            "Host",
            "Prefix",
            "Kind",
            "TimeoutMs",
            "TargetLatencyMs",
            "Priority",
            "Service",
            "MaxAttempts",
            "TrafficSplit" } },
        { "Rows", routes } } },
    { "Services",
      { { "Columns",
          { "Name", "HealthCheckPath", "ConnectionLimit", "Protocol", "Tls" } },
        { "Rows", services } } },
    { "Limits",
      { { "MaxHeaderBytes", 16384 },
        { "MaxBodyBytes", 67108864 },
        { "HeaderTimeoutMs", 3000 },
        { "IdleTimeoutMs", 15000 } } }
  }.dump();
}

std::string
Fleet::SettingsOf(const Machine& aMachine) const
{
  const auto address = [&](int aOffset) {
    return aMachine.host + ":" + std::to_string(m_basePort + aOffset);
  };
  std::ostringstream text;
  text << "SelfNode.NodeName=sidecar-" << aMachine.host << "\n"
       << "SelfNode.Role=wagtaild\nSelfNode.MachineClass=sidecar\n"
       << "SelfNode.Serves=sidecar\nSelfNode.Ip=" << aMachine.host << "\n"
       << "SelfNode.Zone=" << aMachine.plan.zone << "\n"
       << "SelfNode.Region=andaman\nSelfNode.Bootstrap=true\n"
       << "SelfNode.Limits.CpuShare=0.4\nSelfNode.Limits.Cores=1\n"
       << "SelfNode.Limits.MemoryMb=260\n"
       << "SelfNode.Limits.FileDescriptors=4100\n"
       << "SelfNode.AppAddress=" << address(kServer) << "\n"
       << "SelfNode.Service=" << aMachine.plan.service << "\n"
       << "Network.Listen.Outbound=" << address(kClients) << "\n"
       << "Network.Listen.Ready=" << address(kReady) << "\n"
       << "Network.Listen.Control=" << address(kControl) << "\n"
       << "Network.InternalPortRange=" << m_basePort + kInternal << ","
       << m_basePort + kPortsPerMachine - 1 << "\n"
       << "Network.SeedNodes=\nNetwork.Zones.ranong=andaman\n"
       << "Network.Zones.phuket=andaman\n"
       << "Platform.HeartbeatIntervalMs=" << kBeatMs << "\n"
       << "Platform.Platform.Address=" << m_store.Address() << "\n"
       << "Terms.Bounds.StableWindowMs=4000\nTerms.Bounds.DrainMs=2500\n"
       << "Terms.Bounds.GracePeriodS=6\nTerms.Bounds.LossSlackMs=200\n"
       << "Terms.Bounds.RetryBudgetRatio=0.2\n"
       << "Terms.Bounds.BudgetWindowS=10\n"
       << "Terms.Bounds.BudgetExtraRetries=49\n";
  return text.str();
}

void
Fleet::StartDaemon(size_t aMachine)
{
  Machine& machine = m_machines[aMachine];
  const char* program = std::getenv("WAGTAILD_HTTP");
  const std::string path =
    program == nullptr ? "target/bin/wagtaild-http" : program;
  const std::string settings = "WAGTAILBEND_SETTINGS=" + machine.settingsFile;
  const std::string searchPath =
    std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
  machine.daemon = fork();
  if (machine.daemon == 0) {
    // The daemon must not outlive a case that is interrupted.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
      open(machine.logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    const char* arguments[] = { path.c_str(), nullptr };
    const char* environment[] = { settings.c_str(),
                                  searchPath.c_str(),
                                  nullptr };
    execve(path.c_str(),
           const_cast<char**>(arguments),
           const_cast<char**>(environment));
    _exit(127);
  }
  m_record.Line("daemon " + std::to_string(aMachine) + " started as " +
                std::to_string(machine.daemon));
}

bool
Fleet::RestartServer(size_t aMachine)
{
  Machine& machine = m_machines[aMachine];
  machine.server.reset();
  machine.server = std::make_unique<Server>(machine.options, m_record);
  return machine.server->Start();
}

void
Fleet::SignalDaemon(size_t aMachine, int aSignal)
{
  m_record.Line("daemon " + std::to_string(aMachine) + " gets signal " +
                std::to_string(aSignal));
  kill(m_machines[aMachine].daemon, aSignal);
}

bool
Fleet::HasDaemonEnded(size_t aMachine)
{
  Machine& machine = m_machines[aMachine];
  int status = 0;
  if (machine.daemon > 0 && waitpid(machine.daemon, &status, WNOHANG) == 0) {
    return false;
  }
  if (machine.daemon > 0) {
    m_record.Line("daemon " + std::to_string(aMachine) +
                  " ended with wait status " + std::to_string(status));
  }
  machine.daemon = 0;
  return true;
}

uint64_t
Fleet::DaemonMemory(size_t aMachine) const
{
  std::ifstream file("/proc/" + std::to_string(m_machines[aMachine].daemon) +
                     "/statm");
  uint64_t size = 0;
  uint64_t resident = 0;
  file >> size >> resident;
  return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE));
}

bool
Fleet::IsReady(size_t aMachine) const
{
  const int file = Connect(m_machines[aMachine].host, m_basePort + kReady, 0);
  if (file < 0) {
    return false;
  }
  SendAll(file,
          "GET /v1/readiness HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n");
  pollfd wait{ file, POLLIN, 0 };
  char bytes[256] = {};
  const bool answered =
    poll(&wait, 1, 500) == 1 && recv(file, bytes, sizeof(bytes) - 1, 0) > 12;
  close(file);
  return answered && std::strncmp(bytes + 9, "200", 3) == 0;
}

bool
Fleet::WaitReady(size_t aMachine, int64_t aLimitMs) const
{
  for (const int64_t end = NowMs() + aLimitMs; NowMs() < end; SleepMs(20)) {
    if (IsReady(aMachine)) {
      return true;
    }
  }
  return false;
}

bool
Fleet::ChoosePorts()
{
  for (int tries = 0; tries < kPortRanges; ++tries) {
    m_basePort =
      kFirstPort + kPortsPerMachine * ((getpid() + tries) % kPortRanges);
    bool free = true;
    for (const Machine& machine : m_machines) {
      for (int offset = 0; offset < kPortsPerMachine; ++offset) {
        free = free && IsFree(machine.host, m_basePort + offset);
      }
    }
    if (free) {
      return true;
    }
  }
  return false;
}

bool
Fleet::Start()
{
  if (!ChoosePorts() || !m_store.Start("127.0.0.1")) {
    return false;
  }
  m_store.PutConfig(ConfigJson());
  for (size_t i = 0; i < m_machines.size(); ++i) {
    Machine& machine = m_machines[i];
    machine.options.port = m_basePort + kServer;
    machine.options.control =
      machine.host + ":" + std::to_string(m_basePort + kControl);
    std::ofstream(machine.settingsFile) << SettingsOf(machine);
    StartDaemon(i);
  }
  for (size_t i = 0; i < m_machines.size(); ++i) {
    if (!WaitReady(i, 10 * kSecondMs) || !RestartServer(i)) {
      return false;
    }
  }
  for (const Machine& machine : m_machines) {
    SleepMs(machine.server->ColdRemainingMs());
  }
  for (size_t i = 0; i < m_machines.size(); ++i) {
    for (const std::string& service : Services()) {
      ClientRequest request;
      request.path = "/" + service + "/get/start";
      Answer answer;
      for (int tries = 0; tries < 200 && answer.status != 200; ++tries) {
        answer = Ask(i, request);
        SleepMs(answer.status == 200 ? 0 : 25);
      }
      if (answer.status != 200) {
        m_record.Line("not up: " + answer.Describe());
        return false;
      }
    }
  }
  m_record.Line("all daemons answer for all services");
  return true;
}

Answer
Fleet::Ask(size_t aMachine, const ClientRequest& aRequest) const
{
  Answer answer;
  answer.id = RandomHex();
  answer.sentMs = NowMs();
  const int64_t end = answer.sentMs + aRequest.deadlineMs;
  // A client that reads slowly offers a small window.
  const int window = aRequest.readBytesPerSecond > 0 ? 64 * 1024 : 0;
  const int file =
    Connect(m_machines[aMachine].host, m_basePort + kClients, window);
  if (file < 0) {
    answer.error = "connection refused";
    answer.endMs = NowMs();
    return answer;
  }
  std::string bytes =
    aRequest.method + " " + aRequest.path + " HTTP/1.1\r\nHost: crew.example" +
    "\r\nAttempt-Id: " + answer.id +
    "\r\nDeadline-Milliseconds: " + std::to_string(aRequest.deadlineMs) +
    "\r\n";
  if (aRequest.method == "POST") {
    bytes += "Content-Length: " + std::to_string(aRequest.body.size()) + "\r\n";
  }
  bytes += "\r\n" + aRequest.body;
  SendAll(file, bytes);
  Pace pace(aRequest.readBytesPerSecond);
  std::string head;
  std::vector<char> buffer(16384);
  while (!answer.complete) {
    pollfd wait{ file, POLLIN, 0 };
    const int64_t left = end - NowMs();
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) != 1) {
      answer.error = "the client's deadline";
      break;
    }
    const ssize_t count = recv(file, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
      answer.error = count == 0 ? "the daemon closed the connection"
                                : "the connection was reset";
      break;
    }
    pace.Wait(static_cast<size_t>(count));
    if (answer.status != 0) {
      answer.bodyBytes += static_cast<size_t>(count);
    } else {
      head.append(buffer.data(), static_cast<size_t>(count));
      const size_t headEnd = head.find("\r\n\r\n");
      if (headEnd == std::string::npos) {
        continue;
      }
      answer.status = std::stoi(head.substr(9, 3));
      answer.bodyBytes = head.size() - headEnd - 4;
      const auto headers = ParseHeaders(head.substr(0, headEnd + 2));
      const auto length = headers.find("content-length");
      answer.expectedBytes =
        length == headers.end() ? 0 : std::stoul(length->second);
      answer.isSigned = headers.contains("response-signature");
      const auto wait = headers.find("retry-after");
      answer.retryAfterS = wait == headers.end() ? 0 : std::stod(wait->second);
    }
    answer.complete = answer.bodyBytes >= answer.expectedBytes;
  }
  close(file);
  answer.endMs = NowMs();
  return answer;
}

Clients::Clients(Fleet& aFleet, size_t aPerMachine, MakeRequest aMakeRequest)
  : m_fleet(aFleet)
  , m_makeRequest(std::move(aMakeRequest))
{
  for (size_t i = 0; i < aFleet.Size() * aPerMachine; ++i) {
    m_threads.emplace_back([this, i] { Run(i); });
  }
}

Clients::~Clients()
{
  m_stopping = true;
  for (std::thread& thread : m_threads) {
    thread.join();
  }
}

void
Clients::Run(size_t aClient)
{
  for (int number = 0; !m_stopping; ++number) {
    const ClientRequest request = m_makeRequest(aClient, number);
    const Answer answer = m_fleet.Ask(aClient % m_fleet.Size(), request);
    m_fleet.Log().Line("client " + std::to_string(aClient) + " asked for " +
                       request.path + " and got " + answer.Describe());
    if (answer.status != 200) {
      SleepMs(std::max(kPauseMs,
                       static_cast<int64_t>(answer.retryAfterS * kSecondMs)));
    }
    const std::lock_guard lock(m_mutex);
    m_answers.push_back(answer);
  }
}

Share
Clients::Between(int64_t aFromMs, int64_t aToMs) const
{
  const std::lock_guard lock(m_mutex);
  Share share;
  for (const Answer& answer : m_answers) {
    if (answer.sentMs < aFromMs || answer.sentMs >= aToMs) {
      continue;
    }
    ++share.asked;
    share.served += answer.status == 200 && answer.complete ? 1 : 0;
  }
  return share;
}

int
CheckRecovery(Fleet& aFleet,
              const Clients& aClients,
              int64_t aStartMs,
              int64_t aFaultMs,
              int64_t aBackMs)
{
  const int64_t fromMs = aBackMs + kRecoveryMs;
  SleepMs(fromMs + kAfterMs - NowMs());
  const Share before = aClients.Between(aStartMs, aFaultMs);
  const Share after = aClients.Between(fromMs, fromMs + kAfterMs);
  aFleet.Log().Line("served before the fault: " + before.Describe());
  aFleet.Log().Line("served later than 15 s after the machines are back: " +
                    after.Describe());
  if (before.Served() < kServedShare || after.asked == 0) {
    return kCouldNotRun;
  }
  return after.Served() < kServedShare ? kBroken : kHeld;
}

} // namespace wagtailbend::review
