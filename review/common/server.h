// A stand-in for a server of the users' platform: sends heartbeats to the
// daemon of its machine, runs requests and answers them.
//
//   Server server({ .service = "ledgers", .host = "127.0.4.1", ... }, record);
//   server.Start();

#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "review/common/connection.h"
#include "review/common/record.h"

namespace wagtailbend::review {

struct ServerOptions
{
  std::string service;
  std::string host;
  int port = 0;
  /// Port of the daemon that takes the heartbeats, on the same host.
  int controlPort = 0;
  std::string zone;
  int slots = 100;
  int beatMs = 500;
};

/// A run of a request.
struct Run
{
  std::string id;
  std::string path;
  int64_t startedMs = 0;
  /// -1: it is still running or its connection ended before.
  int64_t answeredMs = -1;

  bool operator==(const Run&) const = default;
};

/// A request whose path contains this text crashes the server that runs it.
inline constexpr const char* kCrashingPath = "/crash/";

/// Answers a request after the milliseconds that `work=` of its query names,
/// with as many bytes as `size=` names. Thread-safe.
class Server
{
public:
  Server(ServerOptions aOptions, Record& aRecord);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  bool Start();
  void Stop();
  /// From now on reads the bodies of requests at this rate.
  void ReadBodiesAt(double aBytesPerSecond) { m_bodyRate = aBytesPerSecond; }
  std::vector<Run> Runs() const;
  /// Times of the crashes, in milliseconds since the start of the record.
  std::vector<int64_t> CrashTimes() const;

private:
  void Accept();
  void Serve(int aDescriptor);
  /// Returns false if the connection ended first.
  bool ReadBody(Connection& aConnection, size_t aBytes) const;
  /// Returns false if the connection ended.
  bool Answer(Connection& aConnection, const Head& aHead);
  void SendHeartbeats();
  /// Ends all connections and starts to refuse new ones.
  void Crash(const std::string& aId);
  /// Starts again some seconds after a crash.
  void Restart();
  std::string Id() const;

  const ServerOptions m_options;
  Record& m_record;
  std::atomic<bool> m_stopping{ false };
  /// Bytes per second.
  std::atomic<double> m_bodyRate{ 1e9 };
  std::atomic<int> m_serving{ 0 };
  std::atomic<bool> m_crashed{ false };
  int m_listener = -1;
  std::thread m_acceptor;
  std::thread m_heartbeats;
  mutable std::mutex m_mutex;
  /// New after each crash.
  std::string m_id;
  int64_t m_bornMs = 0;
  std::vector<int64_t> m_crashTimes;
  std::vector<Run> m_runs;
  std::set<int> m_connections;
};

} // namespace wagtailbend::review
