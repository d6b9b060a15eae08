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
  const auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
  asio::error_code error;
  const auto address = asio::ip::make_address(std::string(host), error);
  if (error || parsed.ec != std::errc() || parsed.ptr != end) {
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
  auto receiver = std::make_shared<Receiver>(aIo);
  receiver->handler = std::move(aHandler);
  asio::error_code error;
  receiver->socket.open(endpoint->protocol(), error);
  if (!error) {
    receiver->socket.bind(*endpoint, error);
  }
  if (!error) {
    receiver->socket.non_blocking(true, error);
  }
  if (error) {
    return Error{ ErrorKind::kInvalidRequest,
                  fmt::format(
                    "gossip address {}: {}", aAddress, error.message()) };
  }
  Receive(receiver);
  return std::unique_ptr<UdpTransport>(new UdpTransport(std::move(receiver)));
}

UdpTransport::UdpTransport(std::shared_ptr<Receiver> aReceiver)
  : m_receiver(std::move(aReceiver))
{
}

UdpTransport::~UdpTransport()
{
  m_receiver->handler = nullptr;
  asio::error_code ignored;
  m_receiver->socket.close(ignored);
}

void
UdpTransport::Receive(const std::shared_ptr<Receiver>& aReceiver)
{
  aReceiver->socket.async_receive_from(
    asio::buffer(aReceiver->buffer),
    aReceiver->from,
    [receiver = aReceiver](const asio::error_code& aError, size_t aSize) {
      if (!receiver->handler || aError == asio::error::operation_aborted) {
        return;
      }
      // Other errors report that an earlier datagram could not be delivered.
      if (!aError) {
        receiver->handler(FormatEndpoint(receiver->from),
                          std::string_view(receiver->buffer.data(), aSize));
      }
      if (receiver->handler) {
        Receive(receiver);
      }
    });
}

void
UdpTransport::Send(const Datagram& aDatagram)
{
  const std::optional<udp::endpoint> endpoint = ParseEndpoint(aDatagram.to);
  if (!endpoint) {
    ++m_dropped;
    return;
  }
  asio::error_code error;
  m_receiver->socket.send_to(
    asio::buffer(aDatagram.bytes), *endpoint, 0, error);
  if (error) {
    ++m_dropped;
  }
}

std::string
UdpTransport::LocalAddress() const
{
  asio::error_code error;
  return FormatEndpoint(m_receiver->socket.local_endpoint(error));
}

} // namespace wagtailbend::membership
