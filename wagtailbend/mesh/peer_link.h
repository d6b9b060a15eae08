// Connection to a peer daemon that sends attempts to the target of that peer.
//
//   PeerLink link(io, context, "10.1.0.9:7620");
//   link.Tick(now);                // every 100 ms: connects, pings
//   if (link.IsUp()) { link.Start(attempt, done); }
//
// A connection may stop transferring data permanently while new connections
// work. The link therefore sends a ping when attempts are open and nothing is
// received, replaces a silent connection by a new one, and sends the ids of its
// open attempts there. The peer continues those that it received. It knows for
// certain which attempts it never received, because it closes the earlier
// connection first.

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include "wagtailbend/exchange/attempt.h"
#include "wagtailbend/mesh/frame_stream.h"
#include "wagtailbend/mesh/node_context.h"
#include "wagtailbend/mesh/peer_link_limits.h"

namespace wagtailbend::mesh {

struct PeerLinkOptions
{
  Duration expectedRoundTrip{};
  /// The peer is in another region.
  bool otherRegion = false;
};

/// Must be used on the traffic thread only. Destroy it only after the
/// io_context has stopped or after Close.
class PeerLink : public exchange::AttemptChannel
{
public:
  PeerLink(asio::io_context& aIo,
           NodeContext& aContext,
           PeerLinkLimits& aLinkLimits,
           std::string aAddress,
           PeerLinkOptions aOptions);
  ~PeerLink() override;
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  void Start(const exchange::Attempt& aAttempt,
             exchange::AttemptDone aDone) override;
  void Cancel(uint64_t aAttemptId) override;

  /// Connects, pings and checks timeouts.
  void Tick(TimePoint aNow);
  /// Closes the link. Open attempts complete with an unknown outcome.
  void Close();
  /// Sends the version of the current configuration if the link is up.
  void SendConfigVersion();
  /// Sends an update of this daemon if the link is up.
  void Send(const wire::Frame& aFrame);

  bool IsUp() const { return m_phase == Phase::kUp; }
  Duration RoundTrip() const { return m_roundTrip; }
  size_t InFlight() const { return m_attempts.size(); }
  const std::string& Address() const { return m_address; }
  uint64_t BytesSent() const { return m_stream ? m_stream->BytesSent() : 0; }

private:
  enum class Phase : uint8_t
  {
    kDown,
    kConnecting,
    /// Hello has been sent and Welcome not yet received.
    kHandshaking,
    kUp,
    kClosed,
  };
  struct OpenAttempt
  {
    exchange::AttemptDone done;
    uint64_t fingerprint = 0;
  };
  struct LifetimeGuard;

  void Connect(TimePoint aNow);
  void OnConnected(asio::ip::tcp::socket aSocket);
  void OnFrame(wire::Frame& aFrame);
  void OnWelcome(const wire::Welcome& aWelcome);
  void OnResult(wire::Result& aResult);
  void OnPong(const wire::Pong& aPong);
  void OnDisconnected(std::string_view aReason);
  void Ping(TimePoint aNow);
  void Reattach();
  void UpdatePeerConfigVersion(uint64_t aVersion);
  /// Requests the peer's configuration if it is newer and the context allows
  /// it.
  void RequestNewerConfig();
  void FailOpenAttempts(ErrorKind aKind, const char* aDetail);
  /// The peer's process has ended, so its attempts cannot complete.
  void OnPeerEnded(const char* aDetail);

  asio::io_context& m_io;
  NodeContext& m_context;
  PeerLinkLimits& m_linkLimits;
  const std::string m_address;
  const bool m_otherRegion;
  Phase m_phase = Phase::kDown;
  std::shared_ptr<LifetimeGuard> m_lifetimeGuard;
  std::shared_ptr<asio::ip::tcp::socket> m_connecting;
  std::shared_ptr<FrameStream> m_stream;
  /// Incarnation of the peer on the last connection; 0 before the first one.
  uint64_t m_incarnation = 0;
  uint64_t m_peerConfigVersion = 0;
  std::unordered_map<uint64_t, OpenAttempt> m_attempts;
  /// Start of the current phase. While the link is up: time from which silence
  /// is counted at the earliest.
  TimePoint m_phaseSince{};
  TimePoint m_disconnectedAt{};
  TimePoint m_reconnectAt{};
  Duration m_reconnectBackoff{};
  TimePoint m_lastTickAt{};
  uint64_t m_pingSequence = 0;
  bool m_pongPending = false;
  TimePoint m_pingSentAt{};
  Duration m_roundTrip;
};

} // namespace wagtailbend::mesh
