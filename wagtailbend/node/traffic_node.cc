#include "wagtailbend/node/traffic_node.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include "wagtailbend/base/boot_time.h"
#include "wagtailbend/base/ids.h"
#include "wagtailbend/mesh/convert.h"
#include "wagtailbend/net/socket_options.h"
#include "wagtailbend/node/store_watch.h"
#include "wagtailbend/observability/event_log.h"

namespace wagtailbend::node {
namespace {

using observability::Event;

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
// Links and sessions are updated on every fifth tick (100 ms).
constexpr uint32_t kTicksPerLinkTick = 5;
// The bytes of client requests may take up the memory divided by this. Each is
// held up to four times (message, frame, buffers of two sockets).
constexpr uint64_t kRequestMemoryDivisor = 16;
// Responses that clients read slowly may take up the memory divided by this.
constexpr uint64_t kUnsentMemoryDivisor = 8;
// Results kept for peers may take up the memory divided by this.
constexpr uint64_t kStoredResultMemoryDivisor = 16;
// File descriptors reserved for links, the target, the store and files.
constexpr uint32_t kReservedDescriptors = 1200;
constexpr http1::ParseLimits kResponseLimits = { 64UL * 1024,
                                                 16UL * 1024 * 1024 };
// Share of the memory limit for responses that are being received from the
// target.
constexpr uint64_t kResponseMemoryDivisor = 16;
// Assumed round-trip times until one is measured.
constexpr Duration kSameRegionRoundTrip = std::chrono::milliseconds(3);
constexpr Duration kOtherRegionRoundTrip = std::chrono::milliseconds(60);
// A report that the target does not accept requests is ignored once it is older
// than this; the next attempt shows the current state.
constexpr Duration kMaxNotAcceptingReportAge = std::chrono::milliseconds(500);
// A member that is unreachable for this long is removed as one that exited
// without an announcement. A partition of an hour must not delete the rows of
// the members on the other side, which write their rows again when they are
// back.
constexpr Duration kRemoveUnreachableAfter = std::chrono::hours(2);
// If a service has more targets than this, those in other failure domains are
// sampled at the ratio of this number to their count.
constexpr size_t kTargetSampleSize = 16;

// Requests that crash targets are sent again within minutes. The short lifetime
// bounds the harm to a request that merely was running at two crashes.
constexpr quarantine::QuarantineLimits kQuarantineLimits = {
  .lifetime = std::chrono::minutes(2),
  .maxEntries = 512,
  // Most suspects only happened to be running at a crash, and their customers
  // wait for them.
  .maxConcurrentTrials = 4
};

// Shares of the retry budget: for retries at other targets, chosen by the
// request dispatcher, and for retries at the local target after a rejection.
constexpr double kDispatcherRetryShare = 0.3;
constexpr double kLocalTargetRetryShare = 0.55;

// A daemon that watches the store gets a newer configuration from it within
// milliseconds, and requests it from a peer only after this delay. A
// configuration of hundreds of routes is about 50 KB; sent by every peer, it
// would saturate the inter-region network.
constexpr Duration kConfigRequestDelay = std::chrono::milliseconds(300);
constexpr Duration kOtherRegionConfigRequestDelay =
  std::chrono::milliseconds(900);
constexpr Duration kConfigRequestInterval = std::chrono::milliseconds(400);
// Number of peers in the same region that a daemon notifies of a configuration
// that takes effect, for those that do not watch the store or whose call hangs.
// Each daemon is notified by 3 peers on average, whatever their number; 1 in 20
// is notified by none and learns the version from a ping within 2 s.
constexpr size_t kConfigVersionRecipients = 3;

std::string
AdmissionKey(const std::string& aService, const std::string& aRoute)
{
  return aService + '\n' + aRoute;
}

/// Returns the first few fingerprints, separated by commas.
std::string
FormatFingerprints(const std::vector<uint64_t>& aFingerprints)
{
  constexpr size_t kMaxLogged = 8;
  std::vector<std::string> texts;
  for (size_t i = 0; i < std::min(aFingerprints.size(), kMaxLogged); ++i) {
    texts.push_back(ToHex(aFingerprints[i]));
  }
  return fmt::format("{}", fmt::join(texts, ","));
}

exchange::GatewayOptions
MakeGatewayOptions(const NodeSettings& aSettings)
{
  exchange::GatewayOptions options;
  options.target = net::ParseEndpoint(aSettings.targetAddress).value();
  options.service = aSettings.service;
  options.responseLimits = kResponseLimits;
  options.receiveBudgetBytes = aSettings.memoryBytes / kResponseMemoryDivisor;
  return options;
}

exchange::DispatcherOptions
MakeDispatcherOptions(const NodeSettings& aSettings)
{
  exchange::DispatcherOptions options;
  options.localService = aSettings.service;
  options.retries = { aSettings.retryRatio,
                      aSettings.extraRetries,
                      kDispatcherRetryShare };
  return options;
}

http1::ServerLimits
MakeServerLimits(const NodeSettings& aSettings)
{
  http1::ServerLimits limits;
  limits.maxBufferedBytes = aSettings.memoryBytes / kRequestMemoryDivisor;
  limits.maxUnsentBytes = aSettings.memoryBytes / kUnsentMemoryDivisor;
  limits.maxConnections = aSettings.fileDescriptors > 2 * kReservedDescriptors
                            ? aSettings.fileDescriptors - kReservedDescriptors
                            : aSettings.fileDescriptors / 2;
  return limits;
}

mesh::Member
MakeLocalMember(const NodeSettings& aSettings, uint64_t aIncarnation)
{
  mesh::Member member;
  member.address =
    aSettings.address + ":" + std::to_string(aSettings.firstInternalPort);
  member.incarnation = aIncarnation;
  member.startTimeMs = UnixMilliseconds();
  member.failureDomain = aSettings.failureDomain;
  member.region = aSettings.region;
  member.service = aSettings.service;
  member.revision = 1;
  return member;
}

} // namespace

void
TrafficNode::LocalChannel::Start(const exchange::Attempt& aAttempt,
                                 exchange::AttemptDone aDone)
{
  const uint64_t id = aAttempt.id;
  auto finished = std::make_shared<bool>(false);
  const uint64_t key =
    m_gateway.Run(aAttempt,
                  [this, id, finished, done = std::move(aDone)](
                    exchange::AttemptResult aResult) {
                    *finished = true;
                    m_runKeys.erase(id);
                    done(std::move(aResult));
                  });
  if (!*finished) {
    m_runKeys.emplace(id, key);
  }
}

void
TrafficNode::LocalChannel::Cancel(uint64_t aAttemptId)
{
  auto node = m_runKeys.extract(aAttemptId);
  if (!node.empty()) {
    m_gateway.Cancel(node.mapped());
  }
}

TrafficNode::TrafficNode(asio::io_context& aIo,
                         const NodeSettings& aSettings,
                         const http1::ProtocolNames& aNames,
                         uint64_t aIncarnation,
                         TrafficMetrics& aMetrics,
                         TrafficCallbacks aCallbacks)
  : m_io(aIo)
  , m_settings(aSettings)
  , m_metrics(aMetrics)
  , m_callbacks(std::move(aCallbacks))
  , m_localMember(MakeLocalMember(aSettings, aIncarnation))
  , m_gateway(aIo, aNames, MakeGatewayOptions(aSettings), *this)
  , m_local(m_gateway)
  , m_dispatcher(aIo,
                 aNames,
                 MakeDispatcherOptions(aSettings),
                 *this,
                 m_gateway,
                 *this)
  , m_server(aIo, m_dispatcher, MakeServerLimits(aSettings))
  , m_peerServer(aIo,
                 *this,
                 m_linkBudget,
                 m_gateway,
                 aSettings.memoryBytes / kStoredResultMemoryDivisor)
  , m_timer(aIo)
  , m_rng(MakeSeededRng())
  , m_targetRetryBudget(
      { aSettings.retryRatio, aSettings.extraRetries, kLocalTargetRetryShare })
  , m_trialDaemons{ DaemonId{ m_localMember.address, aIncarnation } }
  , m_quarantine(m_trialDaemons.front(), kQuarantineLimits)
{
}

TrafficNode::~TrafficNode() = default;

Result<Done>
TrafficNode::Listen()
{
  const auto clients = net::ParseEndpoint(m_settings.clientAddress);
  const auto peers = net::ParseEndpoint(m_localMember.address);
  if (!clients || !peers) {
    return Error{ ErrorKind::kInvalidRequest,
                  "not IPv4:port: " + m_settings.clientAddress + " or " +
                    m_localMember.address };
  }
  auto result = m_server.Listen(*clients);
  if (IsOk(result)) {
    result = m_peerServer.Listen(*peers);
  }
  if (IsOk(result)) {
    Tick();
  }
  return result;
}

void
TrafficNode::Tick()
{
  const TimePoint now = BootNow();
  m_gateway.Tick(now);
  if (m_ticks++ % kTicksPerLinkTick == 0) {
    for (const auto& [address, peer] : m_peers) {
      peer->link->Tick(now);
    }
    m_peerServer.Tick(now);
    UpdateStoreWatch();
    m_log.LogSuppressedCounts(now);
    m_quarantine.Expire(now);
    UpdateSuspectsDigest();
    m_metrics.Sample(LocalReport(),
                     m_gateway.Counts(),
                     m_dispatcher.OpenRequests(),
                     LinksUp(),
                     m_peers.size());
    m_metrics.SampleTraffic(m_traffic);
    m_metrics.SampleClients(m_server.Counts());
    m_log.LogPeerTraffic(m_traffic, now);
  }
  m_timer.expires_after(kTickInterval);
  m_timer.async_wait([this](const std::error_code& aCode) {
    if (!aCode) {
      Tick();
    }
  });
}

void
TrafficNode::UpdateStoreWatch()
{
  std::vector<WatchPeer> peers;
  peers.reserve(m_peers.size());
  for (const auto& [address, peer] : m_peers) {
    peers.push_back({ peer->member.incarnation,
                      peer->distance != placement::Distance::kOtherRegion,
                      peer->link->IsUp(),
                      peer->report.storeLost });
  }
  const bool watchesStore =
    Config() == nullptr || ShouldWatchStore(m_localMember.incarnation, peers);
  if (watchesStore == m_watchesStore) {
    return;
  }
  m_watchesStore = watchesStore;
  Event("follow_duty")
    .Add("follows_store", watchesStore ? "true" : "false")
    .Add("members", m_peers.size())
    .Add("links_up", LinksUp())
    .Info();
  m_callbacks.onWatchStore(watchesStore);
}

void
TrafficNode::SetConfig(const routes::RouteConfig& aConfig,
                       const std::string& aSource)
{
  const auto& known = m_dispatcher.Table();
  if (known && known->Version() >= aConfig.version) {
    if (known->Version() > aConfig.version) {
      Event("config_older")
        .Add("version", aConfig.version)
        .Add("in_force", known->Version())
        .Add("from", aSource)
        .Info();
    }
    return;
  }
  if (const std::string problem = routes::ValidateRouteConfig(aConfig);
      !problem.empty()) {
    Event("config_rejected")
      .Add("version", aConfig.version)
      .Add("from", aSource)
      .Add("reason", problem)
      .Warn();
    return;
  }
  m_dispatcher.SetTable(routes::RouteTable::Make(aConfig));
  ApplyLimits(aConfig);
  Event("config_in_force")
    .Add("version", aConfig.version)
    .Add("routes", aConfig.routes.size())
    .Add("from", aSource)
    .Info();
  m_callbacks.onConfig(aConfig.version, aSource);
  SendConfigVersion();
}

void
TrafficNode::SendConfigVersion()
{
  std::vector<mesh::PeerLink*> links;
  for (const auto& [address, peer] : m_peers) {
    if (peer->link->IsUp() &&
        peer->distance != placement::Distance::kOtherRegion) {
      links.push_back(peer->link.get());
    }
  }
  for (size_t sent = 0; sent < kConfigVersionRecipients && !links.empty();
       ++sent) {
    const size_t chosen = UniformBelow(m_rng, links.size());
    links[chosen]->SendConfigVersion();
    links.erase(links.begin() + static_cast<ptrdiff_t>(chosen));
  }
}

void
TrafficNode::ApplyLimits(const routes::RouteConfig& aConfig)
{
  http1::ServerLimits limits = m_server.Limits();
  limits.parse = { aConfig.limits.maxHeaderBytes, aConfig.limits.maxBodyBytes };
  limits.headerTimeout = aConfig.limits.headerTimeout;
  limits.idleTimeout = aConfig.limits.idleTimeout;
  m_server.SetLimits(limits);
  for (const routes::ServiceConfig& service : aConfig.services) {
    if (service.name == m_settings.service) {
      m_gateway.SetConnectionLimit(service.connectionLimit);
    }
  }
}

void
TrafficNode::SetTarget(const targets::TargetView& aView,
                       const targets::TargetRun& aLeaving)
{
  m_gateway.SetTarget(aView);
  m_localMember.slots = aView.slots;
  // The control thread learns later of a leave that was seen in a response.
  if (!targets::IsLater(m_localMember.leavingTarget, aLeaving)) {
    m_localMember.leavingTarget = aLeaving;
  }
  PublishLocalMember();
}

void
TrafficNode::PublishLocalMember()
{
  AnnounceLocalMember();
  m_callbacks.onLocalMember(m_localMember);
}

void
TrafficNode::AnnounceLocalMember()
{
  m_localMember.accepting = m_gateway.IsAccepting();
  ++m_localMember.revision;
  m_peerServer.AnnounceSelf();
}

void
TrafficNode::BeginStop(TimePoint aEnd)
{
  m_gateway.BeginClose(aEnd);
  m_dispatcher.BeginClose(aEnd);
  m_server.AnnounceClose();
  AnnounceLocalMember();
}

void
TrafficNode::RejectNewRequests()
{
  m_dispatcher.RejectClients();
  m_gateway.Close();
  AnnounceLocalMember();
}

void
TrafficNode::AnnounceStopped()
{
  m_localMember.stopTimeMs = UnixMilliseconds();
  AnnounceLocalMember();
}

size_t
TrafficNode::OpenRequestCount() const
{
  return m_dispatcher.OpenRequests() + m_peerServer.OpenAttempts() +
         m_gateway.RunningCount();
}

size_t
TrafficNode::LinksUp() const
{
  return static_cast<size_t>(
    std::count_if(m_peers.begin(), m_peers.end(), [](const auto& aPeer) {
      return aPeer.second->link->IsUp();
    }));
}

std::vector<std::string>
TrafficNode::RemoveUnreachable(TimePoint aNow)
{
  std::vector<std::string> unreachable;
  for (auto next = m_peers.begin(); next != m_peers.end();) {
    const auto current = next++;
    Peer& peer = *current->second;
    if (peer.link->IsUp()) {
      peer.lastUpAt = aNow;
    }
    const bool stopped = peer.member.stopTimeMs != 0 && !peer.link->IsUp();
    if (!stopped && aNow - peer.lastUpAt <= kRemoveUnreachableAfter) {
      continue;
    }
    Event("member_forgotten")
      .Add("member", current->first)
      .Add("unreachable_ms", ToMilliseconds(aNow - peer.lastUpAt))
      .Info();
    std::erase(m_peersByService[peer.member.service], &peer);
    peer.link->Close();
    if (!stopped) {
      unreachable.push_back(current->first);
    }
    m_peerRuns.Forget(current->first);
    m_suspectSync.Forget(current->first);
    m_peers.erase(current);
  }
  UpdateDaemonCounts();
  return unreachable;
}

void
TrafficNode::UpdateDaemonCounts()
{
  m_dispatcher.SetDaemons(m_peers.size() + 1);
  m_targetRetryBudget.SetDaemons(m_peers.size() + 1);
  const auto otherRegion =
    std::count_if(m_peers.begin(), m_peers.end(), [](const auto& aPeer) {
      return aPeer.second->distance == placement::Distance::kOtherRegion;
    });
  m_linkBudget.SetPeerCounts(m_peers.size() - static_cast<size_t>(otherRegion),
                             static_cast<size_t>(otherRegion));
}

void
TrafficNode::AddMembers(const std::vector<mesh::Member>& aMembers)
{
  for (const mesh::Member& member : aMembers) {
    OnMember(member);
  }
}

std::vector<mesh::Member>
TrafficNode::Members() const
{
  std::vector<mesh::Member> members;
  for (const auto& [address, peer] : m_peers) {
    members.push_back(peer->member);
  }
  return members;
}

const routes::RouteConfig*
TrafficNode::Config() const
{
  return m_dispatcher.Table() ? &m_dispatcher.Table()->Config() : nullptr;
}

exchange::LoadReport
TrafficNode::LocalReport()
{
  exchange::LoadReport report = m_gateway.Report("");
  report.configVersion = mesh::ConfigVersionOf(*this);
  report.storeLost = m_storeLost;
  report.storeGeneration = m_storeGeneration;
  report.suspectsDigest = m_suspectsDigest;
  return report;
}

void
TrafficNode::OnMember(const mesh::Member& aMember)
{
  if (aMember.address == m_localMember.address) {
    if (aMember.incarnation != m_localMember.incarnation &&
        !aMember.leavingTarget.id.empty()) {
      // Requests of the same peer may follow in the next frame.
      m_gateway.RecordLeaving(aMember.leavingTarget);
      m_callbacks.onEarlierLeave(aMember.leavingTarget);
    }
    return;
  }
  const Peer* known = FindPeer(aMember.address);
  const bool stopped = aMember.stopTimeMs != 0;
  if (aMember.address.empty() || (known == nullptr && stopped) ||
      (known != nullptr && !mesh::IsNewer(aMember, known->member))) {
    return;
  }
  std::unique_ptr<Peer>& peer = m_peers[aMember.address];
  const bool isFirst = !peer;
  if (isFirst) {
    peer = std::make_unique<Peer>();
    peer->distance = aMember.failureDomain == m_settings.failureDomain
                       ? placement::Distance::kSameFailureDomain
                     : aMember.region == m_settings.region
                       ? placement::Distance::kSameRegion
                       : placement::Distance::kOtherRegion;
    const bool isOtherRegion =
      peer->distance == placement::Distance::kOtherRegion;
    peer->link = std::make_unique<mesh::PeerLink>(
      m_io,
      *this,
      m_linkBudget,
      aMember.address,
      mesh::PeerLinkOptions{ isOtherRegion ? kOtherRegionRoundTrip
                                           : kSameRegionRoundTrip,
                             isOtherRegion });
  }
  if (isFirst || peer->member.service != aMember.service) {
    if (!isFirst) {
      std::erase(m_peersByService[peer->member.service], peer.get());
      peer->meanRunTimes.clear();
    }
    m_peersByService[aMember.service].push_back(peer.get());
  }
  if (!isFirst && peer->member.incarnation != aMember.incarnation) {
    peer->meanRunTimes.clear();
    if (!peer->member.leavingTarget.id.empty()) {
      peer->earlierLeave = peer->member.leavingTarget;
    }
  }
  if (!targets::IsLater(peer->earlierLeave, aMember.leavingTarget)) {
    // The member passes it on from now on.
    peer->earlierLeave = {};
  }
  Event("member")
    .Add("member", aMember.address)
    .Add("incarnation", aMember.incarnation)
    .Add("revision", aMember.revision)
    .Add("service", aMember.service)
    .Add("failure_domain", aMember.failureDomain)
    .Add("accepting", aMember.accepting ? "true" : "false")
    .Add("slots", aMember.slots)
    .Add("stopped", stopped ? "true" : "false")
    .Info();
  peer->member = aMember;
  peer->report.accepting = aMember.accepting;
  peer->report.slots = aMember.slots;
  peer->reportedAt = BootNow();
  peer->lastUpAt = peer->reportedAt;
  UpdateDaemonCounts();
  // Links to other regions are opened at the next tick, when all members of the
  // table that was read are known.
  if (isFirst && peer->distance != placement::Distance::kOtherRegion) {
    peer->link->Tick(BootNow());
  }
}

TrafficNode::Peer*
TrafficNode::FindPeer(const std::string& aAddress)
{
  const auto found = m_peers.find(aAddress);
  return found == m_peers.end() ? nullptr : found->second.get();
}

void
TrafficNode::OnReport(const std::string& aAddress,
                      const exchange::LoadReport& aReport)
{
  if (Peer* peer = FindPeer(aAddress)) {
    peer->report = aReport;
    peer->reportedAt = BootNow();
    peer->sentSinceReport = 0;
    CompareSuspects(*peer, aReport.suspectsDigest);
  }
  SetStoreGeneration(aReport.storeGeneration);
}

void
TrafficNode::SetStoreGeneration(uint64_t aGeneration)
{
  if (aGeneration <= m_storeGeneration) {
    return;
  }
  m_storeGeneration = aGeneration;
  m_callbacks.onStoreGeneration(aGeneration);
}

void
TrafficNode::OnConfig(const routes::RouteConfig& aConfig)
{
  SetConfig(aConfig, "peer");
}

bool
TrafficNode::ShouldRequestConfig(uint64_t aVersion, const std::string& aAddress)
{
  const TimePoint now = BootNow();
  if (aVersion > m_newestKnownConfig) {
    m_newestKnownConfig = aVersion;
    m_newestConfigKnownSince = now;
  }
  const Peer* peer = FindPeer(aAddress);
  const bool isOtherRegion =
    peer != nullptr && peer->distance == placement::Distance::kOtherRegion;
  const Duration timeSinceKnown = now - m_newestConfigKnownSince;
  const Duration requestDelay = Config() == nullptr ? Duration{}
                                : isOtherRegion ? kOtherRegionConfigRequestDelay
                                : m_watchesStore ? kConfigRequestDelay
                                                 : Duration{};
  if (timeSinceKnown < requestDelay ||
      now - m_configRequestedAt < kConfigRequestInterval) {
    return false;
  }
  m_configRequestedAt = now;
  return true;
}

std::vector<quarantine::SuspectEntry>
TrafficNode::CrashSuspectsSince(TimePoint aSince) const
{
  return m_quarantine.ExportSince(aSince, BootNow());
}

std::vector<quarantine::SuspectEntry>
TrafficNode::CrashSuspectsDiffering(
  const quarantine::ListDigests& aDigests) const
{
  return m_quarantine.ExportDiffering(aDigests, BootNow());
}

void
TrafficNode::OnCrashSuspects(
  const std::vector<quarantine::SuspectEntry>& aSuspects)
{
  if (aSuspects.empty()) {
    return;
  }
  const uint64_t digest = m_suspectsDigest;
  m_quarantine.Merge(aSuspects, BootNow());
  UpdateSuspectsDigest();
  if (digest != m_suspectsDigest) {
    Event("crash_suspects")
      .Add("count", aSuspects.size())
      .Add("known", m_quarantine.Size())
      .Info();
  }
}

void
TrafficNode::UpdateSuspectsDigest()
{
  m_suspectsDigest = m_quarantine.Digest(BootNow());
}

void
TrafficNode::CompareSuspects(const Peer& aPeer, uint64_t aDigest)
{
  const TimePoint now = BootNow();
  const bool isOtherRegion =
    aPeer.distance == placement::Distance::kOtherRegion;
  if (!aPeer.link->IsUp() ||
      !m_suspectSync.OnDigest({ aPeer.member.address, aDigest, isOtherRegion },
                              { m_suspectsDigest, m_quarantine.Size() == 0 },
                              now)) {
    return;
  }
  mesh::wire::Frame frame;
  *frame.mutable_suspects_request() = mesh::ToProto(m_quarantine.Digests(now));
  aPeer.link->Send(frame);
}

void
TrafficNode::OnRunNotice(const std::string& aAddress, uint64_t aFingerprint)
{
  m_peerRuns.OnRunNotice(aAddress, aFingerprint, BootNow());
}

void
TrafficNode::OnPeerEnded(const std::string& aAddress,
                         const std::vector<uint64_t>& aFingerprints)
{
  const Peer* peer = FindPeer(aAddress);
  if (peer == nullptr || peer->member.stopTimeMs != 0) {
    m_peerRuns.Forget(aAddress);
    return;
  }
  const TimePoint now = BootNow();
  const quarantine::PeerEnd end =
    m_peerRuns.OnPeerEnded(aAddress, aFingerprints, now);
  if (end.lostRuns == 0) {
    return;
  }
  Event("peer_ended")
    .Add("member", aAddress)
    .Add("in_flight", end.lostRuns)
    .Add("suspected", end.suspects.size())
    .Warn();
  std::vector<quarantine::SuspectEntry> entries;
  for (const quarantine::LostRun& run : end.suspects) {
    if (const auto entry = m_quarantine.OnDaemonLost(
          run.fingerprint, run.startedAt, now, m_rng)) {
      entries.push_back(*entry);
    }
  }
  SendCrashSuspects(entries);
}

TrafficNode::Peer*
TrafficNode::Witness()
{
  Peer* known = FindPeer(m_witness);
  if (known != nullptr && known->link->IsUp()) {
    return known;
  }
  Peer* best = nullptr;
  for (const auto& [address, peer] : m_peers) {
    if (peer->link->IsUp() &&
        (best == nullptr || peer->distance < best->distance)) {
      best = peer.get();
    }
  }
  m_witness = best == nullptr ? "" : best->member.address;
  return best;
}

void
TrafficNode::SendRunNotice(uint64_t aFingerprint)
{
  if (const Peer* witness = Witness()) {
    mesh::wire::Frame frame;
    frame.mutable_run_notice()->set_fingerprint(aFingerprint);
    witness->link->Send(frame);
  }
}

void
TrafficNode::OnLinkStateChange(const std::string& aAddress,
                               std::string_view aReason)
{
  Event event(aReason.empty() ? "link_up" : "link_lost");
  event.Add("member", aAddress);
  if (!aReason.empty()) {
    event.Add("reason", aReason);
  }
  event.Info();
  const Peer* peer = FindPeer(aAddress);
  if (peer != nullptr && aReason.empty()) {
    SendEarlierLeave(*peer);
  }
}

void
TrafficNode::SendEarlierLeave(const Peer& aPeer)
{
  if (aPeer.earlierLeave.id.empty()) {
    return;
  }
  // If the store is unreachable, the restarted daemon does not know the leave
  // and would trust a late heartbeat of the target that left.
  mesh::Member earlier = aPeer.member;
  earlier.incarnation = 0;
  earlier.leavingTarget = aPeer.earlierLeave;
  mesh::wire::Frame frame;
  *frame.mutable_member_update()->mutable_member() = mesh::ToProto(earlier);
  aPeer.link->Send(frame);
}

bool
TrafficNode::IsUsable(const Peer& aPeer, TimePoint aNow) const
{
  if (!aPeer.link->IsUp()) {
    return false;
  }
  return aPeer.report.accepting ||
         (aPeer.member.accepting &&
          aNow - aPeer.reportedAt > kMaxNotAcceptingReportAge);
}

placement::Candidate
TrafficNode::MakeCandidate(const Peer& aPeer,
                           const std::string& aRoute,
                           TimePoint aNow) const
{
  placement::Candidate candidate;
  candidate.distance = aPeer.distance;
  candidate.roundTrip = aPeer.link->RoundTrip();
  candidate.slots = aPeer.report.slots;
  candidate.running = aPeer.report.running;
  candidate.expectedWait = aPeer.report.expectedWait;
  const auto run = aPeer.meanRunTimes.find(aRoute);
  candidate.meanRunTime =
    run == aPeer.meanRunTimes.end() ? Duration{} : run->second;
  candidate.reportAge = aNow - aPeer.reportedAt;
  candidate.sentSinceReport = aPeer.sentSinceReport;
  candidate.rateShare = aPeer.report.requestsPerSecond.value_or(0) /
                        static_cast<double>(m_peers.size() + 1);
  candidate.failureShare = aPeer.report.failureShare;
  candidate.stopping = aPeer.report.stopping;
  return candidate;
}

std::vector<exchange::TargetOption>
TrafficNode::TargetOptions(const std::string& aService,
                           const std::string& aRoute)
{
  const TimePoint now = BootNow();
  std::vector<exchange::TargetOption> options;
  if (aService == m_settings.service && m_gateway.IsAccepting()) {
    const exchange::LoadReport report = m_gateway.Report(aRoute);
    if (report.accepting) {
      placement::Candidate candidate;
      candidate.distance = placement::Distance::kLocalTarget;
      candidate.slots = report.slots;
      candidate.running = report.running;
      candidate.expectedWait = report.expectedWait;
      candidate.meanRunTime = report.meanRunTime;
      candidate.failureShare = report.failureShare;
      candidate.stopping = report.stopping;
      options.push_back({ candidate, &m_local, m_localMember.address });
    }
  }
  const auto found = m_peersByService.find(aService);
  if (found == m_peersByService.end()) {
    return options;
  }
  const size_t count = found->second.size();
  for (const Peer* peer : found->second) {
    const bool sameFailureDomain =
      peer->distance == placement::Distance::kSameFailureDomain;
    if (!sameFailureDomain && count > kTargetSampleSize &&
        UniformBelow(m_rng, count) >= kTargetSampleSize) {
      continue;
    }
    if (IsUsable(*peer, now)) {
      options.push_back({ MakeCandidate(*peer, aRoute, now),
                          peer->link.get(),
                          peer->member.address });
    }
  }
  return options;
}

bool
TrafficNode::HasTargets(const std::string& aService) const
{
  const auto found = m_peersByService.find(aService);
  return aService == m_settings.service ||
         (found != m_peersByService.end() && !found->second.empty());
}

void
TrafficNode::OnSent(const std::string& aAddress)
{
  if (Peer* peer = FindPeer(aAddress)) {
    ++peer->sentSinceReport;
  }
}

void
TrafficNode::OnResult(const std::string& aAddress,
                      const exchange::Attempt& aAttempt,
                      const exchange::AttemptResult& aResult)
{
  const exchange::LoadReport& report = aResult.report;
  if (Peer* peer = FindPeer(aAddress)) {
    if (report.meanRunTime > Duration{}) {
      peer->meanRunTimes[aAttempt.route] = report.meanRunTime;
    }
  }
  if (report.slots == 0) {
    return;
  }
  if (exchange::IsRepresentative(report.requestsPerSecond.has_value(),
                                 HasUnlimitedTarget(aAttempt.service))) {
    m_serviceLevels[AdmissionKey(aAttempt.service, aAttempt.route)].Record(
      report.admissionLevels, BootNow());
  }
}

bool
TrafficNode::HasUnlimitedTarget(const std::string& aService)
{
  if (aService == m_settings.service && m_gateway.IsAccepting() &&
      !m_gateway.RequestsPerSecond()) {
    return true;
  }
  const TimePoint now = BootNow();
  const auto found = m_peersByService.find(aService);
  return found != m_peersByService.end() &&
         std::any_of(found->second.begin(),
                     found->second.end(),
                     [this, now](const Peer* aPeer) {
                       return IsUsable(*aPeer, now) &&
                              !aPeer->report.requestsPerSecond;
                     });
}

exchange::Levels
TrafficNode::AdmissionLevels(const std::string& aService,
                             const std::string& aRoute)
{
  const auto found = m_serviceLevels.find(AdmissionKey(aService, aRoute));
  return found == m_serviceLevels.end() ? exchange::Levels{ 1, 1, 1, 1 }
                                        : found->second.At(BootNow());
}

void
TrafficNode::OnTargetCrashed(const std::vector<uint64_t>& aFingerprints)
{
  Event("target_died")
    .Add("in_flight", aFingerprints.size())
    .Add("fingerprints", FormatFingerprints(aFingerprints))
    .Warn();
  SendCrashSuspects(
    m_quarantine.OnTargetCrashed(aFingerprints, BootNow(), m_rng));
}

void
TrafficNode::SendCrashSuspects(
  const std::vector<quarantine::SuspectEntry>& aEntries)
{
  UpdateSuspectsDigest();
  if (aEntries.empty()) {
    return;
  }
  // On the connections that bring results to the peers, so that a peer knows
  // the suspect before the result of its attempt.
  mesh::wire::Frame frame;
  *frame.mutable_suspects() = mesh::ToProto(aEntries);
  m_peerServer.Broadcast(frame);
}

exchange::RunPermission
TrafficNode::BeginRun(const exchange::Attempt& aAttempt)
{
  const TimePoint now = BootNow();
  switch (m_quarantine.Check(aAttempt.fingerprint, m_trialDaemons, now).kind) {
    case quarantine::QuarantineAction::kPass:
      break;
    case quarantine::QuarantineAction::kTrialHere:
      if (!m_quarantine.BeginTrial(aAttempt.fingerprint, m_trialDaemons, now)) {
        return exchange::RunPermission::kWait;
      }
      m_log.LogSuspect("suspect_runs", aAttempt, now);
      break;
    case quarantine::QuarantineAction::kTrialElsewhere:
    case quarantine::QuarantineAction::kQuarantined:
      m_log.LogSuspect("suspect_rejected", aAttempt, now);
      return exchange::RunPermission::kReject;
  }
  m_targetRetryBudget.RecordCall(m_settings.service, now);
  if (!aAttempt.fromPeer) {
    SendRunNotice(aAttempt.fingerprint);
  }
  return exchange::RunPermission::kRun;
}

bool
TrafficNode::MayResend(uint64_t aFingerprint)
{
  return m_quarantine.Check(aFingerprint, m_trialDaemons, BootNow()).kind ==
         quarantine::QuarantineAction::kPass;
}

bool
TrafficNode::TryTakeRetry(const exchange::Attempt& aAttempt)
{
  return m_targetRetryBudget.TryTake(
    m_settings.service, exchange::ClaimOf(aAttempt), BootNow());
}

void
TrafficNode::OnAttemptLost(const exchange::Attempt& aAttempt,
                           bool aKeptConnection)
{
  m_log.LogLostAttempt(aAttempt, aKeptConnection, BootNow());
}

void
TrafficNode::OnInvalidResponse(const exchange::Attempt& aAttempt,
                               const http1::NoResponse& aFailure)
{
  m_log.LogInvalidResponse(aAttempt, aFailure, BootNow());
}

void
TrafficNode::OnTargetCondition(const targets::TargetRun& aRun,
                               const targets::TargetNotice& aState)
{
  Event event("target_condition");
  event.Add("target", aRun.id)
    .Add("limit_per_s",
         aState.requestsPerSecond ? fmt::format("{}", *aState.requestsPerSecond)
                                  : "none")
    .Add("leaving", aState.leaving ? "true" : "false")
    .Add("sent", m_gateway.Counts().sent);
  if (aState.leaving && m_localMember.leavingTarget != aRun) {
    // Before the response is passed on, so that whoever receives it also knows
    // what to tell the next process of this daemon.
    m_localMember.leavingTarget = aRun;
    AnnounceLocalMember();
    m_callbacks.onTargetLeaving(aRun);
  }
  if (aState.isLimitUnreadable) {
    event.Add("error", "limit is not a number >= 0").Warn();
    return;
  }
  event.Info();
}

void
TrafficNode::EndRun(uint64_t aFingerprint, bool aSurvived)
{
  if (const auto entry =
        m_quarantine.EndTrial(aFingerprint, aSurvived, BootNow())) {
    SendCrashSuspects({ *entry });
  }
}

exchange::Levels
TrafficNode::DownstreamAdmissionLevels(const std::string& aRoute)
{
  return m_dispatcher.DownstreamAdmissionLevels(aRoute);
}

void
TrafficNode::OnRequestCompleted(const exchange::RequestSummary& aSummary)
{
  m_metrics.Record(aSummary);
  m_log.LogRequest(aSummary, BootNow());
}

bool
TrafficNode::IsRunAllowed(uint64_t aFingerprint)
{
  return m_quarantine.Check(aFingerprint, m_trialDaemons, BootNow()).kind !=
         quarantine::QuarantineAction::kQuarantined;
}

} // namespace wagtailbend::node
