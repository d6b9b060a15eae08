// Accepts connections from peer daemons and runs their attempts on the local
// target.
//
//   PeerServer server(io, context, limits, gateway);
//   server.Listen(endpoint);
//   server.Tick(now);   // every 100 ms

#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "wagtailbend/base/result.h"
#include "wagtailbend/exchange/target_gateway.h"
#include "wagtailbend/mesh/frame_stream.h"
#include "wagtailbend/mesh/node_context.h"
#include "wagtailbend/mesh/peer_link_limits.h"

namespace wagtailbend::mesh {

/// Must be used on the traffic thread only, and must outlive the run of the
/// io_context.
class PeerServer
{
public:
  /// Limit on the bytes of results that are kept to be sent again.
  static constexpr size_t kDefaultMaxStoredBytes = 16UL * 1024 * 1024;

  /// aMaxStoredBytes: above it, the oldest kept results are dropped. A peer
  /// that asks for one of them is told that the outcome is unknown.
  PeerServer(asio::io_context& aIo,
             NodeContext& aContext,
             const PeerLinkLimits& aLinkLimits,
             exchange::TargetGateway& aGateway,
             size_t aMaxStoredBytes = kDefaultMaxStoredBytes);

  /// Starts to accept connections. Error kind: kInvalidRequest if the address
  /// cannot be bound.
  Result<Done> Listen(const asio::ip::tcp::endpoint& aEndpoint);

  /// Checks timeouts of connections, sessions and attempts.
  void Tick(TimePoint aNow);
  /// Sends the member record and load of this daemon to all connected peers.
  void AnnounceSelf();
  /// Sends a frame to all connected peers.
  void Broadcast(const wire::Frame& aFrame);
  /// Closes all connections and stops listening.
  void Close();

  /// Number of attempts of peers that have no result yet.
  size_t OpenAttempts() const;
  size_t SessionCount() const { return m_sessions.size(); }

private:
  /// An attempt received from a peer.
  struct ReceivedAttempt
  {
    /// Key for TargetGateway::Cancel; 0 until Run has returned.
    uint64_t gatewayKey = 0;
    bool idempotent = false;
    bool finished = false;
    TimePoint finishedAt;
    /// Kept, to be sent again after a reconnect, for attempts that did not run
    /// or that must not run twice.
    std::optional<wire::Result> storedResult;
  };
  /// State of one incarnation of a peer. Outlives its connections.
  struct Session
  {
    Member peer;
    std::shared_ptr<FrameStream> stream;
    std::unordered_map<uint64_t, ReceivedAttempt> attempts;
    /// Largest attempt id received. Ids increase, so an attempt with a larger
    /// id was never received.
    uint64_t highestAttemptId = 0;
    /// No attempt or Reattach has been received in this session. A forgotten
    /// session of the same incarnation may have run attempts.
    bool isNew = true;
    /// Time at which the connection was lost; unset while connected.
    std::optional<TimePoint> disconnectedAt;
    /// Time at which data was last received on the earlier connection.
    std::optional<TimePoint> lastHeardAt;
    /// Number of attempts without a result.
    size_t unfinishedCount = 0;
    /// Newest configuration version that the peer has announced.
    uint64_t configVersion = 0;

    /// Returns the time at which data was last received; unset before the
    /// first connection.
    std::optional<TimePoint> LastHeardAt() const;
    /// Records that the connection was lost. Precondition: there is one.
    void Disconnect(TimePoint aNow);
  };
  using SessionPtr = std::shared_ptr<Session>;
  /// Refers to ReceivedAttempt::storedResult.
  struct StoredResult
  {
    std::weak_ptr<Session> session;
    uint64_t attemptId = 0;
    size_t bytes = 0;
    TimePoint storedAt;
  };

  void Accept();
  void OnAccepted(asio::ip::tcp::socket aSocket);
  void OnHello(const std::shared_ptr<FrameStream>& aStream,
               const wire::Hello& aHello);
  void OnFrame(const SessionPtr& aSession, wire::Frame& aFrame);
  void OnAttempt(const SessionPtr& aSession, wire::Attempt& aMessage);
  void OnAttemptDone(const SessionPtr& aSession,
                     uint64_t aId,
                     const exchange::AttemptResult& aResult);
  void StoreResult(const SessionPtr& aSession,
                   uint64_t aId,
                   wire::Result aResult);
  void DropOldestStoredResult();
  void OnReattach(const SessionPtr& aSession, const wire::Reattach& aReattach);
  void OnPing(const SessionPtr& aSession, const wire::Ping& aPing);
  void UpdatePeerConfigVersion(Session& aSession, uint64_t aVersion);
  /// Requests the peer's configuration if it is newer and the context allows
  /// it. Precondition: the session has a connection.
  void RequestNewerConfig(const Session& aSession);
  /// Cancels the unfinished attempts of a session that are idempotent. Others
  /// must not be interrupted.
  void CancelIdempotentAttempts(const SessionPtr& aSession);

  NodeContext& m_context;
  const PeerLinkLimits& m_linkLimits;
  exchange::TargetGateway& m_gateway;
  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_acceptRetry;
  /// Connections that have not sent Hello, with the time at which they were
  /// accepted.
  std::map<std::shared_ptr<FrameStream>, TimePoint> m_pendingHandshakes;
  /// By incarnation of the peer that opened the connection.
  std::unordered_map<uint64_t, SessionPtr> m_sessions;
  const size_t m_maxStoredBytes;
  /// In the order of storedAt. Attempts may be forgotten before their entries.
  std::deque<StoredResult> m_storedResults;
  size_t m_storedBytes = 0;
  TimePoint m_lastTickAt{};
};

} // namespace wagtailbend::mesh
