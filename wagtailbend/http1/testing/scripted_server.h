// A TCP server for tests: sends fixed bytes for each request it receives.
//
//   ScriptedServer server(io);
//   server.Reply("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
//   server.ReplyAndClose("...");
//   connect to server.Endpoint()

#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

namespace wagtailbend::http1::testing {

/// Not thread-safe; runs on the test's io_context. Reads requests without a
/// body.
class ScriptedServer
{
public:
  enum class After : uint8_t
  {
    kKeepOpen,
    kClose,
    kReset,
  };

  explicit ScriptedServer(asio::io_context& aIo)
    : m_io(aIo)
    , m_acceptor(aIo,
                 asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , m_endpoint(m_acceptor.local_endpoint())
  {
    Accept();
  }

  /// Also after Stop.
  const asio::ip::tcp::endpoint& Endpoint() const { return m_endpoint; }

  /// Answers the next request without an answer. "{id}" in aBytes stands for
  /// the value of the request's Id header.
  void Reply(std::string aBytes, After aAfter = After::kKeepOpen)
  {
    m_replies.push_back({ std::move(aBytes), aAfter });
  }
  /// Stops listening and closes all connections.
  void Stop()
  {
    std::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& socket : m_sockets) {
      socket->close(ignored);
    }
  }

  /// Heads of the requests received.
  const std::vector<std::string>& Requests() const { return m_requests; }
  size_t Accepted() const { return m_sockets.size(); }

private:
  struct Scripted
  {
    std::string bytes;
    After after = After::kKeepOpen;
  };
  using SocketPtr = std::shared_ptr<asio::ip::tcp::socket>;

  void Accept()
  {
    auto socket = std::make_shared<asio::ip::tcp::socket>(m_io);
    m_acceptor.async_accept(*socket, [this, socket](std::error_code aCode) {
      if (aCode) {
        return;
      }
      m_sockets.push_back(socket);
      Read(socket, std::make_shared<std::string>());
      Accept();
    });
  }

  void Read(const SocketPtr& aSocket, const std::shared_ptr<std::string>& aIn)
  {
    asio::async_read_until(
      *aSocket,
      asio::dynamic_buffer(*aIn),
      "\r\n\r\n",
      [this, aSocket, aIn](std::error_code aCode, size_t aCount) {
        if (aCode) {
          return;
        }
        m_requests.push_back(aIn->substr(0, aCount));
        aIn->erase(0, aCount);
        Answer(aSocket);
        Read(aSocket, aIn);
      });
  }

  void Answer(const SocketPtr& aSocket)
  {
    if (m_replies.empty()) {
      return;
    }
    Scripted scripted = m_replies.front();
    m_replies.pop_front();
    const std::string& request = m_requests.back();
    const size_t at = request.find("Id: ");
    const std::string id =
      at == std::string::npos
        ? ""
        : request.substr(at + 4, request.find('\r', at) - at - 4);
    for (size_t mark = scripted.bytes.find("{id}"); mark != std::string::npos;
         mark = scripted.bytes.find("{id}")) {
      scripted.bytes.replace(mark, 4, id);
    }
    std::error_code ignored;
    asio::write(*aSocket, asio::buffer(scripted.bytes), ignored);
    if (scripted.after == After::kReset) {
      aSocket->set_option(asio::socket_base::linger(true, 0), ignored);
    }
    if (scripted.after != After::kKeepOpen) {
      aSocket->close(ignored);
    }
  }

  asio::io_context& m_io;
  asio::ip::tcp::acceptor m_acceptor;
  const asio::ip::tcp::endpoint m_endpoint;
  std::deque<Scripted> m_replies;
  std::vector<std::string> m_requests;
  std::vector<SocketPtr> m_sockets;
};

} // namespace wagtailbend::http1::testing
