// The daemon of the HTTP path. It runs a control thread, a traffic thread and
// two threads that wait for the store.
//
//   Node node(settings, parts);
//   if (auto started = node.Start(); !IsOk(started)) { ... }
//   return node.Run();      // until SIGTERM

#pragma once

#include <functional>
#include <memory>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <asio/steady_timer.hpp>

#include "wagtailbend/http1/protocol_names.h"
#include "wagtailbend/http1/server.h"
#include "wagtailbend/node/announcements.h"
#include "wagtailbend/node/config_watcher.h"
#include "wagtailbend/node/member_store.h"
#include "wagtailbend/node/node_settings.h"
#include "wagtailbend/node/traffic_node.h"
#include "wagtailbend/observability/bounded_log.h"
#include "wagtailbend/observability/metrics.h"
#include "wagtailbend/store/platform.h"

namespace wagtailbend::node {

/// Platform-specific dependencies of the daemon.
struct NodeParts
{
  std::unique_ptr<store::Platform> platform;
  ConfigSource configSource;
  http1::ProtocolNames names;
  /// Creates the handler for calls of the local target and the platform.
  std::function<std::unique_ptr<http1::RequestHandler>(Announcements&)>
    makeControlApi;
  /// Reads the settings again on SIGHUP.
  std::function<Result<NodeSettings>()> reload;
};

/// Start and Run must be called on one thread, which becomes the control
/// thread.
class Node : public Announcements
{
public:
  Node(const NodeSettings& aSettings,
       NodeParts aParts,
       observability::BoundedLog& aLog);
  ~Node() override;

  /// Error kind: kInvalidRequest, if an address cannot be bound.
  Result<Done> Start();
  /// Runs until SIGTERM or SIGINT. Returns the exit status: 0 after a graceful
  /// stop, 1 if requests were still open. The store threads may still be in a
  /// call, bounded by the time limits of the platform.
  int Run();
  /// Joins the store threads. Precondition: Run has returned.
  void JoinStore();

  // Announcements
  void OnHeartbeat(const targets::Heartbeat& aHeartbeat,
                   std::function<void()> aAcknowledge) override;
  void OnLeave(const std::string& aId,
               uint64_t aStartTimeMs,
               std::function<void()> aAcknowledge) override;
  void OnUnreadable(const std::string& aId,
                    const std::string& aReason) override;
  bool IsReady() const override;

private:
  class MetricsHandler;

  void OnMembers(const std::vector<mesh::Member>& aMembers);
  void OnEarlierLeave(const targets::TargetRun& aRun);
  void PublishTarget();
  void AcknowledgeWhenStored(std::function<void()> aAcknowledge);
  void AwaitSignal();
  void ReloadSettings();
  void BeginStop();
  void CheckStopProgress();
  void FinishStop();
  void FlushLog();

  const NodeSettings m_settings;
  NodeParts m_parts;
  observability::BoundedLog& m_log;
  const uint64_t m_incarnation;
  asio::io_context m_controlIo;
  asio::io_context m_trafficIo;
  observability::MetricsRegistry m_registry;
  TrafficMetrics m_metrics;
  TrafficNode m_traffic;
  MemberStore m_memberStore;
  ConfigWatcher m_configWatcher;
  std::unique_ptr<http1::RequestHandler> m_controlApi;
  std::unique_ptr<MetricsHandler> m_metricsHandler;
  http1::Server m_controlServer;
  http1::Server m_metricsServer;
  asio::signal_set m_signals;
  asio::steady_timer m_stopTimer;
  asio::steady_timer m_logTimer;
  std::thread m_trafficThread;
  targets::TargetState m_target;
  targets::TargetRun m_leavingTarget;
  mesh::Member m_lastSelf;
  /// Run when this daemon's next record is stored.
  std::vector<std::function<void()>> m_pendingAcknowledgements;
  uint64_t m_configVersion = 0;
  bool m_membersRead = false;
  TimePoint m_startedAt;
  bool m_stopping = false;
  bool m_rejecting = false;
  bool m_closedIdleConnections = false;
  TimePoint m_stopStartedAt{};
  int m_exitStatus = 0;
};

} // namespace wagtailbend::node
