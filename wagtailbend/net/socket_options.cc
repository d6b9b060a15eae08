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

// Unanswered probes after which the kernel ends a connection.
constexpr int kProbes = 2;

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
  const std::string_view digits = aText.substr(colon + 1);
  const auto [end, error] =
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (code || error != std::errc{} || end != digits.data() + digits.size() ||
      port == 0) {
    return std::nullopt;
  }
  return asio::ip::tcp::endpoint(address, port);
}

void
ConfigureStream(asio::ip::tcp::socket& aSocket, Duration aSilence)
{
  std::error_code ignored;
  aSocket.non_blocking(true, ignored);
  aSocket.set_option(asio::ip::tcp::no_delay(true), ignored);
  aSocket.set_option(asio::socket_base::keep_alive(true), ignored);
  const auto silenceMs = static_cast<unsigned>(ToMilliseconds(aSilence));
  const int seconds =
    std::max(1, static_cast<int>(silenceMs / 1000) / (kProbes + 1));
  const int probes = kProbes;
  const int handle = aSocket.native_handle();
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
  setsockopt(
    handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &silenceMs, sizeof(silenceMs));
}

} // namespace wagtailbend::net
