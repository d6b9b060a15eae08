#include "wagtailbend/http1/internal/server_connection.h"

#include <utility>

#include <asio/buffer.hpp>
#include <asio/error.hpp>

#include "wagtailbend/net/socket_options.h"
#include "wagtailbend/net/stream_reader.h"

namespace wagtailbend::http1 {
namespace {

// Limit on the pipelined bytes that are buffered while a request is processed,
// in addition to the header limit. Reading stops above it.
constexpr size_t kMaxPipelinedBytes = 64UL * 1024;
// Time for the client to read the last response and close the connection.
// Closing with unread input would reset the connection, and the response could
// be lost.
constexpr Duration kLingerTimeout = std::chrono::milliseconds(500);
// Frees the connections of clients that vanished without closing them.
constexpr Duration kClientSilenceTimeout = std::chrono::seconds(12);

// Replaces the part of a connection in a total of all connections.
void
ReplacePart(size_t& aTotal, size_t& aPart, size_t aBytes)
{
  aTotal += aBytes;
  aTotal -= std::exchange(aPart, aBytes);
}

} // namespace

ServerConnection::ServerConnection(Server& aServer,
                                   asio::ip::tcp::socket aSocket)
  : m_server(aServer)
  , m_socket(std::move(aSocket))
  , m_timer(m_socket.get_executor())
  , m_writer(
      m_socket,
      [this] { OnWritten(); },
      [this] { OnDisconnect(); })
{
}

void
ServerConnection::Start()
{
  net::ConfigureSocket(m_socket, kClientSilenceTimeout);
  std::error_code code;
  const auto remote = m_socket.remote_endpoint(code);
  if (code) {
    Close();
    return;
  }
  m_remote = remote.address();
  EnterPhase(Phase::kIdle);
  WaitReadable();
}

void
ServerConnection::WaitReadable()
{
  if (m_waitingReadable || m_phase == Phase::kClosed ||
      m_input.size() >
        kMaxPipelinedBytes + m_server.m_limits.parse.maxHeaderBytes) {
    return;
  }
  m_waitingReadable = true;
  m_socket.async_wait(
    asio::ip::tcp::socket::wait_read,
    [self = shared_from_this()](const std::error_code& aCode) {
      self->m_waitingReadable = false;
      if (aCode) {
        self->OnDisconnect();
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
  const net::ReadResult received = net::ReadAvailable(m_socket);
  if (received.state == net::ReadStatus::kWouldBlock) {
    WaitReadable();
    return;
  }
  if (received.state != net::ReadStatus::kBytes) {
    OnDisconnect();
    return;
  }
  if (m_phase == Phase::kLingering) {
    WaitReadable();
    return;
  }
  m_input.append(received.bytes);
  ProcessInput();
}

void
ServerConnection::ProcessInput()
{
  if (m_phase == Phase::kIdle || m_phase == Phase::kHeader ||
      m_phase == Phase::kBody) {
    ParseInput();
  }
  if (m_phase == Phase::kClosed) {
    return;
  }
  SetPipelinedBytes(m_input.size());
  if (m_pipelinedBytes > 0 && ExceedsBufferLimit()) {
    OnDisconnect();
    return;
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
    EnterPhase(Phase::kHeader);
  }
  SetPipelinedBytes(0);
  const ParseProgress progress = m_parser->Feed(m_input);
  m_input.erase(0, progress.consumed);
  if (m_input.empty()) {
    // Releases the memory; an idle connection would keep it.
    std::string().swap(m_input);
  }
  SetBufferedBytes(m_bufferedBytes + progress.consumed);
  const bool isWellFormed = progress.state == ParseState::kHeader ||
                            progress.state == ParseState::kBody ||
                            progress.state == ParseState::kComplete;
  if (isWellFormed && ExceedsBufferLimit()) {
    RejectRequest(503);
    return;
  }
  switch (progress.state) {
    case ParseState::kHeader:
      return;
    case ParseState::kBody:
      if (m_phase == Phase::kHeader) {
        EnterPhase(Phase::kBody);
      }
      if (m_parser->ExpectsContinue() && !std::exchange(m_continueSent, true)) {
        m_writer.Write("HTTP/1.1 100 Continue\r\n\r\n", shared_from_this());
      }
      return;
    case ParseState::kComplete:
      DispatchRequest();
      return;
    case ParseState::kMalformed:
      RejectRequest(400);
      return;
    case ParseState::kHeaderTooLarge:
      RejectRequest(431);
      return;
    case ParseState::kBodyTooLarge:
      RejectRequest(413);
      return;
  }
}

void
ServerConnection::DispatchRequest()
{
  m_keepAlive = m_parser->KeepAlive();
  RequestMessage request = m_parser->TakeMessage();
  m_parser.reset();
  ++m_requestNumber;
  m_requestPending = true;
  ++m_server.m_counts.pendingRequests;
  EnterPhase(Phase::kPending);
  m_server.m_handler.OnRequest(std::move(request),
                               Responder(weak_from_this(), m_requestNumber));
}

void
ServerConnection::RejectRequest(int aStatus)
{
  ++m_server.m_counts.malformed;
  m_parser.reset();
  ResponseMessage response;
  response.status = aStatus;
  SendResponse(response, true);
}

void
ServerConnection::Respond(uint64_t aRequestNumber,
                          const ResponseMessage& aResponse)
{
  if (aRequestNumber != m_requestNumber || !m_requestPending ||
      m_phase != Phase::kPending) {
    return;
  }
  m_requestPending = false;
  --m_server.m_counts.pendingRequests;
  m_onDisconnect = nullptr;
  SendResponse(aResponse, !m_keepAlive || m_server.m_closeAnnounced);
}

void
ServerConnection::SendResponse(const ResponseMessage& aResponse, bool aClose)
{
  m_closeAfterWrite = aClose;
  EnterPhase(Phase::kWriting);
  std::string bytes = SerializeResponse(aResponse, aClose);
  m_sentAt = MonotonicNow();
  SetUnsentBytes(bytes.size());
  m_writer.Write(std::move(bytes), shared_from_this());
  if (m_unsentBytes > 0) {
    m_server.LimitUnsentBytes(*this);
  }
}

void
ServerConnection::OnWritten()
{
  if (m_phase != Phase::kWriting) {
    return;
  }
  SetBufferedBytes(0);
  SetUnsentBytes(0);
  if (m_closeAfterWrite) {
    BeginLingeringClose();
    return;
  }
  EnterPhase(Phase::kIdle);
  if (m_input.empty()) {
    WaitReadable();
    return;
  }
  // Parse pipelined bytes from the event loop, so that a long pipeline does not
  // cause deep recursion.
  asio::post(m_socket.get_executor(),
             [self = shared_from_this()] { self->ProcessInput(); });
}

void
ServerConnection::BeginLingeringClose()
{
  EnterPhase(Phase::kLingering);
  std::string().swap(m_input);
  SetPipelinedBytes(0);
  std::error_code ignored;
  m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  WaitReadable();
}

void
ServerConnection::OnDisconnect()
{
  if (m_phase == Phase::kClosed) {
    return;
  }
  std::function<void()> onDisconnect = std::exchange(m_onDisconnect, nullptr);
  const bool wasPending = std::exchange(m_requestPending, false);
  if (wasPending) {
    --m_server.m_counts.pendingRequests;
  }
  Close();
  if (wasPending && onDisconnect) {
    onDisconnect();
  }
}

void
ServerConnection::Close()
{
  m_phase = Phase::kClosed;
  SetBufferedBytes(0);
  SetPipelinedBytes(0);
  SetUnsentBytes(0);
  m_timer.cancel();
  std::error_code ignored;
  m_socket.close(ignored);
  m_server.m_connections.erase(shared_from_this());
}

void
ServerConnection::CloseIfIdle()
{
  if (m_phase == Phase::kIdle) {
    BeginLingeringClose();
  }
}

void
ServerConnection::SetDisconnectHandler(uint64_t aRequestNumber,
                                       std::function<void()> aOnDisconnect)
{
  if (aRequestNumber == m_requestNumber && m_requestPending) {
    m_onDisconnect = std::move(aOnDisconnect);
  }
}

void
ServerConnection::EnterPhase(Phase aPhase)
{
  m_phase = aPhase;
  const ServerLimits& limits = m_server.m_limits;
  switch (aPhase) {
    case Phase::kIdle:
      StartTimer(limits.idleTimeout);
      return;
    case Phase::kHeader:
      StartTimer(limits.headerTimeout);
      return;
    case Phase::kBody:
      StartTimer(limits.bodyTimeout);
      return;
    case Phase::kWriting:
      StartTimer(limits.writeTimeout);
      return;
    case Phase::kLingering:
      StartTimer(kLingerTimeout);
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
      BeginLingeringClose();
      return;
    case Phase::kHeader:
    case Phase::kBody:
      ++m_server.m_counts.timedOut;
      RejectRequest(408);
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
ServerConnection::SetBufferedBytes(size_t aBytes)
{
  ReplacePart(m_server.m_counts.bufferedBytes, m_bufferedBytes, aBytes);
}

bool
ServerConnection::ExceedsBufferLimit() const
{
  return m_server.m_counts.bufferedBytes > m_server.m_limits.maxBufferedBytes &&
         m_bufferedBytes + m_pipelinedBytes >
           m_server.m_limits.shortRequestBytes;
}

void
ServerConnection::SetPipelinedBytes(size_t aBytes)
{
  ReplacePart(m_server.m_counts.bufferedBytes, m_pipelinedBytes, aBytes);
}

void
ServerConnection::SetUnsentBytes(size_t aBytes)
{
  ReplacePart(m_server.m_counts.unsentBytes, m_unsentBytes, aBytes);
}

double
ServerConnection::UnsentByteSeconds(TimePoint aNow) const
{
  const std::chrono::duration<double> elapsed = aNow - m_sentAt;
  return static_cast<double>(m_unsentBytes) * elapsed.count();
}

} // namespace wagtailbend::http1
