#include "wagtailbend/mesh/peer_link.h"

#include <algorithm>
#include <utility>

#include <asio/error.hpp>

#include "wagtailbend/base/boot_time.h"
#include "wagtailbend/mesh/convert.h"
#include "wagtailbend/net/socket_options.h"

namespace wagtailbend::mesh {
namespace {

// Limit for connect and handshake together, in addition to two round trips.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(700);
// Time for which attempts stay open after their connection is lost, so that
// their results can be received on a new connection.
constexpr Duration kReattachTimeout = std::chrono::milliseconds(900);
constexpr Duration kMinBackoff = std::chrono::milliseconds(50);
constexpr Duration kMaxBackoff = std::chrono::seconds(2);
// Silence with open attempts after which a ping checks the connection.
constexpr Duration kBusyPingInterval = std::chrono::milliseconds(300);
// Delay before retrying a connect that the rate limit did not allow.
constexpr Duration kConnectRetryDelay = std::chrono::milliseconds(100);
// Limit for the response to a ping, in addition to two round trips. The loss of
// one packet delays TCP by about 200 ms.
constexpr Duration kPongTimeout = std::chrono::milliseconds(600);
// Ticks come every 100 ms. A longer gap means that this process was suspended
// or starved of CPU, so that silence does not indicate a failure of the peer.
constexpr Duration kMaxTickGap = std::chrono::milliseconds(400);
// Weight of a new sample in the moving average of the round trip.
constexpr double kRoundTripSampleWeight = 0.2;

} // namespace

/// Lets socket callbacks detect that the link has been destroyed.
struct PeerLink::LifetimeGuard
{
  PeerLink* link = nullptr;
};

PeerLink::PeerLink(asio::io_context& aIo,
                   NodeContext& aContext,
                   PeerLinkLimits& aLinkLimits,
                   std::string aAddress,
                   PeerLinkOptions aOptions)
  : m_io(aIo)
  , m_context(aContext)
  , m_linkLimits(aLinkLimits)
  , m_address(std::move(aAddress))
  , m_otherRegion(aOptions.otherRegion)
  , m_lifetimeGuard(std::make_shared<LifetimeGuard>())
  , m_roundTrip(aOptions.expectedRoundTrip)
{
  m_lifetimeGuard->link = this;
}

PeerLink::~PeerLink()
{
  m_lifetimeGuard->link = nullptr;
  if (m_stream) {
    m_stream->Close();
  }
}

void
PeerLink::Close()
{
  m_phase = Phase::kClosed;
  if (m_stream) {
    m_stream->Close();
  }
  m_connecting.reset();
  FailOpenAttempts(ErrorKind::kConnectionLost, "link to peer closed");
}

void
PeerLink::Start(const exchange::Attempt& aAttempt, exchange::AttemptDone aDone)
{
  if (m_phase != Phase::kUp) {
    exchange::AttemptResult result;
    result.outcome = exchange::Outcome::kNotRun;
    result.error = { ErrorKind::kNoTarget, "link to peer is down" };
    aDone(std::move(result));
    return;
  }
  const TimePoint now = BootNow();
  if (m_attempts.empty()) {
    // Silence before the first open attempt does not count.
    m_phaseSince = now;
  }
  m_attempts.emplace(aAttempt.id,
                     OpenAttempt{ std::move(aDone), aAttempt.fingerprint });
  wire::Frame frame;
  FillProto(aAttempt, now, *frame.mutable_attempt());
  m_stream->Send(frame);
}

void
PeerLink::Cancel(uint64_t aAttemptId)
{
  if (m_attempts.erase(aAttemptId) == 0 || m_phase != Phase::kUp) {
    return;
  }
  wire::Frame frame;
  frame.mutable_cancel()->set_id(aAttemptId);
  m_stream->Send(frame);
}

void
PeerLink::Send(const wire::Frame& aFrame)
{
  if (m_phase == Phase::kUp) {
    m_stream->Send(aFrame);
  }
}

void
PeerLink::Tick(TimePoint aNow)
{
  const bool wasSuspended =
    aNow - std::exchange(m_lastTickAt, aNow) > kMaxTickGap;
  if (wasSuspended) {
    m_phaseSince = aNow;
    m_pingSentAt = aNow;
  }
  switch (m_phase) {
    case Phase::kClosed:
      return;
    case Phase::kDown:
      if (!m_attempts.empty() && aNow - m_disconnectedAt > kReattachTimeout) {
        FailOpenAttempts(ErrorKind::kConnectionLost, "peer is unreachable");
      }
      if (aNow >= m_reconnectAt) {
        Connect(aNow);
      }
      return;
    case Phase::kConnecting:
    case Phase::kHandshaking:
      if (aNow - m_phaseSince > kConnectTimeout + 2 * m_roundTrip) {
        OnDisconnected("connect-timeout");
      }
      return;
    case Phase::kUp:
      break;
  }
  RequestNewerConfig();
  if (m_pongPending) {
    const TimePoint lastActivity =
      std::max(m_stream->LastReceivedAt(), m_pingSentAt);
    if (aNow - lastActivity > kPongTimeout + 2 * m_roundTrip) {
      OnDisconnected("silent");
    }
    return;
  }
  const Duration silence =
    aNow - std::max(m_stream->LastReceivedAt(), m_phaseSince);
  if (silence > (m_attempts.empty()
                   ? m_linkLimits.IdlePingInterval(m_otherRegion)
                   : kBusyPingInterval)) {
    Ping(aNow);
  }
}

void
PeerLink::Ping(TimePoint aNow)
{
  m_pongPending = true;
  m_pingSentAt = aNow;
  wire::Frame frame;
  frame.mutable_ping()->set_sequence(++m_pingSequence);
  frame.mutable_ping()->set_config_version(ConfigVersionOf(m_context));
  m_stream->Send(frame);
}

void
PeerLink::SendConfigVersion()
{
  if (m_phase == Phase::kUp && !m_pongPending) {
    Ping(BootNow());
  }
}

void
PeerLink::Connect(TimePoint aNow)
{
  const auto endpoint = net::ParseEndpoint(m_address);
  if (!endpoint) {
    m_phase = Phase::kClosed;
    return;
  }
  // With open attempts the rate limit is ignored, because their results are
  // waiting on the peer.
  if (m_otherRegion && m_attempts.empty() &&
      !m_linkLimits.TryTakeConnectToken(aNow)) {
    m_reconnectAt = aNow + kConnectRetryDelay;
    return;
  }
  m_phase = Phase::kConnecting;
  m_phaseSince = aNow;
  auto socket = std::make_shared<asio::ip::tcp::socket>(m_io);
  m_connecting = socket;
  socket->async_connect(
    *endpoint, [guard = m_lifetimeGuard, socket](const std::error_code& aCode) {
      PeerLink* link = guard->link;
      if (link == nullptr || link->m_connecting != socket) {
        return;
      }
      link->m_connecting.reset();
      if (!aCode) {
        link->OnConnected(std::move(*socket));
        return;
      }
      if (aCode == asio::error::connection_refused) {
        link->OnPeerEnded("peer process exited");
      }
      link->OnDisconnected("connect-failed");
    });
}

void
PeerLink::OnConnected(asio::ip::tcp::socket aSocket)
{
  m_phase = Phase::kHandshaking;
  FrameStream::Handler handler;
  handler.onFrame = [guard = m_lifetimeGuard](wire::Frame& aFrame) {
    if (guard->link != nullptr) {
      guard->link->OnFrame(aFrame);
    }
  };
  handler.onDisconnect = [guard = m_lifetimeGuard](std::string_view aReason) {
    if (guard->link != nullptr) {
      guard->link->OnDisconnected(aReason);
    }
  };
  m_stream = FrameStream::Make(std::move(aSocket), std::move(handler));
  m_stream->SetTraffic(m_otherRegion ? m_context.Traffic().otherRegion
                                     : m_context.Traffic().sameRegion);
  m_stream->Start();
  wire::Frame frame;
  wire::Hello& hello = *frame.mutable_hello();
  *hello.mutable_member() = ToProto(m_context.Self());
  hello.set_config_version(ConfigVersionOf(m_context));
  hello.set_wants_members(m_context.Members().size() <= 1);
  m_stream->Send(frame);
}

void
PeerLink::OnFrame(wire::Frame& aFrame)
{
  switch (aFrame.body_case()) {
    case wire::Frame::kWelcome:
      OnWelcome(aFrame.welcome());
      return;
    case wire::Frame::kResult:
      OnResult(*aFrame.mutable_result());
      return;
    case wire::Frame::kPong:
      OnPong(aFrame.pong());
      return;
    case wire::Frame::kMemberUpdate:
      m_context.OnMember(FromProto(aFrame.member_update().member()));
      m_context.OnReport(m_address, FromProto(aFrame.member_update().report()));
      UpdatePeerConfigVersion(aFrame.member_update().report().config_version());
      return;
    case wire::Frame::kConfig:
      m_context.OnConfig(FromProto(aFrame.config()));
      return;
    case wire::Frame::kSuspects:
      m_context.OnCrashSuspects(FromProto(aFrame.suspects()));
      return;
    case wire::Frame::kConfigRequest:
      if (ConfigVersionOf(m_context) > aFrame.config_request().newer_than()) {
        wire::Frame response;
        *response.mutable_config() = ToProto(*m_context.Config());
        m_stream->Send(response);
      }
      return;
    default:
      return;
  }
}

void
PeerLink::OnWelcome(const wire::Welcome& aWelcome)
{
  if (m_phase != Phase::kHandshaking) {
    return;
  }
  const Member member = FromProto(aWelcome.member());
  m_phase = Phase::kUp;
  const TimePoint now = BootNow();
  m_phaseSince = now;
  m_pongPending = false;
  m_reconnectBackoff = {};
  if (m_incarnation != 0 && m_incarnation != member.incarnation) {
    OnPeerEnded("peer process restarted");
  }
  m_incarnation = member.incarnation;
  // A restarted peer may have lost the configuration of its former process.
  m_peerConfigVersion = 0;
  // Before the results of earlier attempts.
  m_context.OnCrashSuspects(FromProto(aWelcome.suspects()));
  Reattach();
  m_context.OnMember(member);
  m_context.OnReport(m_address, FromProto(aWelcome.report()));
  UpdatePeerConfigVersion(aWelcome.report().config_version());
  m_context.OnLinkStateChange(m_address, "");
  for (const wire::MemberRecord& record : aWelcome.members()) {
    m_context.OnMember(FromProto(record));
  }
}

void
PeerLink::Reattach()
{
  wire::Frame frame;
  auto& ids = *frame.mutable_reattach()->mutable_ids();
  for (const auto& [id, attempt] : m_attempts) {
    ids.Add(id);
  }
  m_stream->Send(frame);
}

void
PeerLink::OnResult(wire::Result& aResult)
{
  auto node = m_attempts.extract(aResult.id());
  exchange::AttemptResult result = MoveFromProto(aResult);
  m_context.OnReport(m_address, result.report);
  UpdatePeerConfigVersion(result.report.configVersion);
  if (!node.empty()) {
    node.mapped().done(std::move(result));
  }
}

void
PeerLink::OnPong(const wire::Pong& aPong)
{
  if (aPong.sequence() != m_pingSequence || !m_pongPending) {
    return;
  }
  m_pongPending = false;
  const Duration sample = BootNow() - m_pingSentAt;
  m_roundTrip += Duration(
    static_cast<int64_t>(kRoundTripSampleWeight *
                         static_cast<double>((sample - m_roundTrip).count())));
  m_context.OnReport(m_address, FromProto(aPong.report()));
  UpdatePeerConfigVersion(aPong.report().config_version());
}

void
PeerLink::UpdatePeerConfigVersion(uint64_t aVersion)
{
  m_peerConfigVersion = std::max(m_peerConfigVersion, aVersion);
  RequestNewerConfig();
}

void
PeerLink::RequestNewerConfig()
{
  const uint64_t localVersion = ConfigVersionOf(m_context);
  if (m_phase != Phase::kUp || m_peerConfigVersion <= localVersion ||
      !m_context.ShouldRequestConfig(m_peerConfigVersion, m_address)) {
    return;
  }
  wire::Frame frame;
  frame.mutable_config_request()->set_newer_than(localVersion);
  m_stream->Send(frame);
}

void
PeerLink::OnDisconnected(std::string_view aReason)
{
  if (m_phase == Phase::kClosed || m_phase == Phase::kDown) {
    return;
  }
  const bool wasUp = m_phase == Phase::kUp;
  const TimePoint now = BootNow();
  m_phase = Phase::kDown;
  m_connecting.reset();
  if (m_stream) {
    m_stream->Close();
    m_stream.reset();
  }
  if (wasUp) {
    m_disconnectedAt = now;
    m_reconnectBackoff = {};
    m_context.OnLinkStateChange(m_address, aReason);
  }
  m_reconnectAt = now + m_reconnectBackoff;
  m_reconnectBackoff =
    std::clamp(2 * m_reconnectBackoff, kMinBackoff, kMaxBackoff);
  if (wasUp) {
    Connect(now);
  }
}

void
PeerLink::OnPeerEnded(const char* aDetail)
{
  std::vector<uint64_t> fingerprints;
  for (const auto& [id, attempt] : m_attempts) {
    fingerprints.push_back(attempt.fingerprint);
  }
  // Before the results, so that whoever gets one knows the suspects.
  m_context.OnPeerEnded(m_address, fingerprints);
  FailOpenAttempts(ErrorKind::kConnectionLost, aDetail);
}

void
PeerLink::FailOpenAttempts(ErrorKind aKind, const char* aDetail)
{
  for (auto& [id, attempt] : std::exchange(m_attempts, {})) {
    exchange::AttemptResult result;
    result.outcome = exchange::Outcome::kUnknown;
    result.reachedTarget = true;
    result.error = { aKind, aDetail };
    attempt.done(std::move(result));
  }
}

} // namespace wagtailbend::mesh
