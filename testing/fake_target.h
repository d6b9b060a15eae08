// A target with switchable faults, for tests and benchmarks. It serves every
// method of both schemas by name.
//
//   FakeTarget target(options);
//   if (target.Start()) { target.Drain(); }

#pragma once

#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include <grpcpp/channel.h>
#include <grpcpp/generic/async_generic_service.h>
#include <grpcpp/generic/generic_stub.h>
#include <grpcpp/server.h>

#include "wagtailbend/schema/schema.h"

namespace wagtailbend::testing {

struct FakeTargetOptions
{
  /// Full service name.
  std::string service;
  std::string address;
  /// Egress address of the local daemon; "" for no downstream calls.
  std::string egress;
  uint32_t slots = 100;
  std::chrono::microseconds serviceTime{ 0 };
  uint32_t pages = 64;
  size_t pageBytes = 65536;
  /// Append-only file with one JSON line per order run; "" for none.
  std::string orderFile;
};

/// Faults, switched at any time from any thread.
struct FakeFaults
{
  /// Multiplies the service time.
  std::atomic<double> slow{ 1 };
  /// Answers no call and leaves it open.
  std::atomic<bool> silent{ false };
  /// Answers with the ids of the request before.
  std::atomic<bool> swap{ false };
  /// Leaves out the last page or the response message.
  std::atomic<bool> cut{ false };
  /// Sends the first page twice.
  std::atomic<bool> duplicate{ false };
  /// Reports the load of this long ago.
  std::atomic<int64_t> lagMs{ 0 };

  /// A crash ends the connections this long before the listening socket, as on
  /// a busy machine.
  std::atomic<int64_t> crashLingerMs{ 0 };

  /// Raised to silence all connections that are open at that moment; new ones
  /// work. Needs the relay.
  std::atomic<uint32_t> muteRequests{ 0 };

  void SetCrashKey(const std::string& aKey);
  std::string CrashKey() const;

private:
  mutable std::mutex m_mutex;
  std::string m_crashKey;
};

/// Thread-safe.
class FakeTarget
{
public:
  FakeTarget(FakeTargetOptions aOptions, schema::Schema aSchema);
  ~FakeTarget();

  /// Returns false if the address is in use. With port 0 any free port is used.
  bool Start();
  /// "127.0.0.1:port" after Start.
  std::string BoundAddress() const;
  /// Waits until no call runs, at most aLimit, then stops the server.
  void Drain(std::chrono::milliseconds aLimit);

  FakeFaults& Faults() { return m_faults; }
  const FakeTargetOptions& Options() const { return m_options; }
  const schema::Schema& Schema() const { return m_schema; }
  /// Share of the slots in use, with the lag fault applied.
  double ReportedLoad();
  uint64_t Served() const { return m_served; }
  /// Calls that reached the target, rejected ones included.
  uint64_t Received() const { return m_received; }

private:
  friend class FakeCall;
  class Service;

  void RecordOrder(const std::string& aLine);
  /// Returns the ids to echo; with the swap fault those of the call before.
  std::pair<std::string, std::string> IdsToEcho(
    std::pair<std::string, std::string> aOwn);

  FakeTargetOptions m_options;
  schema::Schema m_schema;
  FakeFaults m_faults;
  std::atomic<uint32_t> m_running{ 0 };
  std::atomic<uint32_t> m_reactors{ 0 };
  std::atomic<uint64_t> m_served{ 0 };
  std::atomic<uint64_t> m_received{ 0 };
  std::mutex m_mutex;
  std::ofstream m_orders;
  std::pair<std::string, std::string> m_lastIds;
  std::vector<std::pair<std::chrono::steady_clock::time_point, double>> m_loads;
  std::unique_ptr<grpc::GenericStub> m_egress;
  std::unique_ptr<Service> m_service;
  std::unique_ptr<grpc::Server> m_server;
  int m_port = 0;
};

} // namespace wagtailbend::testing
