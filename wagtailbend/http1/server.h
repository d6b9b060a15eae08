// An HTTP/1.1 server on one thread.
//
//   class Hello : public RequestHandler {
//     void OnRequest(RequestMessage aRequest, Responder aResponder) override {
//       aResponder.Respond({ .status = 200, .body = "hello" });
//     }
//   };
//   Server server(io, hello, {});
//   server.Listen(*net::ParseEndpoint("127.0.0.1:8080"));
//
// A connection carries one request at a time; pipelined bytes wait.

#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <set>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "wagtailbend/base/result.h"
#include "wagtailbend/base/time.h"
#include "wagtailbend/http1/message.h"
#include "wagtailbend/http1/parser.h"

namespace wagtailbend::http1 {

struct ServerLimits
{
  ParseLimits parse;
  /// From the first byte of a request to the end of its head.
  Duration headerTimeout = std::chrono::seconds(5);
  /// From the end of the head to the end of the body.
  Duration bodyTimeout = std::chrono::seconds(30);
  /// Without a request. Longer than what clients are told, so that a request
  /// does not cross the close.
  Duration idleTimeout = std::chrono::seconds(30);
  /// Without progress on a response that the client does not read.
  Duration writeTimeout = std::chrono::seconds(10);
  size_t maxConnections = 3000;
  /// Bytes of all requests that are being received or answered. Above it, new
  /// bodies are rejected.
  size_t maxHeldBytes = 64UL * 1024 * 1024;

  bool operator==(const ServerLimits&) const = default;
};

class ServerConnection;

/// Answers one request. Copies refer to the same request. Not thread-safe.
class Responder
{
public:
  Responder() = default;
  Responder(std::weak_ptr<ServerConnection> aConnection, uint64_t aRequest);

  /// Sends the answer; later calls do nothing, as do calls after the client
  /// has gone.
  void Respond(const ResponseMessage& aResponse) const;
  /// aGone is called once if the client closes the connection before the
  /// answer is sent. Replaces an earlier one.
  void OnGone(std::function<void()> aGone) const;
  /// Address of the client; unspecified after it has gone.
  asio::ip::address Remote() const;

private:
  std::weak_ptr<ServerConnection> m_connection;
  uint64_t m_request = 0;
};

class RequestHandler
{
public:
  virtual ~RequestHandler() = default;
  /// Called on the server's thread for each complete request.
  virtual void OnRequest(RequestMessage aRequest, Responder aResponder) = 0;
};

struct ServerCounts
{
  uint64_t accepted = 0;
  uint64_t rejectedConnections = 0;
  uint64_t malformed = 0;
  uint64_t timedOut = 0;
  size_t heldBytes = 0;
  /// Requests that were read and are not answered yet.
  size_t pendingRequests = 0;

  bool operator==(const ServerCounts&) const = default;
};

/// All methods belong to the thread that runs the io_context. Must outlive the
/// run of the io_context.
class Server
{
public:
  Server(asio::io_context& aIo,
         RequestHandler& aHandler,
         const ServerLimits& aLimits);

  /// Listens on one more address. Error kind: kInvalidRequest, if the address
  /// cannot be bound.
  Result<Done> Listen(const asio::ip::tcp::endpoint& aEndpoint);
  /// Applies to requests that begin afterwards.
  void SetLimits(const ServerLimits& aLimits) { m_limits = aLimits; }
  const ServerLimits& Limits() const { return m_limits; }

  /// From now on answers ask clients to close their connections.
  void AnnounceClose() { m_closing = true; }
  bool IsClosing() const { return m_closing; }
  /// Stops listening and closes connections without a request.
  void CloseIdle();
  size_t ConnectionCount() const { return m_connections.size(); }
  const ServerCounts& Counts() const { return m_counts; }

private:
  friend class ServerConnection;
  struct Listener
  {
    explicit Listener(asio::io_context& aIo)
      : acceptor(aIo)
      , retry(aIo)
    {
    }
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer retry;
  };

  void Accept(const std::shared_ptr<Listener>& aListener);

  asio::io_context& m_io;
  RequestHandler& m_handler;
  ServerLimits m_limits;
  ServerCounts m_counts;
  bool m_closing = false;
  std::list<std::shared_ptr<Listener>> m_listeners;
  std::set<std::shared_ptr<ServerConnection>> m_connections;
};

} // namespace wagtailbend::http1
