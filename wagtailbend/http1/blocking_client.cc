#include "wagtailbend/http1/blocking_client.h"

#include <optional>
#include <utility>

#include <asio/ip/address.hpp>
#include <asio/ip/tcp.hpp>

namespace wagtailbend::http1 {
namespace {

using asio::ip::tcp;

std::optional<tcp::endpoint>
Resolve(asio::io_context& aIo, const std::string& aHost, uint16_t aPort)
{
  std::error_code code;
  const asio::ip::address address = asio::ip::make_address(aHost, code);
  if (!code) {
    return tcp::endpoint(address, aPort);
  }
  const auto found =
    tcp::resolver(aIo).resolve(aHost, std::to_string(aPort), code);
  if (code || found.empty()) {
    return std::nullopt;
  }
  return found.begin()->endpoint();
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

BlockingClient::BlockingClient(std::string aHost,
                               uint16_t aPort,
                               BlockingClientOptions aOptions)
  : m_host(std::move(aHost))
  , m_port(aPort)
  , m_options(aOptions)
{
}

ClientResult
BlockingClient::Perform(RequestMessage aRequest, Duration aProgressTimeout)
{
  asio::io_context io;
  const PendingCall call(*this, io);
  if (!call.IsAllowed()) {
    return MakeFailure(FailureReason::kInterrupted, false);
  }
  const auto endpoint = Resolve(io, m_host, m_port);
  if (!endpoint) {
    return MakeFailure(FailureReason::kConnectFailed, false);
  }
  SetHeader(aRequest.headers, "Host", m_host + ":" + std::to_string(m_port));
  SetHeader(aRequest.headers, "Connection", "close");

  std::optional<ClientResult> result;
  bool connected = false;
  const auto connection = ClientConnection::Make(io, m_options.limits);
  const auto send = [&](bool aConnected) {
    connected = aConnected;
    if (!aConnected) {
      result = MakeFailure(FailureReason::kConnectFailed, false);
      return;
    }
    ClientRequest request;
    request.bytes = SerializeRequest(aRequest);
    request.isHead = aRequest.method == "HEAD";
    request.timeout = aProgressTimeout + m_options.slowResponseAllowance;
    request.progressTimeout = aProgressTimeout;
    connection->Send(std::move(request), [&result](ClientResult aResult) {
      result = std::move(aResult);
    });
  };
  connection->Connect(
    *endpoint, m_options.connectTimeout, m_options.silenceTimeout, send);
  while (!result && io.run_one() > 0) {
  }
  connection->Close();
  return result ? std::move(*result)
                : MakeFailure(FailureReason::kInterrupted, connected);
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
