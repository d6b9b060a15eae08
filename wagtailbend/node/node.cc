#include "wagtailbend/node/node.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>

#include "wagtailbend/base/boot_time.h"
#include "wagtailbend/net/socket_options.h"
#include "wagtailbend/observability/event_log.h"

namespace wagtailbend::node {
namespace {

using observability::Event;

// An announcement is acknowledged after this time even if it is not stored
// yet, since targets wait only one second.
constexpr Duration kAcknowledgeTimeout = std::chrono::milliseconds(600);
// Without the rows of its peers the daemon reports itself ready after this
// time, since it can serve requests with its local target.
constexpr Duration kMembersReadTimeout = std::chrono::seconds(3);
// Clients stop sending after two failed readiness checks, which come once a
// second, unless most daemons of their failure domain are out of service too.
// A request that arrives later could not be completed in the grace period.
constexpr Duration kClientDrainDelay = std::chrono::milliseconds(2300);
constexpr Duration kStopCheckInterval = std::chrono::milliseconds(50);
// After idle connections are closed, requests that were already on the way get
// this time to arrive.
constexpr Duration kCloseDelay = std::chrono::milliseconds(200);
// Part of the grace period that is reserved for the exit of the process.
constexpr Duration kExitReserve = std::chrono::milliseconds(700);
// The row of a stopped daemon is kept for this time if its target left, since
// heartbeats arrive seconds late and a replacement starts within minutes.
constexpr uint64_t kStoppedRowRetentionMs = 10ULL * 60 * 1000;
constexpr Duration kLogFlushInterval = std::chrono::milliseconds(200);

http1::ServerLimits
ControlLimits()
{
  http1::ServerLimits limits;
  limits.parse = { 16UL * 1024, 64UL * 1024 };
  limits.maxConnections = 64;
  return limits;
}

} // namespace

class Node::MetricsHandler : public http1::RequestHandler
{
public:
  explicit MetricsHandler(const observability::MetricsRegistry& aRegistry)
    : m_registry(aRegistry)
  {
  }

