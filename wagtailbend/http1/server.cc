#include "wagtailbend/http1/server.h"

#include <utility>

#include <asio/error.hpp>

#include "wagtailbend/http1/internal/server_connection.h"

namespace wagtailbend::http1 {
namespace {

constexpr int kListenBacklog = 1024;
// Avoids a busy loop while accept fails, for example for lack of descriptors.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

} // namespace

Responder::Responder(std::weak_ptr<ServerConnection> aConnection,
                     uint64_t aRequestNumber)
  : m_connection(std::move(aConnection))
  , m_requestNumber(aRequestNumber)
{
}

void
Responder::Respond(const ResponseMessage& aResponse) const
{
  if (const auto connection = m_connection.lock()) {
    connection->Respond(m_requestNumber, aResponse);
  }
}

void
Responder::SetDisconnectHandler(std::function<void()> aOnDisconnect) const
{
  if (const auto connection = m_connection.lock()) {
    connection->SetDisconnectHandler(m_requestNumber, std::move(aOnDisconnect));
  }
}

asio::ip::address
Responder::RemoteAddress() const
{
  const auto connection = m_connection.lock();
  return connection ? connection->RemoteAddress() : asio::ip::address{};
}

Server::Server(asio::io_context& aIo,
               RequestHandler& aHandler,
               const ServerLimits& aLimits)
  : m_io(aIo)
  , m_handler(aHandler)
  , m_limits(aLimits)
{
}

Result<Done>
Server::Listen(const asio::ip::tcp::endpoint& aEndpoint)
{
  auto listener = std::make_shared<Listener>(m_io);
  std::error_code code;
  listener->acceptor.open(aEndpoint.protocol(), code);
  if (!code) {
    std::error_code ignored;
    listener->acceptor.set_option(asio::socket_base::reuse_address(true),
                                  ignored);
    listener->acceptor.bind(aEndpoint, code);
  }
  if (!code) {
    listener->acceptor.listen(kListenBacklog, code);
  }
  if (code) {
    return Error{ ErrorKind::kInvalidRequest,
                  "cannot listen on " + aEndpoint.address().to_string() + ":" +
                    std::to_string(aEndpoint.port()) + ": " + code.message() };
  }
  m_listeners.push_back(listener);
  Accept(listener);
  return Done{};
}

void
Server::Accept(const std::shared_ptr<Listener>& aListener)
{
  aListener->acceptor.async_accept(
    [this, aListener](const std::error_code& aCode,
                      asio::ip::tcp::socket aSocket) {
      if (aCode == asio::error::operation_aborted ||
          !aListener->acceptor.is_open()) {
        return;
      }
      if (aCode) {
        aListener->retryTimer.expires_after(kAcceptRetryDelay);
        aListener->retryTimer.async_wait(
          [this, aListener](const std::error_code& aTimerCode) {
            if (!aTimerCode && aListener->acceptor.is_open()) {
              Accept(aListener);
            }
          });
        return;
      }
      if (m_connections.size() >= m_limits.maxConnections) {
        ++m_counts.rejectedConnections;
      } else {
        ++m_counts.accepted;
        auto connection =
          std::make_shared<ServerConnection>(*this, std::move(aSocket));
        m_connections.insert(connection);
        connection->Start();
      }
      Accept(aListener);
    });
}

void
Server::LimitUnsentBytes(const ServerConnection& aLatest)
{
  const TimePoint now = MonotonicNow();
  while (m_counts.unsentBytes - aLatest.UnsentBytes() >
         m_limits.maxUnsentBytes) {
    std::shared_ptr<ServerConnection> slowest;
    for (const auto& connection : m_connections) {
      if (connection.get() == &aLatest || connection->UnsentBytes() == 0) {
        continue;
      }
      if (!slowest || connection->UnsentByteSeconds(now) >
                        slowest->UnsentByteSeconds(now)) {
        slowest = connection;
      }
    }
    ++m_counts.closedSlowReaders;
    slowest->Close();
  }
}

void
Server::CloseIdleConnections()
{
  for (const auto& listener : m_listeners) {
    std::error_code ignored;
    listener->acceptor.close(ignored);
  }
  m_listeners.clear();
  const auto connections = m_connections;
  for (const auto& connection : connections) {
    connection->CloseIfIdle();
  }
}

} // namespace wagtailbend::http1
