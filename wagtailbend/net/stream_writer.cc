#include "wagtailbend/net/stream_writer.h"

#include <utility>

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/post.hpp>

namespace wagtailbend::net {

StreamWriter::StreamWriter(asio::ip::tcp::socket& aSocket,
                           std::function<void()> aOnDrained,
                           std::function<void()> aOnConnectionLost)
  : m_socket(aSocket)
  , m_onDrained(std::move(aOnDrained))
  , m_onConnectionLost(std::move(aOnConnectionLost))
{
}

void
StreamWriter::Write(std::string aBytes, const std::shared_ptr<void>& aOwner)
{
  if (m_failed) {
    return;
  }
  if (PendingBytes() == 0) {
    m_buffer = std::move(aBytes);
    m_bufferOffset = 0;
  } else {
    m_buffer.append(aBytes);
  }
  if (!m_waitingForWritable) {
    Flush(aOwner);
  }
}

void
StreamWriter::Flush(const std::shared_ptr<void>& aOwner)
{
  while (PendingBytes() > 0) {
    std::error_code code;
    const size_t written = m_socket.write_some(
      asio::buffer(m_buffer.data() + m_bufferOffset, PendingBytes()), code);
    if (code == asio::error::would_block || code == asio::error::try_again) {
      m_waitingForWritable = true;
      m_socket.async_wait(asio::ip::tcp::socket::wait_write,
                          [this, aOwner](const std::error_code& aCode) {
                            m_waitingForWritable = false;
                            if (aCode) {
                              Fail(aOwner);
                            } else {
                              Flush(aOwner);
                            }
                          });
      return;
    }
    if (code) {
      Fail(aOwner);
      return;
    }
    m_bufferOffset += written;
    m_sentBytes += written;
  }
  // Frees the memory; clear() would keep it.
  std::string().swap(m_buffer);
  m_bufferOffset = 0;
  m_onDrained();
}

void
StreamWriter::Fail(const std::shared_ptr<void>& aOwner)
{
  if (std::exchange(m_failed, true)) {
    return;
  }
  // Posted, so that the callback never runs inside Write.
  asio::post(m_socket.get_executor(), [this, aOwner] { m_onConnectionLost(); });
}

} // namespace wagtailbend::net
