// Writes to a TCP socket without blocking: writes immediately, and waits until
// the socket is writable only for the bytes that it did not accept.
//
//   StreamWriter writer(socket, onDrained, onConnectionLost);
//   writer.Write(bytes, shared_from_this());

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>

namespace wagtailbend::net {

/// Not thread-safe: must be used on the thread that runs the socket's executor
/// only. The socket must be non-blocking and outlive the writer.
class StreamWriter
{
public:
  /// aOnDrained is called, inside Write or later, each time all bytes have been
  /// written. aOnConnectionLost is called at most once after an error, never
  /// inside Write.
  StreamWriter(asio::ip::tcp::socket& aSocket,
               std::function<void()> aOnDrained,
               std::function<void()> aOnConnectionLost);

  /// Sends aBytes after all earlier bytes. aOwner keeps the writer alive until
  /// they are written. Does nothing after the connection was lost.
  void Write(std::string aBytes, const std::shared_ptr<void>& aOwner);

  /// Returns the number of bytes that the socket has not accepted yet.
  size_t PendingBytes() const { return m_buffer.size() - m_bufferOffset; }
  /// Returns the number of bytes that the socket has accepted.
  uint64_t SentBytes() const { return m_sentBytes; }

private:
  void Flush(const std::shared_ptr<void>& aOwner);
  void Fail(const std::shared_ptr<void>& aOwner);

  asio::ip::tcp::socket& m_socket;
  std::function<void()> m_onDrained;
  std::function<void()> m_onConnectionLost;
  std::string m_buffer;
  size_t m_bufferOffset = 0;
  uint64_t m_sentBytes = 0;
  bool m_waitingForWritable = false;
  bool m_failed = false;
};

} // namespace wagtailbend::net
