// An HTTP/1.1 client connection that carries one request at a time.
//
//   auto connection = ClientConnection::Make(io, limits);
//   connection->Connect(endpoint, timeout, [connection](bool aConnected) {
//     connection->Send(request, [](ClientResult aResult) { ... });
//   });

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "wagtailbend/base/time.h"
#include "wagtailbend/http1/message.h"
#include "wagtailbend/http1/parser.h"
#include "wagtailbend/http1/receive_budget.h"
#include "wagtailbend/net/stream_writer.h"

namespace wagtailbend::http1 {

/// A response that arrived completely.
struct CompleteResponse
{
  ResponseMessage response;
  /// Responses to other requests that arrived before it and were dropped.
  uint32_t skippedResponses = 0;
};

/// Why a connection or a request failed.
enum class FailureReason : uint8_t
{
  kConnectTimeout,
  kConnectFailed,
  kConnectionLost,
  kWriteFailed,
  /// No complete response arrived before the request's timeout.
  kTimeout,
  /// The bytes received are no HTTP response.
  kMalformedResponse,
  /// The connection ended after a response to another request.
  kForeignResponse,
  /// Too many interim responses, or responses to other requests, came before
  /// the expected one.
  kTooManyResponses,
  /// More bytes arrived than the parse limits allow, dropped responses and the
  /// framing of the body included.
  kResponseTooLarge,
  /// The budget for responses that are being received is used up.
  kReceiveBudgetExhausted,
  /// Bytes arrived while no request was pending.
  kUnexpectedBytes,
  /// The caller gave the request up.
  kInterrupted,
};

/// Returns a short name for logs, such as "connection-lost". Thread-safe.
std::string_view
ToString(FailureReason aReason);

/// Whether the server sent bytes that are not an acceptable response.
/// Thread-safe.
bool
IsInvalidResponse(FailureReason aReason);

/// The outcome of a request without a complete response.
struct NoResponse
{
  /// At least one byte of the request was written to the socket, so the server
  /// may have received it.
  bool requestSent = false;
  /// Part of a response was received.
  bool responseStarted = false;
  FailureReason reason = FailureReason::kConnectionLost;
  /// Bytes received for the request.
  size_t receivedBytes = 0;
};

using ClientResult = std::variant<CompleteResponse, NoResponse>;

struct ClientRequest
{
  /// The serialized request.
  std::string bytes;
  bool isHead = false;
  /// Name of the response header that echoes the request's id. Responses
  /// without this header, or with a value other than `id`, are dropped. If
  /// empty, every response is accepted.
  std::string idHeader;
  std::string id;
  /// The request fails if no complete response arrives in this time. Zero means
  /// no limit.
  Duration timeout{};
  /// The request fails if no byte is sent or received for this time. Zero means
  /// no limit.
  Duration progressTimeout{};
};

/// Not thread-safe. Must be used only on the thread that runs the io_context.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
  /// At most maxHeaderBytes + maxBodyBytes are received for one request.
  /// aBudget, if not null, is shared with other connections.
  static std::shared_ptr<ClientConnection> Make(
    asio::io_context& aIo,
    ParseLimits aLimits,
    std::shared_ptr<ReceiveBudget> aBudget = nullptr);

  /// aDone is called once, never inside Connect, unless Close is called first.
  /// aSilenceTimeout is passed to net::ConfigureSocket.
  void Connect(const asio::ip::tcp::endpoint& aEndpoint,
               Duration aTimeout,
               Duration aSilenceTimeout,
               std::function<void(bool)> aDone);

  /// Sends a request. aDone is called once, never inside Send, unless Close is
  /// called first. Precondition: IsReady().
  void Send(ClientRequest aRequest, std::function<void(ClientResult)> aDone);

  /// Closes the connection and drops pending callbacks.
  void Close();

  /// Whether the connection is open, as far as known, and carries no request.
  bool IsReady() const { return m_state == State::kIdle; }
  /// Time at which the connection became ready. Precondition: IsReady().
  TimePoint IdleSince() const { return m_idleSince; }
  /// How long the server keeps an idle connection open, if its Keep-Alive
  /// header told so.
  std::optional<Duration> KeepAliveTime() const { return m_keepAliveTime; }
  /// aClosed is called when the connection ends while idle, unless Close ended
  /// it. The next Send removes the handler.
  void SetIdleCloseHandler(std::function<void()> aClosed);

private:
  ClientConnection(asio::io_context& aIo,
                   ParseLimits aLimits,
                   std::shared_ptr<ReceiveBudget> aBudget);

  enum class State : uint8_t
  {
    kNew,
    kConnecting,
    kIdle,
    kBusy,
    kClosed,
  };

  void WaitReadable();
  void OnReadable();
  void OnConnectionEnd(FailureReason aReason, bool aOrderlyClose);
  /// Counts received bytes. Ends the connection and returns false if they
  /// exceed a limit.
  bool AcceptReceived(size_t aBytes);
  bool ParseInput();
  bool HandleResponse();
  void Finish(ClientResult aResult, bool aReuse);
  void StartTimer(Duration aTimeout, FailureReason aReason);
  void RestartProgressTimer();
  void ParseKeepAlive(const Headers& aHeaders);

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  asio::steady_timer m_progressTimer;
  net::StreamWriter m_writer;
  ParseLimits m_limits;
  State m_state = State::kNew;
  std::function<void(bool)> m_onConnected;
  std::function<void(ClientResult)> m_onResult;
  std::function<void()> m_onIdleClosed;
  ClientRequest m_request;
  uint64_t m_sentBytesBefore = 0;
  std::unique_ptr<ResponseParser> m_parser;
  std::string m_input;
  /// Bytes received for the current request.
  ReceiveReservation m_received;
  bool m_responseStarted = false;
  bool m_waitingReadable = false;
  uint32_t m_skippedResponses = 0;
  uint32_t m_interimResponses = 0;
  TimePoint m_idleSince;
  std::optional<Duration> m_keepAliveTime;
};

} // namespace wagtailbend::http1
