// A blocking HTTP/1.1 client with a connection for each request, so that a
// request that was not sent has certainly not been received.
//
//   BlockingClient client({ "10.0.0.4", 8080 }, {});
//   const ClientResult result =
//     client.Perform({ .method = "GET", .target = "/v1/x" }, seconds(1));

#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <set>
#include <string>

#include <asio/io_context.hpp>

#include "wagtailbend/base/time.h"
#include "wagtailbend/http1/client_connection.h"
#include "wagtailbend/http1/message.h"
#include "wagtailbend/http1/parser.h"

namespace wagtailbend::http1 {

struct ServerName
{
  /// An IP address or a name.
  std::string host;
  uint16_t port = 0;

  bool operator==(const ServerName&) const = default;
};

/// Parses "http://HOST:PORT", with or without a slash at the end; an IPv6
/// address stands in brackets. aDefaultPort is for URLs without a port; if it
/// is 0, they are rejected. Thread-safe.
std::optional<ServerName>
ParseHttpUrl(const std::string& aUrl, uint16_t aDefaultPort = 0);

struct BlockingClientOptions
{
  Duration connectTimeout = std::chrono::seconds(1);
  /// Added to the progress timeout of a request to limit it as a whole, so that
  /// a response that arrives slowly ends.
  Duration slowResponseAllowance = std::chrono::seconds(2);
  /// The kernel closes a connection whose peer is silent for this long.
  Duration silenceTimeout = std::chrono::seconds(3);
  ParseLimits limits;

  bool operator==(const BlockingClientOptions&) const = default;
};

/// Thread-safe.
class BlockingClient
{
public:
  BlockingClient(ServerName aServer, BlockingClientOptions aOptions);

  /// Performs one request; Host and framing headers are added. It fails if no
  /// byte is sent or received for aProgressTimeout. A request without a
  /// connection, also for lack of file descriptors, counts as not sent.
  ClientResult Perform(RequestMessage aRequest, Duration aProgressTimeout);
  /// Ends the pending requests and lets all later ones fail.
  void Interrupt();

private:
  class PendingCall;

  /// Sets aConnected before the request is sent.
  ClientResult Run(ClientRequest aRequest, bool& aConnected);

  const ServerName m_server;
  const BlockingClientOptions m_options;
  std::mutex m_mutex;
  /// Those of the pending calls.
  std::set<asio::io_context*> m_contexts;
  bool m_interrupted = false;
};

} // namespace wagtailbend::http1
