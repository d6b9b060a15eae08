// One HTTP/1.1 connection to a server, for one request at a time.
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
#include "wagtailbend/net/stream_writer.h"

namespace wagtailbend::http1 {

/// A complete response.
struct Answer
{
  ResponseMessage response;
  /// Responses of other requests that came first and were dropped.
  uint32_t foreign = 0;
};

/// No complete response came.
struct NoAnswer
{
  /// At least one byte of the request went to the socket, so that the server
  /// may have read it.
  bool sent = false;
  /// Part of a response came.
  bool partial = false;
  /// A constant word: what ended the wait.
  std::string_view reason;
};

using ClientResult = std::variant<Answer, NoAnswer>;

struct ClientRequest
{
  /// Serialized.
  std::string bytes;
  bool isHead = false;
  /// Name and value of the header by which the server names the request that
  /// it answers; a response without it or with another value is not passed on.
  /// Empty: every response is taken.
  std::string idHeader;
  std::string id;
  /// No response after this time ends the wait. Zero: no limit.
  Duration timeout{};
};

/// Not thread-safe: belongs to the thread that runs the io_context.
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
  static std::shared_ptr<ClientConnection> Make(asio::io_context& aIo,
                                                ParseLimits aLimits);

  /// aDone is called once, never inside Connect. aSilence: see
  /// net::ConfigureStream.
  void Connect(const asio::ip::tcp::endpoint& aEndpoint,
               Duration aTimeout,
               Duration aSilence,
               std::function<void(bool)> aDone);

  /// Sends a request. aDone is called once, never inside Send, unless Close is
  /// called first. Precondition: IsReady().
  void Send(ClientRequest aRequest, std::function<void(ClientResult)> aDone);

  /// Closes the connection; pending calls of aDone are dropped.
  void Close();

  /// Connected, without a request, and open as far as known.
  bool IsReady() const { return m_state == State::kIdle; }
  /// When the connection became ready. Precondition: IsReady().
  TimePoint IdleSince() const { return m_idleSince; }
  /// How long the server keeps the connection when idle, if it said so.
  std::optional<Duration> KeepAliveTime() const { return m_keepAliveTime; }
  /// aClosed is called when an idle connection is closed by the server.
  void OnIdleClosed(std::function<void()> aClosed);

private:
  ClientConnection(asio::io_context& aIo, ParseLimits aLimits);

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
  void OnEnd(std::string_view aReason, bool aOrderly);
  bool Consume();
  bool TakeResponse();
  void Finish(ClientResult aResult, bool aKeep);
  void StartTimer(Duration aTimeout, std::string_view aReason);
  void NoteKeepAlive(const Headers& aHeaders);

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  net::StreamWriter m_writer;
  ParseLimits m_limits;
  State m_state = State::kNew;
  std::function<void(bool)> m_onConnected;
  std::function<void(ClientResult)> m_onResult;
  std::function<void()> m_onIdleClosed;
  ClientRequest m_request;
  uint64_t m_sentBefore = 0;
  std::unique_ptr<ResponseParser> m_parser;
  std::string m_input;
  bool m_started = false;
  bool m_waiting = false;
  uint32_t m_foreign = 0;
  TimePoint m_idleSince;
  std::optional<Duration> m_keepAliveTime;
};

} // namespace wagtailbend::http1
