#include "wagtailbend/http1/blocking_client.h"

#include <limits>
#include <regex>
#include <system_error>
#include <utility>

#include <asio/ip/address.hpp>
#include <asio/ip/tcp.hpp>

namespace wagtailbend::http1 {
namespace {

using asio::ip::tcp;

std::optional<tcp::endpoint>
Resolve(asio::io_context& aIo, const ServerName& aServer)
{
  std::error_code code;
  const asio::ip::address address = asio::ip::make_address(aServer.host, code);
  if (!code) {
    return tcp::endpoint(address, aServer.port);
  }
  const auto found = tcp::resolver(aIo).resolve(
    aServer.host, std::to_string(aServer.port), code);
  if (code || found.empty()) {
    return std::nullopt;
  }
  return found.begin()->endpoint();
}

std::string
HostHeaderOf(const ServerName& aServer)
{
  const bool isIpv6 = aServer.host.find(':') != std::string::npos;
  const std::string host = isIpv6 ? "[" + aServer.host + "]" : aServer.host;
  return host + ":" + std::to_string(aServer.port);
}

NoResponse
MakeFailure(FailureReason aReason, bool aRequestSent)
{
  NoResponse failure;
  failure.reason = aReason;
  failure.requestSent = aRequestSent;
  return failure;
}

} // namespace

std::optional<ServerName>
ParseHttpUrl(const std::string& aUrl, uint16_t aDefaultPort)
{
  static const std::regex kUrl(
    R"(http://(?:\[([0-9A-Fa-f:.]+)\]|([^/:?#\[\]]+))(?::([0-9]{1,5}))?/?)");
  std::smatch match;
  if (!std::regex_match(aUrl, match, kUrl)) {
    return std::nullopt;
  }
  const int port = match[3].matched ? std::stoi(match[3]) : aDefaultPort;
  if (port == 0 || port > std::numeric_limits<uint16_t>::max()) {
    return std::nullopt;
  }
  return ServerName{ match[1].matched ? match[1] : match[2],
                     static_cast<uint16_t>(port) };
}

/// Lets Interrupt reach the event loop of a call.
class BlockingClient::PendingCall
{
public:
  PendingCall(BlockingClient& aOwner, asio::io_context& aIo)
    : m_owner(aOwner)
    , m_io(aIo)
  {
    const std::lock_guard lock(m_owner.m_mutex);
    m_allowed = !m_owner.m_interrupted;
    m_owner.m_contexts.insert(&m_io);
  }
  ~PendingCall()
  {
    const std::lock_guard lock(m_owner.m_mutex);
    m_owner.m_contexts.erase(&m_io);
  }
  PendingCall(const PendingCall&) = delete;
  PendingCall& operator=(const PendingCall&) = delete;

  bool IsAllowed() const { return m_allowed; }

private:
  BlockingClient& m_owner;
  asio::io_context& m_io;
  bool m_allowed = true;
};

BlockingClient::BlockingClient(ServerName aServer,
                               BlockingClientOptions aOptions)
  : m_server(std::move(aServer))
  , m_options(aOptions)
{
}

ClientResult
BlockingClient::Perform(RequestMessage aRequest, Duration aProgressTimeout)
{
  SetHeader(aRequest.headers, "Host", HostHeaderOf(m_server));
  SetHeader(aRequest.headers, "Connection", "close");
  ClientRequest request;
  request.bytes = SerializeRequest(aRequest);
  request.isHead = aRequest.method == "HEAD";
  request.timeout = aProgressTimeout + m_options.slowResponseAllowance;
  request.progressTimeout = aProgressTimeout;
  bool connected = false;
  try {
    return Run(std::move(request), connected);
  } catch (const std::system_error&) {
    // The event loop needs file descriptors.
    return MakeFailure(FailureReason::kConnectFailed, connected);
  }
}

ClientResult
BlockingClient::Run(ClientRequest aRequest, bool& aConnected)
{
  asio::io_context io;
  const PendingCall call(*this, io);
  if (!call.IsAllowed()) {
    return MakeFailure(FailureReason::kInterrupted, false);
  }
  const auto endpoint = Resolve(io, m_server);
  if (!endpoint) {
    return MakeFailure(FailureReason::kConnectFailed, false);
  }
  std::optional<ClientResult> result;
  const auto connection = ClientConnection::Make(io, m_options.limits);
  connection->Connect(
    *endpoint,
    m_options.connectTimeout,
    m_options.silenceTimeout,
    [&](bool aIsConnected) {
      aConnected = aIsConnected;
      if (!aIsConnected) {
        result = MakeFailure(FailureReason::kConnectFailed, false);
        return;
      }
      connection->Send(std::move(aRequest), [&result](ClientResult aResult) {
        result = std::move(aResult);
      });
    });
  while (!result && io.run_one() > 0) {
  }
  connection->Close();
  return result ? std::move(*result)
                : MakeFailure(FailureReason::kInterrupted, aConnected);
}

void
BlockingClient::Interrupt()
{
  const std::lock_guard lock(m_mutex);
  m_interrupted = true;
  for (asio::io_context* io : m_contexts) {
    io->stop();
  }
}

} // namespace wagtailbend::http1
