// TCP socket options and endpoint parsing for the HTTP path.

#pragma once

#include <optional>
#include <string_view>

#include <asio/ip/tcp.hpp>

#include "wagtailbend/base/time.h"

namespace wagtailbend::net {

/// Parses "IPv4:port". Returns nullopt if aText is malformed or the port is
/// zero. Thread-safe.
std::optional<asio::ip::tcp::endpoint>
ParseEndpoint(std::string_view aText);

/// Makes the socket non-blocking, disables Nagle's algorithm and lets the
/// kernel close the connection if the peer has not responded for about
/// aPeerTimeout. This detects connections that a middlebox has dropped without
/// notice. Errors from setting an option are ignored.
void
ConfigureSocket(asio::ip::tcp::socket& aSocket, Duration aPeerTimeout);

} // namespace wagtailbend::net
