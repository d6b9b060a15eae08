// The daemon: listening servers, control thread and their wiring.
//
//   Result<std::unique_ptr<Daemon>> daemon = Daemon::Start(options);
//   int status = GetValue(daemon)->Run();

#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>
#include <asio/thread_pool.hpp>
#include <grpcpp/server.h>

#include "wagtailbend/base/result.h"
#include "wagtailbend/daemon/hedging.h"
#include "wagtailbend/daemon/http_pages.h"
#include "wagtailbend/daemon/options.h"
#include "wagtailbend/daemon/order_hand_over.h"
#include "wagtailbend/daemon/order_parts.h"
#include "wagtailbend/daemon/seed_directory.h"
#include "wagtailbend/daemon/target_registry.h"
#include "wagtailbend/daemon/traffic.h"
#include "wagtailbend/observability/otlp_exporter.h"

namespace wagtailbend::daemon {

class Daemon final : private TrafficEvents
{
public:
  /// Compiles the schema and starts listening on all addresses. Errors:
  /// kInvalidRequest for a bad schema, kInternal for an address in use.
  static Result<std::unique_ptr<Daemon>> Start(DaemonOptions aOptions);
  ~Daemon() override;

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Is the control thread. Returns after a graceful stop (SIGTERM, SIGINT):
  /// 0, or 1 if work in flight had to be interrupted.
  int Run();

  const DaemonId& Id() const { return m_id; }

private:
  class Service;

  explicit Daemon(DaemonOptions aOptions);

  std::optional<Error> Listen();
  std::unique_ptr<grpc::Server> ListenOn(const std::string& aAddress,
                                         filters::Origin aOrigin);
  void WireTraffic();
  std::optional<Error> WireOrders();
  HttpHandlers MakeHandlers();
  std::optional<Error> OnAnnounce(Announcement aAnnouncement);

  /// Runs aWork on the control thread and waits for its result.
  template<typename Work>
  auto OnControl(Work aWork) -> decltype(aWork());

  void OnUnreachable(const Destination& aDestination) override;

  // The control thread's part.
  void Publish();
  void Tick();
  void FetchSeeds();
  void BeginDrain();
  void CheckDrained();
  std::vector<SuccessorCandidate> Successors();
  PeerState Self() const;
  std::string StatusDocument() const;
  std::string MetricsText() const;

  DaemonOptions m_options;
  DaemonId m_id;
  std::shared_ptr<const schema::Schema> m_schema;
  ChannelPool m_channels{ KeepAlive{} };
  std::unique_ptr<OrderParts> m_orders;
  // Outlives the trace filters in m_traffic. Null: spans are not exported.
  std::unique_ptr<observability::OtlpExporter> m_exporter;
  Traffic m_traffic;
  HedgePolicies m_hedges;

  asio::io_context m_control;
  asio::signal_set m_signals{ m_control };
  asio::steady_timer m_tickTimer{ m_control };
  asio::steady_timer m_seedTimer{ m_control };
  asio::steady_timer m_drainTimer{ m_control };
  asio::thread_pool m_blockingPool{ 2 };
  TargetRegistry m_target;
  SeedDirectory m_seeds;
  // Fetches that have not returned yet.
  size_t m_fetchesPending = 0;
  bool m_draining = false;
  TimePoint m_drainDeadline;
  TimePoint m_nextOrderExpiry;
  std::unique_ptr<OrderHandOver> m_handOver;
  int m_exitStatus = 0;

  std::vector<std::unique_ptr<Service>> m_services;
  std::vector<std::unique_ptr<grpc::Service>> m_orderServices;
  std::vector<std::unique_ptr<grpc::Server>> m_servers;
  std::unique_ptr<HttpPages> m_pages;
};

} // namespace wagtailbend::daemon
