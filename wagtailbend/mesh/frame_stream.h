// A TCP connection that carries frames.
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
#include "wagtailbend/net/stream_writer.h"

namespace wagtailbend::mesh {

/// Belongs to the thread that runs the socket's executor.
class FrameStream : public std::enable_shared_from_this<FrameStream>
{
public:
  struct Handler
  {
    /// Called for each frame, unless Close was called.
    std::function<void(wire::Frame&)> onFrame;
    /// Called once when the connection ends, never inside Send or Close. Not
    /// called after Close. aReason is a constant word.
    std::function<void(std::string_view aReason)> onLost;
  };

  static std::shared_ptr<FrameStream> Make(asio::ip::tcp::socket aSocket,
                                           Handler aHandler);

  void Start();
  /// Replaces the handler; also inside a call of the present one.
  void SetHandler(Handler aHandler);
  /// Frames sent in one turn of the event loop go out in one write.
  void Send(const wire::Frame& aFrame);
  /// Sends what is pending, as far as the socket takes it, and closes.
  void Close();

  bool IsOpen() const { return m_open; }
  /// When the last bytes came.
  TimePoint HeardAt() const { return m_heardAt; }
  size_t PendingBytes() const { return m_out.size() + m_writer.Pending(); }
  uint64_t BytesReceived() const { return m_received; }
  uint64_t BytesSent() const { return m_writer.Sent(); }

private:
  FrameStream(asio::ip::tcp::socket aSocket, Handler aHandler);

  void WaitReadable();
  void OnReadable();
  bool Parse();
  void Flush();
  void Lose(std::string_view aReason);

  asio::ip::tcp::socket m_socket;
  net::StreamWriter m_writer;
  /// Shared, because a call of it may end the stream.
  std::shared_ptr<const Handler> m_handler;
  bool m_open = true;
  bool m_flushPosted = false;
  std::string m_in;
  std::string m_out;
  uint64_t m_received = 0;
  TimePoint m_heardAt;
};

} // namespace wagtailbend::mesh
