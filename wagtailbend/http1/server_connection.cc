#include "wagtailbend/http1/internal/server_connection.h"

#include <utility>

#include <asio/buffer.hpp>
#include <asio/error.hpp>

#include "wagtailbend/net/socket_options.h"
#include "wagtailbend/net/stream_reader.h"

namespace wagtailbend::http1 {
namespace {

// Pipelined bytes that are kept while a request is answered; reading stops
// above it.
constexpr size_t kMaxPipelinedBytes = 64UL * 1024;
// After the last answer of a connection its client gets this long to read it
// and close; closing with unread input would reset the connection.
constexpr Duration kLingerTime = std::chrono::milliseconds(500);
// A client that vanished without a word holds a connection no longer.
constexpr Duration kClientSilence = std::chrono::seconds(12);

} // namespace

ServerConnection::ServerConnection(Server& aServer,
                                   asio::ip::tcp::socket aSocket)
  : m_server(aServer)
  , m_socket(std::move(aSocket))
  , m_timer(m_socket.get_executor())
  , m_writer(
      m_socket,
      [this] { OnWritten(); },
      [this] { OnPeerEnd(); })
{
}

void
ServerConnection::Start()
{
  net::ConfigureStream(m_socket, kClientSilence);
  std::error_code code;
  const auto remote = m_socket.remote_endpoint(code);
  if (code) {
    Close();
    return;
  }
  m_remote = remote.address();
  Enter(Phase::kIdle);
  WaitReadable();
}

void
ServerConnection::WaitReadable()
{
  if (m_waiting || m_phase == Phase::kClosed ||
      m_input.size() >
        kMaxPipelinedBytes + m_server.m_limits.parse.maxHeaderBytes) {
    return;
  }
  m_waiting = true;
  m_socket.async_wait(
    asio::ip::tcp::socket::wait_read,
    [self = shared_from_this()](const std::error_code& aCode) {
      self->m_waiting = false;
      if (aCode) {
        self->OnPeerEnd();
      } else {
        self->OnReadable();
      }
    });
}

void
ServerConnection::OnReadable()
{
  if (m_phase == Phase::kClosed) {
    return;
  }
  const net::Received received = net::ReadAvailable(m_socket);
  if (received.state == net::ReadState::kNothing) {
    WaitReadable();
    return;
  }
  if (received.state != net::ReadState::kBytes) {
    OnPeerEnd();
    return;
  }
  if (m_phase == Phase::kLingering) {
    WaitReadable();
    return;
  }
  m_input.append(received.bytes);
  if (m_phase == Phase::kIdle || m_phase == Phase::kHead ||
      m_phase == Phase::kBody) {
    ParseInput();
  }
  WaitReadable();
}

void
ServerConnection::ParseInput()
{
  if (m_input.empty()) {
    return;
  }
  if (m_phase == Phase::kIdle) {
    m_parser.emplace(m_server.m_limits.parse);
    m_continueSent = false;
    Enter(Phase::kHead);
  }
  const Progress progress = m_parser->Feed(m_input);
  m_input.erase(0, progress.consumed);
  Hold(m_held + progress.consumed);
  switch (progress.state) {
    case ParseState::kHead:
      return;
    case ParseState::kBody:
      if (m_phase == Phase::kHead) {
        Enter(Phase::kBody);
      }
      if (m_server.m_counts.heldBytes > m_server.m_limits.maxHeldBytes) {
        Reject(503);
        return;
      }
      if (m_parser->ExpectsContinue() && !std::exchange(m_continueSent, true)) {
        m_writer.Write("HTTP/1.1 100 Continue\r\n\r\n", shared_from_this());
      }
      return;
    case ParseState::kComplete:
      Deliver();
      return;
    case ParseState::kMalformed:
      Reject(400);
      return;
    case ParseState::kHeaderTooLarge:
      Reject(431);
      return;
    case ParseState::kBodyTooLarge:
      Reject(413);
      return;
  }
}

void
ServerConnection::Deliver()
{
  m_keepAlive = m_parser->KeepAlive();
  RequestMessage request = m_parser->TakeMessage();
  m_parser.reset();
  ++m_request;
  m_requestOpen = true;
  ++m_server.m_counts.pendingRequests;
  Enter(Phase::kPending);
  m_server.m_handler.OnRequest(std::move(request),
                               Responder(weak_from_this(), m_request));
}

void
ServerConnection::Reject(int aStatus)
{
  ++m_server.m_counts.malformed;
  m_parser.reset();
  ResponseMessage response;
  response.status = aStatus;
  Send(response, true);
}

void
ServerConnection::Respond(uint64_t aRequest, const ResponseMessage& aResponse)
{
  if (aRequest != m_request || !m_requestOpen || m_phase != Phase::kPending) {
    return;
  }
  m_requestOpen = false;
  --m_server.m_counts.pendingRequests;
  m_gone = nullptr;
  Send(aResponse, !m_keepAlive || m_server.m_closing);
}

void
ServerConnection::Send(const ResponseMessage& aResponse, bool aClose)
{
  m_closeAfterWrite = aClose;
  Enter(Phase::kWriting);
  m_writer.Write(SerializeResponse(aResponse, aClose), shared_from_this());
}

void
ServerConnection::OnWritten()
{
  if (m_phase != Phase::kWriting) {
    return;
  }
  Hold(0);
  if (m_closeAfterWrite) {
    Linger();
    return;
  }
  Enter(Phase::kIdle);
  if (m_input.empty()) {
    WaitReadable();
    return;
  }
  // Pipelined bytes: parse them from the event loop, so that a long pipeline
  // does not nest calls.
  asio::post(m_socket.get_executor(), [self = shared_from_this()] {
    if (self->m_phase == Phase::kIdle) {
      self->ParseInput();
    }
    self->WaitReadable();
  });
}

void
ServerConnection::Linger()
{
  Enter(Phase::kLingering);
  m_input.clear();
  std::error_code ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  WaitReadable();
}

void
ServerConnection::OnPeerEnd()
{
  if (m_phase == Phase::kClosed) {
    return;
  }
  std::function<void()> gone = std::exchange(m_gone, nullptr);
  const bool open = std::exchange(m_requestOpen, false);
  if (open) {
    --m_server.m_counts.pendingRequests;
  }
  Close();
  if (open && gone) {
    gone();
  }
}

void
ServerConnection::Close()
{
  m_phase = Phase::kClosed;
  Hold(0);
  m_timer.cancel();
  std::error_code ignored;
  m_socket.close(ignored);
  m_server.m_connections.erase(shared_from_this());
}

void
ServerConnection::CloseIfIdle()
{
  if (m_phase == Phase::kIdle) {
    Linger();
  }
}

void
ServerConnection::OnGone(uint64_t aRequest, std::function<void()> aGone)
{
  if (aRequest == m_request && m_requestOpen) {
    m_gone = std::move(aGone);
  }
}

void
ServerConnection::Enter(Phase aPhase)
{
  m_phase = aPhase;
  const ServerLimits& limits = m_server.m_limits;
  switch (aPhase) {
    case Phase::kIdle:
      StartTimer(limits.idleTimeout);
      return;
    case Phase::kHead:
      StartTimer(limits.headerTimeout);
      return;
    case Phase::kBody:
      StartTimer(limits.bodyTimeout);
      return;
    case Phase::kWriting:
      StartTimer(limits.writeTimeout);
      return;
    case Phase::kLingering:
      StartTimer(kLingerTime);
      return;
    case Phase::kPending:
    case Phase::kClosed:
      m_timer.cancel();
      return;
  }
}

void
ServerConnection::StartTimer(Duration aTimeout)
{
  m_timer.expires_after(aTimeout);
  m_timer.async_wait([self = weak_from_this()](const std::error_code& aCode) {
    const auto connection = self.lock();
    if (!aCode && connection) {
      connection->OnTimeout();
    }
  });
}

void
ServerConnection::OnTimeout()
{
  switch (m_phase) {
    case Phase::kIdle:
      Linger();
      return;
    case Phase::kHead:
    case Phase::kBody:
      ++m_server.m_counts.timedOut;
      Reject(408);
      return;
    case Phase::kWriting:
      ++m_server.m_counts.timedOut;
      Close();
      return;
    case Phase::kLingering:
      Close();
      return;
    case Phase::kPending:
    case Phase::kClosed:
      return;
  }
}

void
ServerConnection::Hold(size_t aBytes)
{
  m_server.m_counts.heldBytes += aBytes;
  m_server.m_counts.heldBytes -= m_held;
  m_held = aBytes;
}

} // namespace wagtailbend::http1