  void OnRequest(http1::RequestMessage aRequest,
                 http1::Responder aResponder) override
  {
    http1::ResponseMessage response;
    response.status = aRequest.target == "/metrics" ? 200 : 404;
    if (response.status == 200) {
      http1::SetHeader(response.headers, "Content-Type", "text/plain");
      response.body = m_registry.Text();
    }
    aResponder.Respond(response);
  }

private:
  const observability::MetricsRegistry& m_registry;
};

Node::Node(const NodeSettings& aSettings,
           NodeDependencies aParts,
           observability::BoundedLog& aLog)
  : m_settings(aSettings)
  , m_parts(std::move(aParts))
  , m_log(aLog)
  , m_incarnation(MakeSeededRng()())
  , m_controlIo(1)
  , m_trafficIo(1)
  , m_metrics(m_registry)
  , m_traffic(
      m_trafficIo,
      m_settings,
      m_parts.names,
      m_incarnation,
      m_metrics,
      { .onConfig =
          [this](uint64_t aVersion, const std::string&) {
            asio::post(m_controlIo,
                       [this, aVersion] { m_configVersion = aVersion; });
          },
        .onLocalMember =
          [this](const mesh::Member& aSelf) {
            asio::post(m_controlIo, [this, aSelf] {
              m_lastSelf = aSelf;
              auto acknowledgements =
                std::exchange(m_pendingAcknowledgements, {});
              m_memberStore.Put(
                aSelf, [this, acknowledgements = std::move(acknowledgements)] {
                  asio::post(m_controlIo, [acknowledgements] {
                    for (const auto& acknowledge : acknowledgements) {
                      acknowledge();
                    }
                  });
                });
            });
          },
        .onEarlierLeave =
          [this](const targets::TargetRun& aRun) {
            asio::post(m_controlIo, [this, aRun] { OnEarlierLeave(aRun); });
          },
        .onTargetLeaving =
          [this](const targets::TargetRun& aRun) {
            asio::post(m_controlIo, [this, aRun] {
              OnLeave(aRun.id, aRun.startTimeMs, [] {});
            });
          },
        .onStoreGeneration =
          [this](uint64_t aGeneration) {
            m_memberStore.OnGeneration(aGeneration);
          },
        .onWatchStore =
          [this](bool aWatch) { m_configWatcher.SetWatching(aWatch); } })
  , m_memberStore(*m_parts.platform,
                  m_traffic.Self().address,
                  [this](const std::vector<mesh::Member>& aMembers) {
                    asio::post(m_controlIo,
                               [this, aMembers] { OnMembers(aMembers); });
                  })
  , m_configWatcher(
      *m_parts.platform,
      m_parts.configSource,
      [this](const routes::RouteConfig& aConfig) {
        asio::post(m_trafficIo,
                   [this, aConfig] { m_traffic.SetConfig(aConfig, "store"); });
      },
      [this](bool aLost) {
        asio::post(m_trafficIo,
                   [this, aLost] { m_traffic.SetStoreLost(aLost); });
      },
      [this](uint64_t aGeneration) {
        asio::post(m_trafficIo, [this, aGeneration] {
          m_traffic.SetStoreGeneration(aGeneration);
        });
      })
  , m_controlApi(m_parts.makeControlApi(*this))
  , m_metricsHandler(std::make_unique<MetricsHandler>(m_registry))
  , m_controlServer(m_controlIo, *m_controlApi, ControlLimits())
  , m_metricsServer(m_controlIo, *m_metricsHandler, ControlLimits())
  , m_signals(m_controlIo)
  , m_stopTimer(m_controlIo)
  , m_logTimer(m_controlIo)
  , m_startedAt(BootNow())
{
}

Node::~Node() = default;

Result<Done>
Node::Start()
{
  const auto announce = net::ParseEndpoint(m_settings.announceAddress);
  const auto ready = net::ParseEndpoint(m_settings.readyAddress);
  if (!announce || !ready) {
    return Error{ ErrorKind::kInvalidRequest,
                  "not IPv4:port: " + m_settings.announceAddress + " or " +
                    m_settings.readyAddress };
  }
  const asio::ip::tcp::endpoint metrics(
    announce->address(),
    static_cast<uint16_t>(m_settings.firstInternalPort + 1));
  auto result = m_traffic.Listen();
  for (const auto& endpoint : { *announce, *ready }) {
    if (IsOk(result)) {
      result = m_controlServer.Listen(endpoint);
    }
  }
  if (IsOk(result)) {
    result = m_metricsServer.Listen(metrics);
  }
  return result;
}

int
Node::Run()
{
  Event("started")
    .Add("vm", m_settings.name)
    .Add("incarnation", m_incarnation)
    .Add("service", m_settings.service)
    .Add("failure_domain", m_settings.failureDomain)
    .Add("clients", m_settings.clientAddress)
    .Add("store", m_settings.storeAddress)
    .Info();
  m_signals.add(SIGTERM);
  m_signals.add(SIGINT);
  m_signals.add(SIGHUP);
  AwaitSignal();
  FlushLog();
  m_lastSelf = m_traffic.Self();
  m_memberStore.Put(m_lastSelf, nullptr);
  m_memberStore.Start();
  m_configWatcher.Start();
  m_trafficThread = std::thread([this] {
    auto guard = asio::make_work_guard(m_trafficIo);
    m_trafficIo.run();
  });
  m_controlIo.run();
  m_parts.platform->Interrupt();
  m_trafficIo.stop();
  m_trafficThread.join();
  Event("stopped").Add("status", m_exitStatus).Info();
  m_log.Flush();
  return m_exitStatus;
}

void
Node::JoinStoreThreads()
{
  m_configWatcher.Stop();
  m_memberStore.Stop();
}

void
Node::FlushLog()
{
  m_log.Flush();
  m_logTimer.expires_after(kLogFlushInterval);
  m_logTimer.async_wait([this](const std::error_code& aCode) {
    if (!aCode) {
      FlushLog();
    }
  });
}

bool
Node::IsReady() const
{
  return !m_stopping && m_configVersion != 0 &&
         (m_membersRead || BootNow() - m_startedAt > kMembersReadTimeout);
}

void
Node::OnMembers(const std::vector<mesh::Member>& aMembers)
{
  m_membersRead = true;
  std::vector<std::string> expired;
  const uint64_t now = UnixMilliseconds();
  for (const mesh::Member& member : aMembers) {
    if (member.address == m_lastSelf.address) {
      OnEarlierLeave(member.leavingTarget);
      continue;
    }
    if (member.stopTimeMs != 0 &&
        now > member.stopTimeMs + kStoppedRowRetentionMs) {
      expired.push_back(member.address);
    }
  }
  if (!expired.empty()) {
    m_memberStore.RemovePeerRows(expired);
  }
  asio::post(m_trafficIo, [this, aMembers] {
    m_traffic.AddMembers(aMembers);
    const auto unreachable = m_traffic.RemoveUnreachable(BootNow());
    if (!unreachable.empty()) {
      m_memberStore.RemovePeerRows(unreachable);
    }
  });
}

void
Node::OnEarlierLeave(const targets::TargetRun& aRun)
{
  if (aRun.id.empty() || aRun == m_leavingTarget) {
    return;
  }
  const bool isLater = targets::IsLater(aRun, m_leavingTarget);
  if (isLater) {
    m_leavingTarget = aRun;
  }
  const targets::ViewChange change = m_target.RestoreLeave(aRun);
  Event("earlier_leave")
    .Add("target", aRun.id)
    .Add("born_ms", aRun.startTimeMs)
    .Add("changed", change == targets::ViewChange::kChanged ? "true" : "false")
    .Info();
  // Peers and the store keep the leave for the next process.
  if (isLater || change == targets::ViewChange::kChanged) {
    PublishTarget();
  }
}

void
Node::OnHeartbeat(const targets::Heartbeat& aHeartbeat,
                  std::function<void()> aAcknowledge)
{
  if (aHeartbeat.service != m_settings.service ||
      aHeartbeat.address != m_settings.targetAddress) {
    Event("heartbeat_ignored")
      .Add("target", aHeartbeat.id)
      .Add("service", aHeartbeat.service)
      .Add("address", aHeartbeat.address)
      .Add("reason", "not the target of this VM")
      .Warn();
    return;
  }
  const targets::ViewChange change =
    m_target.OnHeartbeat(aHeartbeat, BootNow());
  if (change == targets::ViewChange::kStale) {
    Event("heartbeat_stale")
      .Add("target", aHeartbeat.id)
      .Add("born_ms", aHeartbeat.startTimeMs)
      .Add("sequence", aHeartbeat.sequence)
      .Add("known_target", m_target.View().run.id)
      .Info();
  }
  if (change != targets::ViewChange::kChanged) {
    aAcknowledge();
    return;
  }
  const targets::TargetView& view = m_target.View();
  if (aHeartbeat.draining) {
    m_leavingTarget = view.run;
  }
  PublishTarget();
  if (view.accepting) {
    aAcknowledge();
  } else {
    AcknowledgeWhenStored(std::move(aAcknowledge));
  }
}

void
Node::OnLeave(const std::string& aId,
              uint64_t aStartTimeMs,
              std::function<void()> aAcknowledge)
{
  const targets::ViewChange change =
    m_target.OnLeave(aId, aStartTimeMs, UnixMilliseconds());
  Event("target_leaves")
    .Add("target", aId)
    .Add("born_ms", aStartTimeMs)
    .Add("changed", change == targets::ViewChange::kChanged ? "true" : "false")
    .Info();
  // Also a target that this process has not heard of: the next one may receive
  // a late heartbeat of it.
  const bool isLater =
    targets::IsLater(m_target.LatestLeave(), m_leavingTarget);
  if (!isLater && change != targets::ViewChange::kChanged) {
    aAcknowledge();
    return;
  }
  if (isLater) {
    m_leavingTarget = m_target.LatestLeave();
  }
  PublishTarget();
  AcknowledgeWhenStored(std::move(aAcknowledge));
}

void
Node::OnMalformedAnnouncement(const std::string& aId,
                              const std::string& aReason)
{
  Event("announcement_unreadable")
    .Add("target", aId)
    .Add("reason", aReason)
    .Warn();
}

void
Node::PublishTarget()
{
  const targets::TargetView view = m_target.View();
  Event("target")
    .Add("target", view.run.id)
    .Add("born_ms", view.run.startTimeMs)
    .Add("accepting", view.accepting ? "true" : "false")
    .Add("slots", view.slots)
    .Info();
  asio::post(m_trafficIo, [this, view, leaving = m_leavingTarget] {
    m_traffic.SetTarget(view, leaving);
  });
}

void
Node::AcknowledgeWhenStored(std::function<void()> aAcknowledge)
{
  // This process already stops using the target; the row is for the next
  // process of this daemon. The timer acknowledges in time without it.
  auto timer =
    std::make_shared<asio::steady_timer>(m_controlIo, kAcknowledgeTimeout);
  auto acknowledge = [timer, done = std::move(aAcknowledge)] {
    timer->cancel();
    done();
  };
  timer->async_wait([acknowledge](const std::error_code& aCode) {
    if (!aCode) {
      acknowledge();
    }
  });
  m_pendingAcknowledgements.push_back(acknowledge);
}

void
Node::AwaitSignal()
{
  m_signals.async_wait([this](const std::error_code& aCode, int aSignal) {
    if (aCode) {
      return;
    }
    if (aSignal == SIGHUP) {
      ReloadSettings();
    } else {
      BeginStop();
    }
    AwaitSignal();
  });
}

void
Node::ReloadSettings()
{
  auto settings = m_parts.reloadSettings();
  const Error* error = GetError(settings);
  Event event("settings_reloaded");
  if (error != nullptr) {
    event.Add("error", error->detail).Warn();
    return;
  }
  // Settings are fixed while the daemon runs. The platform restarts a daemon
  // whose addresses change.
  event.Add("changed", GetValue(settings) == m_settings ? "false" : "true")
    .Info();
}

void
Node::BeginStop()
{
  if (std::exchange(m_stopping, true)) {
    return;
  }
  m_stopStartedAt = BootNow();
  Event("stop_begins").Info();
  const TimePoint end = m_stopStartedAt + m_settings.gracePeriod - kExitReserve;
  asio::post(m_trafficIo, [this, end] { m_traffic.BeginStop(end); });
  CheckStopProgress();
}

void
Node::CheckStopProgress()
{
  asio::post(m_trafficIo, [this] {
    const size_t openRequests = m_traffic.OpenRequestCount();
    asio::post(m_controlIo, [this, openRequests] {
      const Duration elapsed = BootNow() - m_stopStartedAt;
      const bool graceExpired = elapsed > m_settings.gracePeriod - kExitReserve;
      if (graceExpired || (m_closedIdleConnections && openRequests == 0)) {
        m_exitStatus = openRequests == 0 ? 0 : 1;
        Event("stop_ends").Add("open", openRequests).Info();
        asio::post(m_trafficIo, [this] { m_traffic.CompleteOpenRequests(); });
        FinishStop();
        return;
      }
      if (elapsed > kClientDrainDelay && !m_rejecting) {
        m_rejecting = true;
        asio::post(m_trafficIo, [this] { m_traffic.RejectNewRequests(); });
      } else if (m_rejecting && openRequests == 0 && !m_closedIdleConnections) {
        m_closedIdleConnections = true;
        asio::post(m_trafficIo, [this] { m_traffic.CloseIdleConnections(); });
      }
      m_stopTimer.expires_after(m_closedIdleConnections ? kCloseDelay
                                                        : kStopCheckInterval);
      m_stopTimer.async_wait([this](const std::error_code& aCode) {
        if (!aCode) {
          CheckStopProgress();
        }
      });
    });
  });
}

void
Node::FinishStop()
{
  m_memberStore.RemoveLocalRow();
  asio::post(m_trafficIo, [this] { m_traffic.AnnounceStopped(); });
  m_logTimer.cancel();
  // Gives the store's thread time to delete the row.
  m_stopTimer.expires_after(kCloseDelay);
  m_stopTimer.async_wait(
    [this](const std::error_code&) { m_controlIo.stop(); });
}

} // namespace wagtailbend::node
