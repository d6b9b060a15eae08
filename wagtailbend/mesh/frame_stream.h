// TCP connection that carries length-prefixed frames.
//
//   auto stream = FrameStream::Make(std::move(socket), handler);
//   stream->Start();
//   stream->Send(frame);

#pragma once

#include <functional>
#include <memory>
#include <string>

#include <asio/ip/tcp.hpp>

#include "wagtailbend/base/time.h"
#include "wagtailbend/mesh.pb.h"
#include "wagtailbend/mesh/frame_traffic.h"
#include "wagtailbend/net/stream_writer.h"

namespace wagtailbend::mesh {

/// Must be used only on the thread that runs the executor of the socket.
class FrameStream : public std::enable_shared_from_this<FrameStream>
{
public:
  struct Handler
  {
    /// Called for each received frame. Not called after Close.
    std::function<void(wire::Frame&)> onFrame;
    /// Called once when the connection fails or the peer closes it, never
    /// inside Send or Close. Not called after Close. aReason points to a string
    /// literal.
    std::function<void(std::string_view aReason)> onDisconnect;
  };

  static std::shared_ptr<FrameStream> Make(asio::ip::tcp::socket aSocket,
                                           Handler aHandler);

  void Start();
  /// Replaces the handler. May be called from the current handler.
  void SetHandler(Handler aHandler);
  /// Counts frames sent from now on. aCounts must outlive the stream.
  void SetTraffic(FrameCounts& aCounts) { m_traffic = &aCounts; }
  /// Sends a frame. Frames sent within one iteration of the event loop are
  /// combined into one write.
  void Send(const wire::Frame& aFrame);
  /// Writes as much pending data as the socket accepts without blocking, and
  /// closes the connection.
  void Close();

  bool IsOpen() const { return m_open; }
  /// Time at which data was last received.
  TimePoint LastReceivedAt() const { return m_lastReceivedAt; }
  size_t PendingBytes() const
  {
    return m_sendBuffer.size() + m_writer.PendingBytes();
  }
  uint64_t BytesReceived() const { return m_bytesReceived; }
  uint64_t BytesSent() const { return m_writer.SentBytes(); }

private:
  FrameStream(asio::ip::tcp::socket aSocket, Handler aHandler);

  void WaitReadable();
  void OnReadable();
  bool ParseFrames();
  void Flush();
  void Disconnect(std::string_view aReason);

  asio::ip::tcp::socket m_socket;
  net::StreamWriter m_writer;
  /// Shared, because a callback may replace or reset the handler while it runs.
  std::shared_ptr<const Handler> m_handler;
  FrameCounts* m_traffic = nullptr;
  bool m_open = true;
  bool m_flushPosted = false;
  std::string m_receiveBuffer;
  std::string m_sendBuffer;
  uint64_t m_bytesReceived = 0;
  TimePoint m_lastReceivedAt;
};

} // namespace wagtailbend::mesh
