// A TCP server for tests that answers each request with bytes that never end.
//
//   EndlessServer server(io, { .start = "HTTP/1.1 200 OK\r\n",
//                              .repeated = "X-Line: 1\r\n" });
//   connection->Connect(server.Endpoint(), ...);

#pragma once

#include <memory>
#include <string>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include "wagtailbend/base/time.h"

namespace wagtailbend::http1::testing {

struct EndlessResponse
{
  /// Sent once. "{id}" is replaced by the value of the request's Id header.
  std::string start;
  /// Sent until the peer closes the connection.
  std::string repeated;
  /// Pause before each repetition. Zero: as fast as the peer reads.
  Duration pause{};
};

/// Not thread-safe; runs on the test's io_context. Supports only requests
/// without a body.
class EndlessServer
{
public:
  EndlessServer(asio::io_context& aIo, EndlessResponse aResponse)
    : m_io(aIo)
    , m_acceptor(aIo,
                 asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , m_response(std::move(aResponse))
  {
    if (m_response.pause == Duration{}) {
      // Large writes, so that the peer's reads are as large as possible.
      constexpr size_t kBlockBytes = 64UL * 1024;
      m_block.reserve(kBlockBytes + m_response.repeated.size());
      while (m_block.size() < kBlockBytes) {
        m_block += m_response.repeated;
      }
    } else {
      m_block = m_response.repeated;
    }
    Accept();
  }

  asio::ip::tcp::endpoint Endpoint() const
  {
    return m_acceptor.local_endpoint();
  }
  size_t AcceptedConnections() const { return m_accepted; }
  size_t ReceivedRequests() const { return m_requests; }
  /// Connections that the peer has closed while bytes were being sent.
  size_t ClosedByPeer() const { return m_closedByPeer; }

private:
  struct Connection
  {
    explicit Connection(asio::io_context& aIo)
      : socket(aIo)
      , timer(aIo)
    {
    }
    asio::ip::tcp::socket socket;
    asio::steady_timer timer;
    std::string input;
    std::string output;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void Accept()
  {
    const auto connection = std::make_shared<Connection>(m_io);
    m_acceptor.async_accept(connection->socket,
                            [this, connection](std::error_code aCode) {
                              if (aCode) {
                                return;
                              }
                              ++m_accepted;
                              Read(connection);
                              Accept();
                            });
  }

  void Read(const ConnectionPtr& aConnection)
  {
    asio::async_read_until(
      aConnection->socket,
      asio::dynamic_buffer(aConnection->input),
      "\r\n\r\n",
      [this, aConnection](std::error_code aCode, size_t) {
        if (aCode) {
          return;
        }
        ++m_requests;
        aConnection->output = m_response.start;
        const std::string& input = aConnection->input;
        const size_t id = input.find("Id: ") + 4;
        const size_t placeholder = aConnection->output.find("{id}");
        if (placeholder != std::string::npos) {
          aConnection->output.replace(
            placeholder, 4, input.substr(id, input.find('\r', id) - id));
        }
        Write(aConnection);
      });
  }

  void Write(const ConnectionPtr& aConnection)
  {
    asio::async_write(aConnection->socket,
                      asio::buffer(aConnection->output),
                      [this, aConnection](std::error_code aCode, size_t) {
                        if (aCode) {
                          ++m_closedByPeer;
                          return;
                        }
                        aConnection->output = m_block;
                        WriteAfterPause(aConnection);
                      });
  }

  void WriteAfterPause(const ConnectionPtr& aConnection)
  {
    if (m_response.pause == Duration{}) {
      Write(aConnection);
      return;
    }
    aConnection->timer.expires_after(m_response.pause);
    aConnection->timer.async_wait([this, aConnection](std::error_code aCode) {
      if (!aCode) {
        Write(aConnection);
      }
    });
  }

  asio::io_context& m_io;
  asio::ip::tcp::acceptor m_acceptor;
  const EndlessResponse m_response;
  std::string m_block;
  size_t m_accepted = 0;
  size_t m_requests = 0;
  size_t m_closedByPeer = 0;
};

} // namespace wagtailbend::http1::testing
