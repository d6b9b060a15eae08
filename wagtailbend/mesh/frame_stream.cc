#include "wagtailbend/mesh/frame_stream.h"

#include <utility>

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/post.hpp>

#include "wagtailbend/base/boot_time.h"
#include "wagtailbend/mesh/convert.h"
#include "wagtailbend/net/socket_options.h"
#include "wagtailbend/net/stream_reader.h"

namespace wagtailbend::mesh {
namespace {

// The kernel ends a connection whose peer is silent for so long; the pings of
// the link notice it sooner.
constexpr Duration kPeerSilence = std::chrono::seconds(5);

} // namespace

FrameStream::FrameStream(asio::ip::tcp::socket aSocket, Handler aHandler)
  : m_socket(std::move(aSocket))
  , m_writer(
      m_socket,
      [] {},
      [this] { Lose("write-failed"); })
  , m_handler(std::make_shared<const Handler>(std::move(aHandler)))
  , m_heardAt(BootNow())
{
}

std::shared_ptr<FrameStream>
FrameStream::Make(asio::ip::tcp::socket aSocket, Handler aHandler)
{
  return std::shared_ptr<FrameStream>(
    new FrameStream(std::move(aSocket), std::move(aHandler)));
}

void
FrameStream::Start()
{
  net::ConfigureStream(m_socket, kPeerSilence);
  WaitReadable();
}

void
FrameStream::SetHandler(Handler aHandler)
{
  m_handler = std::make_shared<const Handler>(std::move(aHandler));
}

void
FrameStream::Send(const wire::Frame& aFrame)
{
  if (!m_open) {
    return;
  }
  m_out.append(Encode(aFrame));
  if (std::exchange(m_flushPosted, true)) {
    return;
  }
  asio::post(m_socket.get_executor(),
             [self = shared_from_this()] { self->Flush(); });
}

void
FrameStream::Flush()
{
  m_flushPosted = false;
  if (m_open && !m_out.empty()) {
    m_writer.Write(std::exchange(m_out, {}), shared_from_this());
  }
}

void
FrameStream::Close()
{
  if (!m_open) {
    return;
  }
  Flush();
  m_open = false;
  m_handler.reset();
  std::error_code ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
  m_socket.close(ignored);
}

void
FrameStream::WaitReadable()
{
  m_socket.async_wait(
    asio::ip::tcp::socket::wait_read,
    [self = shared_from_this()](const std::error_code& aCode) {
      if (aCode) {
        self->Lose("connection-lost");
      } else {
        self->OnReadable();
      }
    });
}

void
FrameStream::OnReadable()
{
  if (!m_open) {
    return;
  }
  const net::Received received = net::ReadAvailable(m_socket);
  if (received.state == net::ReadState::kNothing) {
    WaitReadable();
    return;
  }
  if (received.state != net::ReadState::kBytes) {
    Lose(received.state == net::ReadState::kEnded ? "closed-by-peer"
                                                  : "connection-lost");
    return;
  }
  m_heardAt = BootNow();
  m_received += received.bytes.size();
  m_in.append(received.bytes);
  if (Parse() && m_open) {
    WaitReadable();
  }
}

bool
FrameStream::Parse()
{
  const auto self = shared_from_this();
  size_t at = 0;
  while (m_open && m_in.size() - at >= kPrefixBytes) {
    const size_t length =
      FrameLength(std::string_view(m_in).substr(at, kPrefixBytes));
    if (length > kMaxFrameBytes) {
      Lose("frame-too-large");
      return false;
    }
    if (m_in.size() - at - kPrefixBytes < length) {
      break;
    }
    wire::Frame frame;
    if (!frame.ParseFromArray(m_in.data() + at + kPrefixBytes,
                              static_cast<int>(length))) {
      Lose("malformed-frame");
      return false;
    }
    at += kPrefixBytes + length;
    const auto handler = m_handler;
    handler->onFrame(frame);
  }
  m_in.erase(0, at);
  if (m_in.empty()) {
    // Large answers must not keep their buffer.
    std::string().swap(m_in);
  }
  return true;
}

void
FrameStream::Lose(std::string_view aReason)
{
  if (!std::exchange(m_open, false)) {
    return;
  }
  std::error_code ignored;
  m_socket.close(ignored);
  const auto handler = std::exchange(m_handler, nullptr);
  if (handler && handler->onLost) {
    handler->onLost(aReason);
  }
}

} // namespace wagtailbend::mesh
