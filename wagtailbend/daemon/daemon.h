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
#include "wagtailbend/daemon/admin_service.h"
#include "wagtailbend/daemon/balancing_chooser.h"
#include "wagtailbend/daemon/config_runner.h"
#include "wagtailbend/daemon/control_queue.h"
#include "wagtailbend/daemon/hedging.h"
#include "wagtailbend/daemon/http_pages.h"
#include "wagtailbend/daemon/link_probe.h"
#include "wagtailbend/daemon/membership_controller.h"
#include "wagtailbend/daemon/options.h"
#include "wagtailbend/daemon/order_hand_over.h"
#include "wagtailbend/daemon/order_parts.h"
#include "wagtailbend/daemon/routing_controller.h"
#include "wagtailbend/daemon/summary_controller.h"
#include "wagtailbend/daemon/target_registry.h"
#include "wagtailbend/daemon/traffic.h"
#include "wagtailbend/observability/otlp_exporter.h"

namespace wagtailbend::daemon {

class Daemon final : private TrafficEvents
{
public:
  /// Compiles the schema, if the settings name one, and starts listening on all
  /// addresses. Errors:
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
  // In control_wiring.cc.
  std::optional<Error> WireControl();
  void WireMembership();
  void WireConfig();
  void WireSummaries();
  void WireAdmin();
  std::optional<Error> DescribeOrder(const std::string& aTicket,
                                     admin::LookupOrderReply& aReply) const;
  void OnMembersChanged();
  void UpdateGate();
  void ReportLostTarget(const std::vector<uint64_t>& aInFlight, TimePoint aNow);
  void SpreadQuarantine();
  std::map<std::string, std::vector<DaemonId>> LiveByService() const;
  void OnTargetChanged(std::string_view aState);
  void OnConfigInForce(
    const std::shared_ptr<const config::ActiveConfig>& aConfig);
  void EvaluateRouting();
  void FillStatus(admin::StatusReply& aReply) const;
  HttpHandlers MakeHandlers();
  std::optional<Error> OnAnnounce(Announcement aAnnouncement);

  /// Runs aWork on the control thread and waits for its result.
  template<typename Work>
  auto OnControl(Work aWork) -> decltype(aWork());

  void OnUnreachable(const Destination& aDestination) override;
  void OnOwnTargetLost(std::vector<uint64_t> aInFlight, TimePoint aNow);
  void ProbeLostTarget(const std::vector<uint64_t>& aInFlight,
                       TimePoint aNow,
                       int aProbes);

  // The control thread's part.
  void Publish();
  void Tick();
  void AwaitSignal();
  void ReloadSettings() const;
  void BeginDrain();
  void CheckDrained();
  void AddDaemons(const std::vector<membership::Member>& aMembers,
                  const std::vector<membership::DomainSummary>& aSummaries,
                  RoutingSnapshot& aSnapshot);
  std::vector<SuccessorCandidate> Successors();
  void LeaveMembership();
  bool TakesWork() const;
  std::string StatusDocument() const;
  std::string MetricsText() const;

  DaemonOptions m_options;
  DaemonId m_id;
  std::shared_ptr<const schema::Schema> m_schema;
  ChannelPool m_channels{ KeepAlive{} };
  std::unique_ptr<OrderParts> m_orders;
  routing::InterRegionBudget m_link{ {}, MonotonicNow() };
  // Outlives the trace filters in m_traffic. Null: spans are not exported.
  std::unique_ptr<observability::OtlpExporter> m_exporter;
  std::unique_ptr<QuarantineGuard> m_quarantine;
  Traffic m_traffic;
  HedgePolicies m_hedges;

  asio::io_context m_control;
  asio::signal_set m_signals{ m_control };
  asio::steady_timer m_tickTimer{ m_control };
  asio::steady_timer m_evaluateTimer{ m_control };
  asio::steady_timer m_drainTimer{ m_control };
  // A poll, the fetch of a body, and the row of this daemon may all wait for a
  // slow platform at the same time.
  asio::thread_pool m_blockingPool{ 4 };
  std::shared_ptr<ControlQueue> m_queue =
    std::make_shared<ControlQueue>(m_control);
  std::shared_ptr<store::Platform> m_platform;
  TargetRegistry m_target;
  // Connections lost until then belong to the same death of the target.
  TimePoint m_lossUntil;
  std::unique_ptr<RoutingController> m_routing;
  std::unique_ptr<MembershipController> m_membership;
  std::unique_ptr<ConfigRunner> m_config;
  std::unique_ptr<SummaryController> m_summaries;
  std::unique_ptr<LinkProbe> m_probe;
  const LinkBytes* m_linkBytes = nullptr;
  bool m_draining = false;
  TimePoint m_drainDeadline;
  TimePoint m_nextOrderExpiry;
  std::unique_ptr<OrderHandOver> m_handOver;
  int m_exitStatus = 0;

  std::vector<std::unique_ptr<Service>> m_services;
  std::vector<std::unique_ptr<grpc::Service>> m_rpcServices;
  std::unique_ptr<AdminService> m_adminService;
  std::vector<std::unique_ptr<grpc::Server>> m_servers;
  std::unique_ptr<HttpPages> m_pages;
};

} // namespace wagtailbend::daemon
