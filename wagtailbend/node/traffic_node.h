// The part of the daemon that runs on the traffic thread: request dispatcher,
// gateway to the local target and mesh.
//
//   TrafficNode node(io, settings, names, incarnation, metrics, callbacks);
//   node.Listen();
//   asio::post(io, [&node, view] { node.SetTarget(view, leaving); });

#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "wagtailbend/exchange/request_dispatcher.h"
#include "wagtailbend/exchange/target_directory.h"
#include "wagtailbend/exchange/target_gateway.h"
#include "wagtailbend/http1/server.h"
#include "wagtailbend/mesh/node_context.h"
#include "wagtailbend/mesh/peer_link.h"
#include "wagtailbend/mesh/peer_server.h"
#include "wagtailbend/node/node_settings.h"
#include "wagtailbend/node/traffic_log.h"
#include "wagtailbend/node/traffic_metrics.h"
#include "wagtailbend/quarantine/peer_runs.h"
#include "wagtailbend/quarantine/quarantine_list.h"
#include "wagtailbend/quarantine/suspect_sync.h"
#include "wagtailbend/routes/route_table.h"

namespace wagtailbend::node {

/// Called on the traffic thread.
struct TrafficCallbacks
{
  /// A newer configuration has taken effect. aSource names its origin.
  std::function<void(uint64_t aVersion, const std::string& aSource)> onConfig;
  /// This daemon's member record changed.
  std::function<void(const mesh::Member&)> onLocalMember;
  /// A peer reports that the local target left while an earlier process of this
  /// daemon ran.
  std::function<void(const targets::TargetRun&)> onEarlierLeave;
  /// The local target says in its responses that it is leaving.
  std::function<void(const targets::TargetRun&)> onTargetLeaving;
  /// This daemon or a peer has seen a newer generation of the store.
  std::function<void(uint64_t aGeneration)> onStoreGeneration;
  /// Whether this daemon has to watch the store for configuration changes.
  std::function<void(bool aWatch)> onWatchStore;
};

/// Must be used on the traffic thread only, except for the constructor and
/// Listen, which run before that thread starts.
class TrafficNode
  : public mesh::NodeContext
  , public exchange::TargetDirectory
  , public exchange::GatewayObserver
  , public exchange::DispatcherObserver
{
public:
  TrafficNode(asio::io_context& aIo,
              const NodeSettings& aSettings,
              const http1::ProtocolNames& aNames,
              uint64_t aIncarnation,
              TrafficMetrics& aMetrics,
              TrafficCallbacks aCallbacks);
  ~TrafficNode() override;

  /// Error kind: kInvalidRequest, if an address cannot be bound.
  Result<Done> Listen();

  void SetConfig(const routes::RouteConfig& aConfig,
                 const std::string& aSource);
  /// Sets whether this daemon has lost the store, for its load reports.
  void SetStoreLost(bool aLost) { m_storeLost = aLost; }
  /// Records a generation of the store and tells peers with the next report.
  void SetStoreGeneration(uint64_t aGeneration);
  void SetTarget(const targets::TargetView& aView,
                 const targets::TargetRun& aLeaving);
  void AddMembers(const std::vector<mesh::Member>& aMembers);
  /// Removes members that stopped or have been unreachable for long. Returns
  /// the addresses of the unreachable ones, whose rows the caller has to
  /// delete.
  std::vector<std::string> RemoveUnreachable(TimePoint aNow);

  /// Starts a graceful stop that ends at aEnd: peers use the local target only
  /// as a last resort, and clients are asked to close their connections.
  void BeginStop(TimePoint aEnd);
  /// Announces to the peers that this process stops as planned.
  void AnnounceStopped();
  /// Rejects new client requests and attempts immediately.
  void RejectNewRequests();
  /// Responds to all open client requests, since the process exits.
  void CompleteOpenRequests() { m_dispatcher.CompleteAllOpen(); }
  /// Stops listening and closes idle connections.
  void CloseIdleConnections() { m_server.CloseIdleConnections(); }
  /// Number of client requests, attempts of peers and runs at the local target
  /// that are not completed.
  size_t OpenRequestCount() const;
  size_t LinksUp() const;
  size_t KnownMembers() const { return m_peers.size(); }

  // mesh::NodeContext
  const mesh::Member& Self() const override { return m_localMember; }
  std::vector<mesh::Member> Members() const override;
  const routes::RouteConfig* Config() const override;
  exchange::LoadReport LocalReport() override;
  mesh::FrameTraffic& Traffic() override { return m_traffic; }
  void OnMember(const mesh::Member& aMember) override;
  void OnReport(const std::string& aAddress,
                const exchange::LoadReport& aReport) override;
  void OnConfig(const routes::RouteConfig& aConfig) override;
  bool ShouldRequestConfig(uint64_t aVersion,
                           const std::string& aAddress) override;
  std::vector<quarantine::SuspectEntry> CrashSuspectsSince(
    TimePoint aSince) const override;
  std::vector<quarantine::SuspectEntry> CrashSuspectsDiffering(
    const quarantine::ListDigests& aDigests) const override;
  uint64_t SuspectsDigest() const override { return m_suspectsDigest; }
  void OnCrashSuspects(
    const std::vector<quarantine::SuspectEntry>& aSuspects) override;
  void OnRunNotice(const std::string& aAddress, uint64_t aFingerprint) override;
  void OnPeerEnded(const std::string& aAddress,
                   const std::vector<uint64_t>& aFingerprints) override;
  void OnLinkStateChange(const std::string& aAddress,
                         std::string_view aReason) override;

  // exchange::TargetDirectory
  std::vector<exchange::TargetOption> TargetOptions(
    const std::string& aService,
    const std::string& aRoute) override;
  bool HasTargets(const std::string& aService) const override;
  void OnSent(const std::string& aAddress) override;
  void OnResult(const std::string& aAddress,
                const exchange::Attempt& aAttempt,
                const exchange::AttemptResult& aResult) override;
  exchange::Levels AdmissionLevels(const std::string& aService,
                                   const std::string& aRoute) override;

  // exchange::GatewayObserver
  void OnTargetCrashed(const std::vector<uint64_t>& aFingerprints) override;
  exchange::RunPermission BeginRun(const exchange::Attempt& aAttempt) override;
  bool MayResend(uint64_t aFingerprint) override;
  bool TryTakeRetry(const exchange::Attempt& aAttempt) override;
  void OnAttemptLost(const exchange::Attempt& aAttempt,
                     bool aKeptConnection) override;
  void OnInvalidResponse(const exchange::Attempt& aAttempt,
                         const http1::NoResponse& aFailure) override;
  void OnTargetCondition(const targets::TargetRun& aRun,
                         const targets::TargetNotice& aState) override;
  void EndRun(uint64_t aFingerprint, bool aSurvived) override;
  exchange::Levels DownstreamAdmissionLevels(
    const std::string& aRoute) override;

  // exchange::DispatcherObserver
  void OnRequestCompleted(const exchange::RequestSummary& aSummary) override;
  bool IsRunAllowed(uint64_t aFingerprint) override;

private:
  /// Sends attempts to the local target.
  class LocalChannel : public exchange::AttemptChannel
  {
  public:
    explicit LocalChannel(exchange::TargetGateway& aGateway)
      : m_gateway(aGateway)
    {
    }
    void Start(const exchange::Attempt& aAttempt,
               exchange::AttemptDone aDone) override;
    void Cancel(uint64_t aAttemptId) override;

  private:
    exchange::TargetGateway& m_gateway;
    /// Run key of the gateway by attempt id.
    std::unordered_map<uint64_t, uint64_t> m_runKeys;
  };

  struct Peer
  {
    mesh::Member member;
    std::unique_ptr<mesh::PeerLink> link;
    placement::Distance distance = placement::Distance::kSameFailureDomain;
    exchange::LoadReport report;
    TimePoint reportedAt{};
    uint32_t sentSinceReport = 0;
    /// Target run that left during an earlier process of this peer, until the
    /// peer says so itself.
    targets::TargetRun earlierLeave;
    /// When the link was last up or the member record last changed.
    TimePoint lastUpAt{};
    /// Mean run time at the target by route.
    std::unordered_map<std::string, Duration> meanRunTimes;
  };

  void Tick();
  void PublishLocalMember();
  void AnnounceLocalMember();
  void SendEarlierLeave(const Peer& aPeer);
  void UpdateDaemonCounts();
  void UpdateStoreWatch();
  Peer* FindPeer(const std::string& aAddress);
  bool IsUsable(const Peer& aPeer, TimePoint aNow) const;
  /// Returns true if a usable target of the service names no rate limit.
  bool HasUnlimitedTarget(const std::string& aService);
  placement::Candidate MakeCandidate(const Peer& aPeer,
                                     const std::string& aRoute,
                                     TimePoint aNow) const;
  void ApplyLimits(const routes::RouteConfig& aConfig);
  /// Sends the version of the active configuration to a few random peers of the
  /// region.
  void SendConfigVersion();
  void SendCrashSuspects(const std::vector<quarantine::SuspectEntry>& aEntries);
  /// Asks a peer that reports other crash suspects for those that this daemon
  /// lacks.
  void CompareSuspects(const Peer& aPeer, uint64_t aDigest);
  void UpdateSuspectsDigest();
  /// Tells a peer that a request of a local client runs at the local target.
  void SendRunNotice(uint64_t aFingerprint);
  /// Returns the peer that is told of such runs, or nullptr.
  Peer* Witness();

  asio::io_context& m_io;
  const NodeSettings m_settings;
  TrafficMetrics& m_metrics;
  TrafficCallbacks m_callbacks;
  TrafficLog m_log;
  mesh::Member m_localMember;
  exchange::TargetGateway m_gateway;
  LocalChannel m_local;
  exchange::RequestDispatcher m_dispatcher;
  http1::Server m_server;
  mesh::FrameTraffic m_traffic;
  mesh::PeerLinkLimits m_linkBudget;
  mesh::PeerServer m_peerServer;
  asio::steady_timer m_timer;
  uint32_t m_ticks = 0;
  /// Newest configuration version reported by a peer, and the time of the first
  /// report.
  uint64_t m_newestKnownConfig = 0;
  TimePoint m_newestConfigKnownSince{};
  TimePoint m_configRequestedAt{};
  bool m_watchesStore = true;
  bool m_storeLost = false;
  uint64_t m_storeGeneration = 0;
  /// By daemon address.
  std::unordered_map<std::string, std::unique_ptr<Peer>> m_peers;
  std::unordered_map<std::string, std::vector<Peer*>> m_peersByService;
  /// By service and route.
  std::unordered_map<std::string, exchange::ServiceLevels> m_serviceLevels;
  Rng m_rng;
  /// For retries at the local target.
  exchange::RetryBudget m_targetRetryBudget;
  /// The daemons that may run trials of crash suspects: only this one.
  const std::vector<DaemonId> m_trialDaemons;
  /// Requests that were running when targets crashed.
  quarantine::QuarantineList m_quarantine;
  /// See LoadReport::suspectsDigest.
  uint64_t m_suspectsDigest = 1;
  /// See Witness.
  std::string m_witness;
  quarantine::PeerRuns m_peerRuns;
  quarantine::SuspectSync m_suspectSync;
};

} // namespace wagtailbend::node
