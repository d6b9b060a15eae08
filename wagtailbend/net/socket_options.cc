#include "wagtailbend/net/socket_options.h"

#include <algorithm>
#include <charconv>
#include <string>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <asio/ip/address_v4.hpp>

namespace wagtailbend::net {
namespace {

// Unacknowledged keep-alive probes after which the kernel closes a connection.
constexpr int kMaxKeepAliveProbes = 2;

} // namespace

std::optional<asio::ip::tcp::endpoint>
ParseEndpoint(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::error_code code;
  const auto address =
    asio::ip::make_address_v4(std::string(aText.substr(0, colon)), code);
  uint16_t port = 0;
  const std::string_view portText = aText.substr(colon + 1);
  const auto [end, error] =
    std::from_chars(portText.data(), portText.data() + portText.size(), port);
  if (code || error != std::errc{} ||
      end != portText.data() + portText.size() || port == 0) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(address, port);
}

void
ConfigureSocket(asio::ip::tcp::socket& aSocket, Duration aPeerTimeout)
{
  std::error_code ignored;
  aSocket.non_blocking(true, ignored);
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  const auto peerTimeoutMs =
    static_cast<unsigned>(ToMilliseconds(aPeerTimeout));
  // The idle time before the first probe and the probe intervals together last
  // about aPeerTimeout.
  const int probeIntervalSeconds = std::max(
    1, static_cast<int>(peerTimeoutMs / 1000) / (kMaxKeepAliveProbes + 1));
  const int maxProbes = kMaxKeepAliveProbes;
  const int descriptor = aSocket.native_handle();
  setsockopt(descriptor,
             IPPROTO_TCP,
             TCP_KEEPIDLE,
             &probeIntervalSeconds,
             sizeof(probeIntervalSeconds));
  setsockopt(descriptor,
             IPPROTO_TCP,
             TCP_KEEPINTVL,
             &probeIntervalSeconds,
             sizeof(probeIntervalSeconds));
  setsockopt(
    descriptor, IPPROTO_TCP, TCP_KEEPCNT, &maxProbes, sizeof(maxProbes));
  setsockopt(descriptor,
             IPPROTO_TCP,
             TCP_USER_TIMEOUT,
             &peerTimeoutMs,
             sizeof(peerTimeoutMs));
}

} // namespace wagtailbend::net
