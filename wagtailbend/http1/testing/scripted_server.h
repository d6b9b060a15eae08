// A TCP server for tests that sends a scripted response to each request.
//
//   ScriptedServer server(io);
//   server.AddResponse("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
//   server.AddResponse("...", ScriptedServer::After::kClose);
//   connection->Connect(server.Endpoint(), ...);

#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read_until.hpp>
#include <asio/streambuf.hpp>
#include <asio/write.hpp>

namespace wagtailbend::http1::testing {

/// Not thread-safe; runs on the test's io_context. Supports only requests
/// without a body.
class ScriptedServer
{
public:
  enum class After : uint8_t
  {
    kKeepOpen,
    kClose,
    kReset,
    /// Writes the response once more when the next request comes on the
    /// connection.
    kRepeatLater,
    /// Closes all connections and stops listening, like a process that crashes.
    kCrash,
  };

  explicit ScriptedServer(asio::io_context& aIo)
    : m_io(aIo)
    , m_acceptor(aIo,
                 asio::ip::tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    , m_endpoint(m_acceptor.local_endpoint())
  {
    Accept();
  }

  /// Stays valid after Stop.
  const asio::ip::tcp::endpoint& Endpoint() const { return m_endpoint; }

  /// Queues the response to the next request that has none. "{id}" in aBytes is
  /// replaced by the value of the request's Id header.
  void AddResponse(std::string aBytes, After aAfter = After::kKeepOpen)
  {
    m_responses.push_back({ std::move(aBytes), aAfter });
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

  /// Header sections of the requests received.
  const std::vector<std::string>& Requests() const { return m_requests; }
  size_t AcceptedConnections() const { return m_sockets.size(); }

private:
  struct ScriptedResponse
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

  void Read(const SocketPtr& aSocket,
            const std::shared_ptr<std::string>& aInput)
  {
    asio::async_read_until(
      *aSocket,
      asio::dynamic_buffer(*aInput),
      "\r\n\r\n",
      [this, aSocket, aInput](std::error_code aCode, size_t aCount) {
        if (aCode) {
          return;
        }
        m_requests.push_back(aInput->substr(0, aCount));
        aInput->erase(0, aCount);
        SendNextResponse(aSocket);
        Read(aSocket, aInput);
      });
  }

  void SendNextResponse(const SocketPtr& aSocket)
  {
    if (m_responses.empty()) {
      return;
    }
    ScriptedResponse scripted = m_responses.front();
    m_responses.pop_front();
    const std::string& request = m_requests.back();
    const size_t idPosition = request.find("Id: ");
    const std::string id =
      idPosition == std::string::npos
        ? ""
        : request.substr(idPosition + 4,
                         request.find('\r', idPosition) - idPosition - 4);
    for (size_t placeholder = scripted.bytes.find("{id}");
         placeholder != std::string::npos;
         placeholder = scripted.bytes.find("{id}")) {
      scripted.bytes.replace(placeholder, 4, id);
    }
    std::error_code ignored;
    if (scripted.after == After::kCrash) {
      Stop();
      return;
    }
    const std::string repeated = std::exchange(
      m_repeats[aSocket],
      scripted.after == After::kRepeatLater ? scripted.bytes : "");
    asio::write(*aSocket, asio::buffer(repeated), ignored);
    asio::write(*aSocket, asio::buffer(scripted.bytes), ignored);
    if (scripted.after == After::kReset) {
      aSocket->set_option(asio::socket_base::linger(true, 0), ignored);
    }
    if (scripted.after == After::kClose || scripted.after == After::kReset) {
      aSocket->close(ignored);
    }
  }

  asio::io_context& m_io;
  asio::ip::tcp::acceptor m_acceptor;
  const asio::ip::tcp::endpoint m_endpoint;
  std::deque<ScriptedResponse> m_responses;
  std::vector<std::string> m_requests;
  std::vector<SocketPtr> m_sockets;
  std::map<SocketPtr, std::string> m_repeats;
};

} // namespace wagtailbend::http1::testing
