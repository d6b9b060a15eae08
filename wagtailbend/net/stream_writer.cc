#include "wagtailbend/net/stream_writer.h"

#include <utility>

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/post.hpp>

namespace wagtailbend::net {

StreamWriter::StreamWriter(asio::ip::tcp::socket& aSocket,
                           std::function<void()> aOnDrained,
                           std::function<void()> aOnLost)
  : m_socket(aSocket)
  , m_onDrained(std::move(aOnDrained))
  , m_onLost(std::move(aOnLost))
{
}

void
StreamWriter::Write(std::string aBytes, const std::shared_ptr<void>& aOwner)
{
  if (m_failed) {
    return;
  }
  if (Pending() == 0) {
    m_pending = std::move(aBytes);
    m_offset = 0;
  } else {
    m_pending.append(aBytes);
  }
  if (!m_waiting) {
    Flush(aOwner);
  }
}

void
StreamWriter::Flush(const std::shared_ptr<void>& aOwner)
{
  while (Pending() > 0) {
    std::error_code code;
    const size_t taken = m_socket.write_some(
      asio::buffer(m_pending.data() + m_offset, Pending()), code);
    if (code == asio::error::would_block || code == asio::error::try_again) {
      m_waiting = true;
      m_socket.async_wait(asio::ip::tcp::socket::wait_write,
                          [this, aOwner](const std::error_code& aCode) {
                            m_waiting = false;
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
    m_offset += taken;
    m_sent += taken;
  }
  std::string().swap(m_pending);
  m_offset = 0;
  m_onDrained();
}

void
StreamWriter::Fail(const std::shared_ptr<void>& aOwner)
{
  if (std::exchange(m_failed, true)) {
    return;
  }
  asio::post(m_socket.get_executor(), [this, aOwner] { m_onLost(); });
}

} // namespace wagtailbend::net
