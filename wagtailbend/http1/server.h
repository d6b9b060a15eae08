// A single-threaded HTTP/1.1 server.
//
//   class Hello : public RequestHandler {
//     void OnRequest(RequestMessage aRequest, Responder aResponder) override {
//       aResponder.Respond({ .status = 200, .body = "hello" });
//     }
//   };
//   Server server(io, hello, {});
//   server.Listen(*net::ParseEndpoint("127.0.0.1:8080"));
//
// A connection processes one request at a time; pipelined requests wait.

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
  /// From the first byte of a request to the end of its header section.
  Duration headerTimeout = std::chrono::seconds(5);
  /// From the end of the header section to the end of the body.
  Duration bodyTimeout = std::chrono::seconds(30);
  /// How long a connection may stay without a request. Must be longer than the
  /// time announced to clients, or a client may send a request while the server
  /// closes the connection.
  Duration idleTimeout = std::chrono::seconds(30);
  /// How long sending one response may take if the client does not read it.
  Duration writeTimeout = std::chrono::seconds(10);
  size_t maxConnections = 3000;
  /// Limit on the bytes of all requests that are being received or processed,
  /// and of those that wait behind them. Above it, requests are rejected with
  /// status 503 unless they are short, and connections with more requests
  /// behind the current one are closed.
  size_t maxBufferedBytes = 64UL * 1024 * 1024;
  /// Size up to which a request is short.
  size_t shortRequestBytes = 4UL * 1024;
  /// Limit on the bytes of all responses that clients have not read completely.
  /// Above it, connections are closed, first those whose responses have taken
  /// up the most memory for the longest time. The latest response is not
  /// counted, so that none is refused for its length alone.
  size_t maxUnsentBytes = 64UL * 1024 * 1024;

  bool operator==(const ServerLimits&) const = default;
};

class ServerConnection;

/// Responds to one request. Copies refer to the same request. Not thread-safe.
class Responder
{
public:
  Responder() = default;
  Responder(std::weak_ptr<ServerConnection> aConnection,
            uint64_t aRequestNumber);

  /// Sends the response. Has no effect after the first call or after the client
  /// has disconnected.
  void Respond(const ResponseMessage& aResponse) const;
  /// Sets a handler that is called once if the client disconnects before the
  /// response is sent. Replaces an earlier handler.
  void SetDisconnectHandler(std::function<void()> aOnDisconnect) const;
  /// Address of the client; the unspecified address after it has disconnected.
  asio::ip::address RemoteAddress() const;

private:
  std::weak_ptr<ServerConnection> m_connection;
  uint64_t m_requestNumber = 0;
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
  size_t bufferedBytes = 0;
  /// Responses that clients have not read completely.
  size_t unsentBytes = 0;
  /// Connections closed because of ServerLimits::maxUnsentBytes.
  uint64_t closedSlowReaders = 0;
  /// Requests that were received and have no response yet.
  size_t pendingRequests = 0;

  bool operator==(const ServerCounts&) const = default;
};

/// Must be used only on the thread that runs the io_context, and must outlive
/// the io_context's run.
class Server
{
public:
  Server(asio::io_context& aIo,
         RequestHandler& aHandler,
         const ServerLimits& aLimits);

  /// Listens on an additional address. Returns kInvalidRequest if the address
  /// cannot be bound.
  Result<Done> Listen(const asio::ip::tcp::endpoint& aEndpoint);
  /// Parse limits apply to requests that begin after the call.
  void SetLimits(const ServerLimits& aLimits) { m_limits = aLimits; }
  const ServerLimits& Limits() const { return m_limits; }

  /// Adds `Connection: close` to all responses from now on.
  void AnnounceClose() { m_closeAnnounced = true; }
  bool IsCloseAnnounced() const { return m_closeAnnounced; }
  /// Stops listening and closes idle connections.
  void CloseIdleConnections();
  size_t ConnectionCount() const { return m_connections.size(); }
  const ServerCounts& Counts() const { return m_counts; }

private:
  friend class ServerConnection;
  struct Listener
  {
    explicit Listener(asio::io_context& aIo)
      : acceptor(aIo)
      , retryTimer(aIo)
    {
    }
    asio::ip::tcp::acceptor acceptor;
    asio::steady_timer retryTimer;
  };

  void Accept(const std::shared_ptr<Listener>& aListener);
  /// Closes the connections of slow readers until the responses other than that
  /// of aLatest are within the limit.
  void LimitUnsentBytes(const ServerConnection& aLatest);

  asio::io_context& m_io;
  RequestHandler& m_handler;
  ServerLimits m_limits;
  ServerCounts m_counts;
  bool m_closeAnnounced = false;
  std::list<std::shared_ptr<Listener>> m_listeners;
  std::set<std::shared_ptr<ServerConnection>> m_connections;
};

} // namespace wagtailbend::http1
