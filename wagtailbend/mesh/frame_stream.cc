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

// The kernel closes a connection whose peer is silent for this long. It is a
// fallback; the pings of PeerLink detect a silent peer sooner.
constexpr Duration kTcpTimeout = std::chrono::seconds(5);

} // namespace

FrameStream::FrameStream(asio::ip::tcp::socket aSocket, Handler aHandler)
  : m_socket(std::move(aSocket))
  , m_writer(
      m_socket,
      [] {},
      [this] { Disconnect("write-failed"); })
  , m_handler(std::make_shared<const Handler>(std::move(aHandler)))
  , m_lastReceivedAt(BootNow())
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
  net::ConfigureSocket(m_socket, kTcpTimeout);
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
  const std::string encoded = EncodeFrame(aFrame);
  if (m_traffic != nullptr) {
    FrameCount& count = (*m_traffic)[static_cast<size_t>(aFrame.body_case())];
    ++count.frames;
    count.bytes += encoded.size();
  }
  m_sendBuffer.append(encoded);
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
  if (m_open && !m_sendBuffer.empty()) {
    m_writer.Write(std::exchange(m_sendBuffer, {}), shared_from_this());
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
        self->Disconnect("connection-lost");
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
  const net::ReadResult received = net::ReadAvailable(m_socket);
  if (received.state == net::ReadStatus::kWouldBlock) {
    WaitReadable();
    return;
  }
  if (received.state != net::ReadStatus::kBytes) {
    Disconnect(received.state == net::ReadStatus::kEndOfStream
                 ? "closed-by-peer"
                 : "connection-lost");
    return;
  }
  m_lastReceivedAt = BootNow();
  m_bytesReceived += received.bytes.size();
  m_receiveBuffer.append(received.bytes);
  if (ParseFrames() && m_open) {
    WaitReadable();
  }
}

bool
FrameStream::ParseFrames()
{
  const auto self = shared_from_this();
  size_t offset = 0;
  while (m_open && m_receiveBuffer.size() - offset >= kLengthPrefixBytes) {
    const size_t length = DecodeFrameLength(
      std::string_view(m_receiveBuffer).substr(offset, kLengthPrefixBytes));
    if (length > kMaxFrameBytes) {
      Disconnect("frame-too-large");
      return false;
    }
    if (m_receiveBuffer.size() - offset - kLengthPrefixBytes < length) {
      break;
    }
    wire::Frame frame;
    if (!frame.ParseFromArray(m_receiveBuffer.data() + offset +
                                kLengthPrefixBytes,
                              static_cast<int>(length))) {
      Disconnect("malformed-frame");
      return false;
    }
    offset += kLengthPrefixBytes + length;
    const auto handler = m_handler;
    handler->onFrame(frame);
  }
  m_receiveBuffer.erase(0, offset);
  if (m_receiveBuffer.empty()) {
    // Releases the memory of large responses.
    std::string().swap(m_receiveBuffer);
  }
  return true;
}

void
FrameStream::Disconnect(std::string_view aReason)
{
  if (!std::exchange(m_open, false)) {
    return;
  }
  std::error_code ignored;
  m_socket.close(ignored);
  const auto handler = std::exchange(m_handler, nullptr);
  if (handler && handler->onDisconnect) {
    handler->onDisconnect(aReason);
  }
}

} // namespace wagtailbend::mesh
