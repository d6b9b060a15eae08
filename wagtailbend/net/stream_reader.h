// Reads once from a TCP socket that was reported as readable.
//
//   const ReadResult received = ReadAvailable(socket);
//   if (received.state == ReadStatus::kBytes) { input.append(received.bytes); }

#pragma once

#include <cstdint>
#include <string_view>

#include <asio/ip/tcp.hpp>

namespace wagtailbend::net {

enum class ReadStatus : uint8_t
{
  kBytes,
  /// No bytes were available; wait until the socket is readable again.
  kWouldBlock,
  /// The peer has closed its sending side.
  kEndOfStream,
  /// The read failed.
  kError,
};

struct ReadResult
{
  ReadStatus state = ReadStatus::kWouldBlock;
  /// Valid until the next call on the same thread. The connections of a thread
  /// share one buffer, so that idle connections need none.
  std::string_view bytes;
};

/// Reads the available bytes without blocking, at most one buffer.
/// Precondition: aSocket is non-blocking. Thread-safe for different sockets.
ReadResult
ReadAvailable(asio::ip::tcp::socket& aSocket);

} // namespace wagtailbend::net
