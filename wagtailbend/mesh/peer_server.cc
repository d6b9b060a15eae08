#include "wagtailbend/mesh/peer_server.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <asio/error.hpp>

#include "wagtailbend/base/boot_time.h"
#include "wagtailbend/mesh/convert.h"

namespace wagtailbend::mesh {
namespace {

// Time within which a new connection must send Hello.
constexpr Duration kHandshakeTimeout = std::chrono::seconds(3);
// Time for which attempts of a disconnected peer continue. A running peer
// reconnects sooner, and the clients of a crashed one have disconnected.
constexpr Duration kCancelDelay = std::chrono::milliseconds(400);
// Time for which results are kept after sending, in case the connection is lost
// before the peer receives them.
constexpr Duration kResultRetention = std::chrono::seconds(2);
// A session is deleted after this time without a connection.
constexpr Duration kSessionRetention = std::chrono::seconds(10);
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
// A longer gap between ticks means that this process was suspended (see
// PeerLink).
constexpr Duration kMaxTickGap = std::chrono::milliseconds(400);
constexpr int kListenBacklog = 512;

} // namespace

PeerServer::PeerServer(asio::io_context& aIo,
                       NodeContext& aContext,
                       const PeerLinkLimits& aLinkLimits,
                       exchange::TargetGateway& aGateway,
                       size_t aMaxStoredBytes)
  : m_context(aContext)
  , m_linkLimits(aLinkLimits)
  , m_gateway(aGateway)
  , m_acceptor(aIo)
  , m_acceptRetry(aIo)
  , m_maxStoredBytes(aMaxStoredBytes)
{
}

Result<Done>
PeerServer::Listen(const asio::ip::tcp::endpoint& aEndpoint)
{
  std::error_code code;
  m_acceptor.open(aEndpoint.protocol(), code);
  if (!code) {
    std::error_code ignored;
    m_acceptor.set_option(asio::socket_base::reuse_address(true), ignored);
    m_acceptor.bind(aEndpoint, code);
  }
  if (!code) {
    m_acceptor.listen(kListenBacklog, code);
  }
  if (code) {
    return Error{ ErrorKind::kInvalidRequest,
                  "cannot listen for peer daemons on port " +
                    std::to_string(aEndpoint.port()) + ": " + code.message() };
  }
  Accept();
  return Done{};
}

void
PeerServer::Accept()
{
  m_acceptor.async_accept(
    [this](const std::error_code& aCode, asio::ip::tcp::socket aSocket) {
      if (!m_acceptor.is_open()) {
        return;
      }
      if (!aCode) {
        OnAccepted(std::move(aSocket));
        Accept();
        return;
      }
      m_acceptRetry.expires_after(kAcceptRetryDelay);
      m_acceptRetry.async_wait([this](const std::error_code& aEnd) {
        if (!aEnd && m_acceptor.is_open()) {
          Accept();
        }
      });
    });
}

void
PeerServer::OnAccepted(asio::ip::tcp::socket aSocket)
{
  auto weak = std::make_shared<std::weak_ptr<FrameStream>>();
  FrameStream::Handler handler;
  handler.onFrame = [this, weak](wire::Frame& aFrame) {
    const auto stream = weak->lock();
    if (stream && aFrame.has_hello()) {
      OnHello(stream, aFrame.hello());
    }
  };
  handler.onDisconnect = [this, weak](std::string_view) {
    m_pendingHandshakes.erase(weak->lock());
  };
  auto stream = FrameStream::Make(std::move(aSocket), std::move(handler));
  *weak = stream;
  m_pendingHandshakes.emplace(stream, BootNow());
  stream->Start();
}

std::optional<TimePoint>
PeerServer::Session::LastHeardAt() const
{
  return stream ? stream->LastReceivedAt() : lastHeardAt;
}

void
PeerServer::Session::Disconnect(TimePoint aNow)
{
  lastHeardAt = stream->LastReceivedAt();
  disconnectedAt = aNow;
  stream.reset();
}

void
PeerServer::OnHello(const std::shared_ptr<FrameStream>& aStream,
                    const wire::Hello& aHello)
{
  m_pendingHandshakes.erase(aStream);
  const Member peer = FromProto(aHello.member());
  SessionPtr& session = m_sessions[peer.incarnation];
  if (!session) {
    session = std::make_shared<Session>();
  }
  const std::optional<TimePoint> lastHeardAt = session->LastHeardAt();
  if (session->stream) {
    // Discards frames not yet read from the earlier connection, so that no
    // attempt arrives there after Reattach reports it as not received.
    session->stream->Close();
  }
  session->peer = peer;
  session->disconnectedAt.reset();
  session->stream = aStream;
  aStream->SetTraffic(peer.region == m_context.Self().region
                        ? m_context.Traffic().sameRegion
                        : m_context.Traffic().otherRegion);
  aStream->SetHandler(
    { [this, session](wire::Frame& aFrame) { OnFrame(session, aFrame); },
      [session, streamPointer = aStream.get()](std::string_view) {
        if (session->stream.get() == streamPointer) {
          session->Disconnect(BootNow());
        }
      } });
  wire::Frame frame;
  wire::Welcome& welcome = *frame.mutable_welcome();
  *welcome.mutable_member() = ToProto(m_context.Self());
  *welcome.mutable_report() = ToProto(m_context.LocalReport());
  if (lastHeardAt) {
    *welcome.mutable_suspects() =
      ToProto(m_context.CrashSuspectsSince(*lastHeardAt));
  }
  if (aHello.wants_members()) {
    for (const Member& member : m_context.Members()) {
      *welcome.add_members() = ToProto(member);
    }
  }
  aStream->Send(frame);
  UpdatePeerConfigVersion(*session, aHello.config_version());
  m_context.OnMember(peer);
}

void
PeerServer::OnFrame(const SessionPtr& aSession, wire::Frame& aFrame)
{
  switch (aFrame.body_case()) {
    case wire::Frame::kAttempt:
      OnAttempt(aSession, *aFrame.mutable_attempt());
      return;
    case wire::Frame::kCancel: {
      const auto found = aSession->attempts.find(aFrame.cancel().id());
      if (found != aSession->attempts.end() && !found->second.finished) {
        const uint64_t key = found->second.gatewayKey;
        aSession->attempts.erase(found);
        --aSession->unfinishedCount;
        m_gateway.Cancel(key);
      }
      return;
    }
    case wire::Frame::kReattach:
      OnReattach(aSession, aFrame.reattach());
      return;
    case wire::Frame::kPing:
      OnPing(aSession, aFrame.ping());
      return;
    case wire::Frame::kMemberUpdate:
      m_context.OnMember(FromProto(aFrame.member_update().member()));
      return;
    case wire::Frame::kConfigRequest:
      if (ConfigVersionOf(m_context) > aFrame.config_request().newer_than()) {
        wire::Frame response;
        *response.mutable_config() = ToProto(*m_context.Config());
        aSession->stream->Send(response);
      }
      return;
    case wire::Frame::kConfig:
      m_context.OnConfig(FromProto(aFrame.config()));
      return;
    case wire::Frame::kSuspects:
      m_context.OnCrashSuspects(FromProto(aFrame.suspects()));
      return;
    case wire::Frame::kSuspectsRequest: {
      const auto suspects =
        m_context.CrashSuspectsDiffering(FromProto(aFrame.suspects_request()));
      if (!suspects.empty()) {
        wire::Frame response;
        *response.mutable_suspects() = ToProto(suspects);
        aSession->stream->Send(response);
      }
      return;
    }
    case wire::Frame::kRunNotice:
      m_context.OnRunNotice(aSession->peer.address,
                            aFrame.run_notice().fingerprint());
      return;
    default:
      return;
  }
}

void
PeerServer::OnAttempt(const SessionPtr& aSession, wire::Attempt& aMessage)
{
  exchange::Attempt attempt = MoveFromProto(aMessage, BootNow());
  const uint64_t id = attempt.id;
  aSession->isNew = false;
  aSession->highestAttemptId = std::max(aSession->highestAttemptId, id);
  ReceivedAttempt received;
  received.idempotent = attempt.idempotent;
  if (!aSession->attempts.emplace(id, std::move(received)).second) {
    return;
  }
  ++aSession->unfinishedCount;
  const uint64_t key = m_gateway.Run(
    attempt, [this, aSession, id](const exchange::AttemptResult& aResult) {
      OnAttemptDone(aSession, id, aResult);
    });
  const auto found = aSession->attempts.find(id);
  if (found != aSession->attempts.end()) {
    found->second.gatewayKey = key;
  }
}

void
PeerServer::OnAttemptDone(const SessionPtr& aSession,
                          uint64_t aId,
                          const exchange::AttemptResult& aResult)
{
  const auto found = aSession->attempts.find(aId);
  if (found == aSession->attempts.end()) {
    return;
  }
  wire::Frame frame;
  wire::Result& message = *frame.mutable_result();
  FillProto(aResult, message);
  message.set_id(aId);
  message.mutable_report()->set_config_version(ConfigVersionOf(m_context));
  message.mutable_report()->set_suspects_digest(m_context.SuspectsDigest());
  ReceivedAttempt& received = found->second;
  received.finished = true;
  received.finishedAt = BootNow();
  --aSession->unfinishedCount;
  if (aSession->stream) {
    aSession->stream->Send(frame);
  }
  if (!received.idempotent || aResult.outcome == exchange::Outcome::kNotRun) {
    StoreResult(aSession, aId, std::move(message));
  }
}

void
PeerServer::StoreResult(const SessionPtr& aSession,
                        uint64_t aId,
                        wire::Result aResult)
{
  const size_t bytes = aResult.ByteSizeLong();
  aSession->attempts.at(aId).storedResult = std::move(aResult);
  m_storedResults.push_back({ aSession, aId, bytes, BootNow() });
  m_storedBytes += bytes;
  while (m_storedBytes > m_maxStoredBytes) {
    DropOldestStoredResult();
  }
}

void
PeerServer::DropOldestStoredResult()
{
  const StoredResult& oldest = m_storedResults.front();
  if (const SessionPtr session = oldest.session.lock()) {
    const auto found = session->attempts.find(oldest.attemptId);
    if (found != session->attempts.end()) {
      found->second.storedResult.reset();
    }
  }
  m_storedBytes -= oldest.bytes;
  m_storedResults.pop_front();
}

void
PeerServer::OnReattach(const SessionPtr& aSession,
                       const wire::Reattach& aReattach)
{
  std::set<uint64_t> wantedIds(aReattach.ids().begin(), aReattach.ids().end());
  std::vector<uint64_t> unwantedIds;
  for (const auto& [id, received] : aSession->attempts) {
    if (!received.finished && !wantedIds.contains(id)) {
      unwantedIds.push_back(id);
    }
  }
  for (const uint64_t id : unwantedIds) {
    const uint64_t key = aSession->attempts.at(id).gatewayKey;
    aSession->attempts.erase(id);
    --aSession->unfinishedCount;
    m_gateway.Cancel(key);
  }
  for (const uint64_t id : wantedIds) {
    const auto found = aSession->attempts.find(id);
    if (found != aSession->attempts.end() && !found->second.finished) {
      continue;
    }
    wire::Frame frame;
    wire::Result& result = *frame.mutable_result();
    if (found != aSession->attempts.end() && found->second.storedResult) {
      result = *found->second.storedResult;
    } else {
      const bool mayHaveArrived =
        aSession->isNew || id <= aSession->highestAttemptId;
      result.set_outcome(mayHaveArrived ? wire::Result::UNKNOWN
                                        : wire::Result::NOT_RUN);
      result.set_arrived(mayHaveArrived);
      result.set_error(
        std::string(ErrorResponseFor(ErrorKind::kConnectionLost).name));
      result.set_detail(mayHaveArrived ? "response lost with the connection"
                                       : "attempt lost with the connection");
      *result.mutable_report() = ToProto(m_context.LocalReport());
    }
    result.set_id(id);
    aSession->stream->Send(frame);
  }
  aSession->isNew = false;
}

void
PeerServer::OnPing(const SessionPtr& aSession, const wire::Ping& aPing)
{
  wire::Frame frame;
  frame.mutable_pong()->set_sequence(aPing.sequence());
  *frame.mutable_pong()->mutable_report() = ToProto(m_context.LocalReport());
  aSession->stream->Send(frame);
  UpdatePeerConfigVersion(*aSession, aPing.config_version());
}

void
PeerServer::UpdatePeerConfigVersion(Session& aSession, uint64_t aVersion)
{
  aSession.configVersion = std::max(aSession.configVersion, aVersion);
  RequestNewerConfig(aSession);
}

void
PeerServer::RequestNewerConfig(const Session& aSession)
{
  const uint64_t localVersion = ConfigVersionOf(m_context);
  if (aSession.configVersion <= localVersion ||
      !m_context.ShouldRequestConfig(aSession.configVersion,
                                     aSession.peer.address)) {
    return;
  }
  wire::Frame frame;
  frame.mutable_config_request()->set_newer_than(localVersion);
  aSession.stream->Send(frame);
}

void
PeerServer::CancelIdempotentAttempts(const SessionPtr& aSession)
{
  std::vector<uint64_t> keys;
  std::erase_if(aSession->attempts, [&keys](const auto& aAttempt) {
    const ReceivedAttempt& received = aAttempt.second;
    if (received.finished || !received.idempotent) {
      return false;
    }
    keys.push_back(received.gatewayKey);
    return true;
  });
  aSession->unfinishedCount -= keys.size();
  for (const uint64_t key : keys) {
    m_gateway.Cancel(key);
  }
}

void
PeerServer::Tick(TimePoint aNow)
{
  const bool wasSuspended =
    aNow - std::exchange(m_lastTickAt, aNow) > kMaxTickGap;
  for (auto next = m_pendingHandshakes.begin();
       next != m_pendingHandshakes.end();) {
    const auto current = next++;
    if (aNow - current->second > kHandshakeTimeout) {
      current->first->Close();
      m_pendingHandshakes.erase(current);
    }
  }
  while (!m_storedResults.empty() &&
         aNow - m_storedResults.front().storedAt > kResultRetention) {
    DropOldestStoredResult();
  }
  for (auto next = m_sessions.begin(); next != m_sessions.end();) {
    const auto current = next++;
    const SessionPtr session = current->second;
    if (session->stream && !wasSuspended &&
        aNow - session->stream->LastReceivedAt() >
          m_linkLimits.SessionTimeout()) {
      session->stream->Close();
      session->Disconnect(aNow);
    }
    std::erase_if(session->attempts, [aNow](const auto& aAttempt) {
      const ReceivedAttempt& received = aAttempt.second;
      return received.finished && aNow - received.finishedAt > kResultRetention;
    });
    if (session->stream) {
      RequestNewerConfig(*session);
    }
    if (!session->disconnectedAt || wasSuspended) {
      continue;
    }
    if (session->unfinishedCount > 0 &&
        aNow - *session->disconnectedAt > kCancelDelay) {
      CancelIdempotentAttempts(session);
    }
    if (aNow - *session->disconnectedAt > kSessionRetention) {
      m_sessions.erase(current);
    }
  }
}

void
PeerServer::Broadcast(const wire::Frame& aFrame)
{
  for (const auto& [incarnation, session] : m_sessions) {
    if (session->stream) {
      session->stream->Send(aFrame);
    }
  }
}

void
PeerServer::AnnounceSelf()
{
  wire::Frame frame;
  *frame.mutable_member_update()->mutable_member() = ToProto(m_context.Self());
  *frame.mutable_member_update()->mutable_report() =
    ToProto(m_context.LocalReport());
  Broadcast(frame);
}

void
PeerServer::Close()
{
  std::error_code ignored;
  m_acceptor.close(ignored);
  for (const auto& [stream, since] : std::exchange(m_pendingHandshakes, {})) {
    stream->Close();
  }
  for (const auto& [incarnation, session] : std::exchange(m_sessions, {})) {
    if (session->stream) {
      session->stream->Close();
    }
  }
}

size_t
PeerServer::OpenAttempts() const
{
  size_t count = 0;
  for (const auto& [incarnation, session] : m_sessions) {
    count += session->unfinishedCount;
  }
  return count;
}

} // namespace wagtailbend::mesh
