#include "wagtailbend/membership/udp_transport.h"

#include <charconv>
#include <optional>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/ip/address.hpp>
#include <fmt/format.h>

namespace wagtailbend::membership {
namespace {

using asio::ip::udp;

std::optional<udp::endpoint>
ParseEndpoint(std::string_view aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view host = aText.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  uint16_t port = 0;
  const char* end = aText.data() + aText.size();
  const auto parseResult = std::from_chars(aText.data() + colon + 1, end, port);
  asio::error_code error;
  const auto address = asio::ip::make_address(std::string(host), error);
  if (error || parseResult.ec != std::errc() || parseResult.ptr != end) {
    return std::nullopt;
  }
  return udp::endpoint(address, port);
}

std::string
FormatEndpoint(const udp::endpoint& aEndpoint)
{
  const std::string host = aEndpoint.address().to_string();
  return aEndpoint.address().is_v6()
           ? fmt::format("[{}]:{}", host, aEndpoint.port())
           : fmt::format("{}:{}", host, aEndpoint.port());
}

} // namespace

Result<std::unique_ptr<UdpTransport>>
UdpTransport::Open(asio::io_context& aIo,
                   std::string_view aAddress,
                   Handler aHandler)
{
  const std::optional<udp::endpoint> endpoint = ParseEndpoint(aAddress);
  if (!endpoint) {
    return Error{ ErrorKind::kInvalidRequest,
                  fmt::format("gossip address {}: not ip:port", aAddress) };
  }
  auto state = std::make_shared<ReceiveState>(aIo);
  state->handler = std::move(aHandler);
  asio::error_code error;
  state->socket.open(endpoint->protocol(), error);
  if (!error) {
    state->socket.bind(*endpoint, error);
  }
  if (!error) {
    state->socket.non_blocking(true, error);
  }
  if (error) {
    return Error{ ErrorKind::kInvalidRequest,
                  fmt::format(
                    "gossip address {}: {}", aAddress, error.message()) };
  }
  StartReceive(state);
  return std::unique_ptr<UdpTransport>(new UdpTransport(std::move(state)));
}

UdpTransport::UdpTransport(std::shared_ptr<ReceiveState> aState)
  : m_receiveState(std::move(aState))
{
}

UdpTransport::~UdpTransport()
{
  m_receiveState->handler = nullptr;
  asio::error_code ignored;
  m_receiveState->socket.close(ignored);
}

void
UdpTransport::StartReceive(const std::shared_ptr<ReceiveState>& aState)
{
  aState->socket.async_receive_from(
    asio::buffer(aState->buffer),
    aState->senderEndpoint,
    [state = aState](const asio::error_code& aError, size_t aSize) {
      if (!state->handler || aError == asio::error::operation_aborted) {
        return;
      }
      // Other errors only report that an earlier datagram could not be
      // delivered.
      if (!aError) {
        state->handler(FormatEndpoint(state->senderEndpoint),
                       std::string_view(state->buffer.data(), aSize));
      }
      if (state->handler) {
        StartReceive(state);
      }
    });
}

void
UdpTransport::Send(const Datagram& aDatagram)
{
  const std::optional<udp::endpoint> endpoint =
    ParseEndpoint(aDatagram.destination);
  if (!endpoint) {
    ++m_dropped;
    return;
  }
  asio::error_code error;
  m_receiveState->socket.send_to(
    asio::buffer(aDatagram.bytes), *endpoint, 0, error);
  if (error) {
    ++m_dropped;
  }
}

std::string
UdpTransport::LocalAddress() const
{
  asio::error_code error;
  return FormatEndpoint(m_receiveState->socket.local_endpoint(error));
}

} // namespace wagtailbend::membership
