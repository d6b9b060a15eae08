// Stand-ins and process control for the cases of this folder.
//
//   Fleet fleet("record.txt", { { "ledgers", "ranong" } });
//   fleet.Start();
//   Answer answer = fleet.Ask(0, { .path = "/ledgers/get/1" });

#pragma once

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

#include "platform/testing/fake_store.h"

namespace wagtailbend::review {

/// Milliseconds of the steady clock.
int64_t
NowMs();

void
SleepMs(int64_t aMilliseconds);

/// Writes one line per event to a file. Thread-safe.
class Record
{
public:
  explicit Record(const std::string& aPath);
  ~Record();
  Record(const Record&) = delete;
  Record& operator=(const Record&) = delete;

  void Line(const std::string& aText);

private:
  std::mutex m_mutex;
  int m_file = -1;
  const int64_t m_startMs;
};

/// A request as a server reads it.
struct ServerRequest
{
  std::string method;
  std::string path;
  std::map<std::string, std::string> headers;
  std::string body;
};

struct ServerOptions
{
  std::string service;
  std::string zone;
  std::string host;
  int port = 0;
  /// IPv4:port at which the daemon takes heartbeats.
  std::string control;
  int slots = 100;
  int workMs = 10;
  /// Largest deviation from it, drawn for each run.
  int spreadMs = 0;
  /// Time after its start for which the server takes coldFactor times as long.
  int64_t coldMs = 0;
  int coldFactor = 2;
  /// Bytes of a response; 0: a short text.
  size_t responseBytes = 0;
};

/// An application server. Thread-safe.
class Server
{
public:
  Server(ServerOptions aOptions, Record& aRecord);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  bool Start();
  /// Ends the server without a word, with all its connections.
  void End();
  /// Says that it leaves, and beats no more. Returns true if that was
  /// acknowledged.
  bool Leave();
  /// Sends once more a heartbeat that was sent before it left.
  bool SendLateBeat();

  int64_t ColdRemainingMs() const;

  /// Number of runs by Attempt-Id.
  std::map<std::string, int> Runs() const;
  /// Times of the runs that began at aSinceMs or later.
  std::vector<int64_t> RunsSince(int64_t aSinceMs) const;

private:
  void Serve(int aSocket);
  bool ReadRequest(int aSocket, std::string& aInput, ServerRequest& aRequest);
  std::string Respond(const ServerRequest& aRequest);
  std::string BeatBody(int aSequence) const;
  bool Tell(const std::string& aCall, const std::string& aBody) const;

  const ServerOptions m_options;
  Record& m_record;
  const std::string m_id;
  const int64_t m_bornMs;
  const int64_t m_coldUntilMs;
  std::atomic<bool> m_stopping{ false };
  std::atomic<bool> m_beating{ true };
  std::atomic<int> m_sequence{ 0 };
  int m_listener = -1;
  std::thread m_acceptor;
  std::thread m_beats;
  mutable std::mutex m_mutex;
  std::list<std::thread> m_workers;
  std::vector<int> m_sockets;
  std::map<std::string, int> m_runs;
  std::deque<int64_t> m_runTimes;
};

struct MachinePlan
{
  std::string service;
  std::string zone;
};

struct ClientRequest
{
  std::string method = "GET";
  std::string path;
  std::string body;
  int deadlineMs = 5000;
  /// Bytes a second that the client reads; 0: as they come.
  size_t readBytesPerSecond = 0;
};

/// What a client got.
struct Answer
{
  std::string id;
  /// 0: no answer.
  int status = 0;
  /// The head and as many bytes of the body as it names.
  bool complete = false;
  size_t bodyBytes = 0;
  size_t expectedBytes = 0;
  bool isSigned = false;
  int64_t sentMs = 0;
  int64_t endMs = 0;
  /// Retry-After in seconds; 0: none.
  double retryAfterS = 0;
  std::string error;

  std::string Describe() const;
};

/// Daemons, their servers and the store on loopback addresses.
class Fleet
{
public:
  Fleet(const std::string& aRecordPath, std::vector<MachinePlan> aPlans);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Options for the server of a machine; call before Start.
  ServerOptions& OptionsOf(size_t aMachine);
  /// TimeoutMs of all routes; call before Start. 0: none.
  void SetTimeoutMs(int aMilliseconds) { m_timeoutMs = aMilliseconds; }
  /// Starts everything and waits until each daemon answers for each service.
  bool Start();
  void StartDaemon(size_t aMachine);
  /// Ends the server of a machine, if it runs, and starts another one.
  bool RestartServer(size_t aMachine);
  void SignalDaemon(size_t aMachine, int aSignal);
  /// Returns true if the daemon has ended. Reaps it.
  bool HasDaemonEnded(size_t aMachine);
  /// Resident memory in bytes; 0 if it has ended.
  uint64_t DaemonMemory(size_t aMachine) const;
  bool IsReady(size_t aMachine) const;
  bool WaitReady(size_t aMachine, int64_t aLimitMs) const;
  Answer Ask(size_t aMachine, const ClientRequest& aRequest) const;

  Server& ServerOf(size_t aMachine) { return *m_machines[aMachine].server; }
  users_platform::testing::FakeStore& Store() { return m_store; }
  Record& Log() { return m_record; }
  size_t Size() const { return m_machines.size(); }

private:
  struct Machine
  {
    MachinePlan plan;
    std::string host;
    std::string settingsFile;
    std::string logFile;
    ServerOptions options;
    std::unique_ptr<Server> server;
    pid_t daemon = 0;
  };

  bool ChoosePorts();
  std::vector<std::string> Services() const;
  std::string ConfigJson() const;
  std::string SettingsOf(const Machine& aMachine) const;

  Record m_record;
  users_platform::testing::FakeStore m_store;
  std::vector<Machine> m_machines;
  std::string m_folder;
  int m_basePort = 0;
  int m_timeoutMs = 0;
};

/// How many requests were sent and served.
struct Share
{
  int asked = 0;
  int served = 0;

  double Served() const
  {
    return asked == 0 ? 0 : static_cast<double>(served) / asked;
  }
  std::string Describe() const
  {
    return std::to_string(served) + " of " + std::to_string(asked);
  }
};

/// Clients at each machine of a fleet, which must outlive them. Each sends one
/// request after the other, and asks again after a refusal when it is told to.
class Clients
{
public:
  /// Makes the request with this number of a client.
  using MakeRequest = std::function<ClientRequest(size_t aClient, int aNumber)>;

  Clients(Fleet& aFleet, size_t aPerMachine, MakeRequest aMakeRequest);
  ~Clients();
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;

  /// Requests that were sent in this time.
  Share Between(int64_t aFromMs, int64_t aToMs) const;

private:
  void Run(size_t aClient);

  Fleet& m_fleet;
  const MakeRequest m_makeRequest;
  std::atomic<bool> m_stopping{ false };
  mutable std::mutex m_mutex;
  std::vector<Answer> m_answers;
  std::vector<std::thread> m_threads;
};

/// Checks the rule RECOVER for a fault at aFaultMs after which all machines are
/// back at aBackMs. Lasts until 30 s after that. Returns an exit status.
int
CheckRecovery(Fleet& aFleet,
              const Clients& aClients,
              int64_t aStartMs,
              int64_t aFaultMs,
              int64_t aBackMs);

/// Exit statuses of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Returns false if the environment has TROUBLE=0.
bool
WithTrouble();

} // namespace wagtailbend::review
