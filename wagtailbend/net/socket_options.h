// Options and addresses of the TCP sockets of the HTTP path.

#pragma once

#include <optional>
#include <string_view>

#include <asio/ip/tcp.hpp>

#include "wagtailbend/base/time.h"

namespace wagtailbend::net {

/// Parses "IPv4:port". Thread-safe.
std::optional<asio::ip::tcp::endpoint>
ParseEndpoint(std::string_view aText);

/// Makes the socket non-blocking, sends small writes at once, and lets the
/// kernel end a connection whose peer has been silent for about aSilence, so
/// that a connection which some middle box forgot is noticed. Options that the
/// kernel refuses are left out.
void
ConfigureStream(asio::ip::tcp::socket& aSocket, Duration aSilence);

} // namespace wagtailbend::net
