#include "wagtailbend/http1/client_connection.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <asio/buffer.hpp>
#include <asio/error.hpp>
#include <asio/post.hpp>

#include "wagtailbend/base/boot_time.h"
#include "wagtailbend/net/socket_options.h"
#include "wagtailbend/net/stream_reader.h"

namespace wagtailbend::http1 {
namespace {

// A server that sent the request twice or gave up an earlier one may send a few
// responses too many, and a few interim responses precede a final one.
constexpr uint32_t kMaxDroppedResponses = 16;

struct ReasonTraits
{
  FailureReason reason;
  std::string_view name;
  bool isInvalidResponse;
};

// In the order of the enumerators.
constexpr ReasonTraits kReasons[] = {
  { FailureReason::kConnectTimeout, "connect-timeout", false },
  { FailureReason::kConnectFailed, "connect-failed", false },
  { FailureReason::kConnectionLost, "connection-lost", false },
  { FailureReason::kWriteFailed, "write-failed", false },
  { FailureReason::kTimeout, "no-answer-in-time", false },
  { FailureReason::kMalformedResponse, "malformed-response", true },
  { FailureReason::kForeignResponse, "foreign-response", true },
  { FailureReason::kTooManyResponses, "too-many-responses", true },
  { FailureReason::kResponseTooLarge, "response-too-large", true },
  { FailureReason::kReceiveBudgetExhausted, "receive-budget-exhausted", true },
  { FailureReason::kUnexpectedBytes, "unexpected-bytes", true },
  { FailureReason::kInterrupted, "interrupted", false },
};

const ReasonTraits&
TraitsOf(FailureReason aReason)
{
  return kReasons[static_cast<size_t>(aReason)];
}

} // namespace

std::string_view
ToString(FailureReason aReason)
{
  return TraitsOf(aReason).name;
}

bool
IsInvalidResponse(FailureReason aReason)
{
  return TraitsOf(aReason).isInvalidResponse;
}

ClientConnection::ClientConnection(asio::io_context& aIo,
                                   ParseLimits aLimits,
                                   std::shared_ptr<ReceiveBudget> aBudget)
  : m_socket(aIo)
  , m_timer(aIo)
  , m_progressTimer(aIo)
  , m_writer(
      m_socket,
      [] {},
      [this] { OnConnectionEnd(FailureReason::kWriteFailed, false); })
  , m_limits(aLimits)
  , m_received(std::move(aBudget))
{
}

std::shared_ptr<ClientConnection>
ClientConnection::Make(asio::io_context& aIo,
                       ParseLimits aLimits,
                       std::shared_ptr<ReceiveBudget> aBudget)
{
  return std::shared_ptr<ClientConnection>(
    new ClientConnection(aIo, aLimits, std::move(aBudget)));
}

void
ClientConnection::Connect(const asio::ip::tcp::endpoint& aEndpoint,
                          Duration aTimeout,
                          Duration aSilenceTimeout,
                          std::function<void(bool)> aDone)
{
  m_state = State::kConnecting;
  m_onConnected = std::move(aDone);
  StartTimer(aTimeout, FailureReason::kConnectTimeout);
  m_socket.async_connect(
    aEndpoint,
    [self = shared_from_this(), aSilenceTimeout](const std::error_code& aCode) {
      if (self->m_state != State::kConnecting) {
        return;
      }
      if (aCode) {
        self->OnConnectionEnd(FailureReason::kConnectFailed, false);
        return;
      }
      self->m_timer.cancel();
      net::ConfigureSocket(self->m_socket, aSilenceTimeout);
      self->m_state = State::kIdle;
      self->m_idleSince = BootNow();
      self->WaitReadable();
      std::exchange(self->m_onConnected, nullptr)(true);
    });
}

void
ClientConnection::Send(ClientRequest aRequest,
                       std::function<void(ClientResult)> aDone)
{
  m_state = State::kBusy;
  m_request = std::move(aRequest);
  m_onResult = std::move(aDone);
  m_onIdleClosed = nullptr;
  m_sentBytesBefore = m_writer.SentBytes();
  m_skippedResponses = 0;
  m_interimResponses = 0;
  m_responseStarted = false;
  m_parser = std::make_unique<ResponseParser>(m_limits, m_request.isHead);
  if (m_request.timeout > Duration{}) {
    StartTimer(m_request.timeout, FailureReason::kTimeout);
  }
  m_writer.Write(std::exchange(m_request.bytes, {}), shared_from_this());
  RestartProgressTimer();
  WaitReadable();
}

void
ClientConnection::Close()
{
  m_state = State::kClosed;
  m_received.Release();
  m_onConnected = nullptr;
  m_onResult = nullptr;
  m_onIdleClosed = nullptr;
  m_timer.cancel();
  m_progressTimer.cancel();
  std::error_code ignored;
  m_socket.close(ignored);
}

void
ClientConnection::SetIdleCloseHandler(std::function<void()> aClosed)
{
  m_onIdleClosed = std::move(aClosed);
}

void
ClientConnection::WaitReadable()
{
  if (m_waitingReadable || m_state == State::kClosed) {
    return;
  }
  m_waitingReadable = true;
  m_socket.async_wait(
    asio::ip::tcp::socket::wait_read,
    [self = shared_from_this()](const std::error_code& aCode) {
      self->m_waitingReadable = false;
      if (aCode) {
        self->OnConnectionEnd(FailureReason::kConnectionLost, false);
      } else {
        self->OnReadable();
      }
    });
}

void
ClientConnection::OnReadable()
{
  if (m_state == State::kClosed) {
    return;
  }
  const net::ReadResult received = net::ReadAvailable(m_socket);
  if (received.state == net::ReadStatus::kWouldBlock) {
    WaitReadable();
    return;
  }
  if (received.state != net::ReadStatus::kBytes) {
    OnConnectionEnd(FailureReason::kConnectionLost,
                    received.state == net::ReadStatus::kEndOfStream);
    return;
  }
  if (m_state == State::kIdle) {
    // Without a pending request, these bytes would be taken for the response
    // to the next one.
    OnConnectionEnd(FailureReason::kUnexpectedBytes, false);
    return;
  }
  if (!AcceptReceived(received.bytes.size())) {
    return;
  }
  m_input.append(received.bytes);
  if (ParseInput()) {
    WaitReadable();
  }
}

bool
ClientConnection::AcceptReceived(size_t aBytes)
{
  m_responseStarted = true;
  RestartProgressTimer();
  if (!m_received.Grow(aBytes)) {
    OnConnectionEnd(FailureReason::kReceiveBudgetExhausted, false);
    return false;
  }
  if (m_received.Bytes() > m_limits.maxHeaderBytes + m_limits.maxBodyBytes) {
    OnConnectionEnd(FailureReason::kResponseTooLarge, false);
    return false;
  }
  return true;
}

bool
ClientConnection::ParseInput()
{
  while (!m_input.empty()) {
    m_responseStarted = true;
    const ParseProgress progress = m_parser->Feed(m_input);
    m_input.erase(0, progress.consumed);
    if (progress.state == ParseState::kHeader ||
        progress.state == ParseState::kBody) {
      return true;
    }
    if (progress.state == ParseState::kBodyTooLarge) {
      OnConnectionEnd(FailureReason::kResponseTooLarge, false);
      return false;
    }
    if (progress.state != ParseState::kComplete) {
      OnConnectionEnd(FailureReason::kMalformedResponse, false);
      return false;
    }
    if (HandleResponse()) {
      return false;
    }
  }
  return true;
}

bool
ClientConnection::HandleResponse()
{
  const bool reusable = m_parser->KeepAlive();
  CompleteResponse result;
  result.response = m_parser->TakeMessage();
  result.skippedResponses = m_skippedResponses;
  const bool informational = result.response.status / 100 == 1;
  const std::string* id =
    FindHeader(result.response.headers, m_request.idHeader);
  const bool matches =
    m_request.idHeader.empty() || (id != nullptr && *id == m_request.id);
  if (matches && !informational) {
    ParseKeepAlive(result.response.headers);
    Finish(std::move(result), reusable);
    return true;
  }
  ++(informational ? m_interimResponses : m_skippedResponses);
  if (m_interimResponses + m_skippedResponses > kMaxDroppedResponses) {
    OnConnectionEnd(FailureReason::kTooManyResponses, false);
    return true;
  }
  if (!reusable) {
    OnConnectionEnd(FailureReason::kForeignResponse, false);
    return true;
  }
  m_parser = std::make_unique<ResponseParser>(m_limits, m_request.isHead);
  m_responseStarted = false;
  return false;
}

void
ClientConnection::OnConnectionEnd(FailureReason aReason, bool aOrderlyClose)
{
  if (m_state == State::kClosed) {
    return;
  }
  if (m_state == State::kConnecting) {
    auto done = std::exchange(m_onConnected, nullptr);
    Close();
    asio::post(m_socket.get_executor(),
               [done = std::move(done)] { done(false); });
    return;
  }
  if (m_state == State::kIdle) {
    auto onClosed = std::exchange(m_onIdleClosed, nullptr);
    Close();
    if (onClosed) {
      onClosed();
    }
    return;
  }
  if (aOrderlyClose && m_parser->FeedEndOfStream() == ParseState::kComplete) {
    HandleResponse();
    return;
  }
  NoResponse failure;
  failure.requestSent = m_writer.SentBytes() > m_sentBytesBefore;
  failure.responseStarted = m_responseStarted;
  failure.reason = aReason;
  failure.receivedBytes = m_received.Bytes();
  Finish(failure, false);
}

void
ClientConnection::Finish(ClientResult aResult, bool aReuse)
{
  auto done = std::exchange(m_onResult, nullptr);
  m_timer.cancel();
  m_progressTimer.cancel();
  m_received.Release();
  m_parser.reset();
  // Do not reuse the connection if bytes follow the response, or if the server
  // responded before the whole request was sent: the remaining bytes would be
  // taken for part of the next exchange.
  if (aReuse && m_input.empty() && m_writer.PendingBytes() == 0) {
    m_state = State::kIdle;
    m_idleSince = BootNow();
    WaitReadable();
  } else {
    Close();
  }
  if (done) {
    done(std::move(aResult));
  }
}

void
ClientConnection::StartTimer(Duration aTimeout, FailureReason aReason)
{
  m_timer.expires_after(aTimeout);
  m_timer.async_wait(
    [weak = weak_from_this(), aReason](const std::error_code& aCode) {
      const auto self = weak.lock();
      if (!aCode && self) {
        self->OnConnectionEnd(aReason, false);
      }
    });
}

void
ClientConnection::RestartProgressTimer()
{
  if (m_request.progressTimeout == Duration{}) {
    return;
  }
  m_progressTimer.expires_after(m_request.progressTimeout);
  m_progressTimer.async_wait(
    [weak = weak_from_this(),
     sentBytes = m_writer.SentBytes()](const std::error_code& aCode) {
      const auto self = weak.lock();
      if (aCode || !self) {
        return;
      }
      if (self->m_writer.SentBytes() != sentBytes) {
        self->RestartProgressTimer();
        return;
      }
      self->OnConnectionEnd(FailureReason::kTimeout, false);
    });
}

void
ClientConnection::ParseKeepAlive(const Headers& aHeaders)
{
  const std::string* value = FindHeader(aHeaders, "Keep-Alive");
  if (value == nullptr) {
    return;
  }
  constexpr std::string_view kTimeoutKey = "timeout=";
  const size_t position = value->find(kTimeoutKey);
  if (position == std::string::npos) {
    return;
  }
  uint32_t seconds = 0;
  const char* begin = value->data() + position + kTimeoutKey.size();
  const auto [end, error] =
    std::from_chars(begin, value->data() + value->size(), seconds);
  if (error == std::errc{} && end != begin) {
    m_keepAliveTime = std::chrono::seconds(seconds);
  }
}

} // namespace wagtailbend::http1
