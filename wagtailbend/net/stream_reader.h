// One read from a TCP socket that was found readable.
//
//   const Received received = ReadAvailable(socket);
//   if (received.state == ReadState::kBytes) { input.append(received.bytes); }

#pragma once

#include <cstdint>
#include <string_view>

#include <asio/ip/tcp.hpp>

namespace wagtailbend::net {

enum class ReadState : uint8_t
{
  kBytes,
  /// Nothing was there after all; wait again.
  kNothing,
  /// The peer has ended the connection in order.
  kEnded,
  kLost,
};

struct Received
{
  ReadState state = ReadState::kNothing;
  /// Valid until the next call on the same thread: connections share the
  /// buffer, so that idle ones hold none.
  std::string_view bytes;
};

/// Does not block. Precondition: aSocket is non-blocking. Thread-safe for
/// different sockets.
Received
ReadAvailable(asio::ip::tcp::socket& aSocket);

} // namespace wagtailbend::net
