// Writes to a TCP socket without blocking: tries at once, waits only for what
// the socket does not take.
//
//   StreamWriter writer(socket, [this] { OnDrained(); }, [this] { OnLost(); });
//   writer.Write(bytes, shared_from_this());

#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>

namespace wagtailbend::net {

/// Not thread-safe: belongs to the thread that runs the socket's executor. The
/// socket must be non-blocking and outlive the writer.
class StreamWriter
{
public:
  /// aOnDrained is called inside Write or later, each time that nothing is
  /// left to send. aOnLost is called at most once, never inside Write.
  StreamWriter(asio::ip::tcp::socket& aSocket,
               std::function<void()> aOnDrained,
               std::function<void()> aOnLost);

  /// Sends aBytes after all earlier ones. aOwner keeps the writer alive until
  /// they are sent. Does nothing after the connection was lost.
  void Write(std::string aBytes, const std::shared_ptr<void>& aOwner);

  /// Bytes that the socket has not taken yet.
  size_t Pending() const { return m_pending.size() - m_offset; }
  /// Bytes that the socket has taken.
  uint64_t Sent() const { return m_sent; }

private:
  void Flush(const std::shared_ptr<void>& aOwner);
  void Fail(const std::shared_ptr<void>& aOwner);

  asio::ip::tcp::socket& m_socket;
  std::function<void()> m_onDrained;
  std::function<void()> m_onLost;
  std::string m_pending;
  size_t m_offset = 0;
  uint64_t m_sent = 0;
  bool m_waiting = false;
  bool m_failed = false;
};

} // namespace wagtailbend::net
