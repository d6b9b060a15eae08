// Sends and receives gossip datagrams over one UDP socket.
//
//   auto transport = UdpTransport::Open(io, "10.0.0.1:7946", onDatagram);
//   transport->Send({ "10.0.0.2:7946", bytes });

#pragma once

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio/io_context.hpp>
#include <asio/ip/udp.hpp>

#include "wagtailbend/base/result.h"
#include "wagtailbend/membership/gossip_codec.h"
#include "wagtailbend/membership/swim.h"

namespace wagtailbend::membership {

/// Not thread-safe: must be used on the thread that runs its io_context.
class UdpTransport
{
public:
  /// Called with the sender's address "ip:port" and the datagram's bytes, which
  /// are valid only during the call.
  using Handler = std::function<void(std::string_view, std::string_view)>;

  /// Binds to aAddress ("ip:port"; port 0 selects a free port) and starts
  /// receiving. Returns kInvalidRequest if the address does not parse or cannot
  /// be bound.
  /// aIo must outlive the transport.
  static Result<std::unique_ptr<UdpTransport>> Open(asio::io_context& aIo,
                                                    std::string_view aAddress,
                                                    Handler aHandler);

  UdpTransport(const UdpTransport&) = delete;
  UdpTransport& operator=(const UdpTransport&) = delete;
  UdpTransport(UdpTransport&&) = delete;
  UdpTransport& operator=(UdpTransport&&) = delete;
  /// Closes the socket. The handler is not called after this.
  ~UdpTransport();

  /// Sends without blocking. If the address does not parse or the send fails,
  /// for example because the socket buffer is full, the datagram is dropped and
  /// counted, since gossip tolerates loss.
  void Send(const Datagram& aDatagram);

  /// Returns the bound address as "ip:port".
  std::string LocalAddress() const;
  uint64_t DroppedCount() const { return m_dropped; }

private:
  // The buffer has one byte more than a datagram may have, so that a datagram
  // that is too large is detected instead of being truncated unnoticed.
  struct ReceiveState
  {
    explicit ReceiveState(asio::io_context& aIo)
      : socket(aIo)
    {
    }

    asio::ip::udp::socket socket;
    Handler handler;
    asio::ip::udp::endpoint senderEndpoint;
    std::array<char, kMaxDatagramBytes + 1> buffer{};
  };

  explicit UdpTransport(std::shared_ptr<ReceiveState> aState);
  static void StartReceive(const std::shared_ptr<ReceiveState>& aState);

  // Shared with the pending receive operation, which outlives the transport.
  std::shared_ptr<ReceiveState> m_receiveState;
  uint64_t m_dropped = 0;
};

} // namespace wagtailbend::membership
