// Carries gossip datagrams over one UDP socket.
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

/// Runs on the thread of its io_context; no method is thread-safe.
class UdpTransport
{
public:
  /// Receives the sender's address "ip:port" and the datagram's bytes, which
  /// are valid during the call.
  using Handler = std::function<void(std::string_view, std::string_view)>;

  /// Binds aAddress ("ip:port"; port 0 picks a free one) and starts receiving.
  /// Fails with kInvalidRequest if the address does not parse or is in use.
  /// aIo must outlive the transport.
  static Result<std::unique_ptr<UdpTransport>> Open(asio::io_context& aIo,
                                                    std::string_view aAddress,
                                                    Handler aHandler);

  UdpTransport(const UdpTransport&) = delete;
  UdpTransport& operator=(const UdpTransport&) = delete;
  UdpTransport(UdpTransport&&) = delete;
  UdpTransport& operator=(UdpTransport&&) = delete;
  /// Closes the socket. The handler is not called afterwards.
  ~UdpTransport();

  /// Sends without blocking. A datagram that does not fit the socket buffer, or
  /// whose address does not parse, is dropped and counted: gossip tolerates
  /// loss.
  void Send(const Datagram& aDatagram);

  /// The bound address "ip:port".
  std::string LocalAddress() const;
  uint64_t DroppedCount() const { return m_dropped; }

private:
  // One byte more than allowed, so that a datagram that is too large is seen
  // as such and not cut.
  struct Receiver
  {
    explicit Receiver(asio::io_context& aIo)
      : socket(aIo)
    {
    }

    asio::ip::udp::socket socket;
    Handler handler;
    asio::ip::udp::endpoint from;
    std::array<char, kMaxDatagramBytes + 1> buffer{};
  };

  explicit UdpTransport(std::shared_ptr<Receiver> aReceiver);
  static void Receive(const std::shared_ptr<Receiver>& aReceiver);

  // Shared with the pending receive operation, which ends after the transport.
  std::shared_ptr<Receiver> m_receiver;
  uint64_t m_dropped = 0;
};

} // namespace wagtailbend::membership
