// A connection that http1::Server has accepted.

#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "wagtailbend/http1/server.h"
#include "wagtailbend/net/stream_writer.h"

namespace wagtailbend::http1 {

class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
  ServerConnection(Server& aServer, asio::ip::tcp::socket aSocket);

  void Start();
  void Respond(uint64_t aRequestNumber, const ResponseMessage& aResponse);
  void SetDisconnectHandler(uint64_t aRequestNumber,
                            std::function<void()> aOnDisconnect);
  asio::ip::address RemoteAddress() const { return m_remote; }
  /// Closes the connection unless it is receiving or processing a request.
  void CloseIfIdle();
  void Close();
  /// Returns the size of the response that the client has not read completely;
  /// 0 if there is none.
  size_t UnsentBytes() const { return m_unsentBytes; }
  /// Returns the product of that size and the time since it was sent.
  double UnsentByteSeconds(TimePoint aNow) const;

private:
  enum class Phase : uint8_t
  {
    kIdle,
    kHeader,
    kBody,
    kPending,
    kWriting,
    kLingering,
    kClosed,
  };

  void WaitReadable();
  void OnReadable();
  void ProcessInput();
  void ParseInput();
  void DispatchRequest();
  void RejectRequest(int aStatus);
  void SendResponse(const ResponseMessage& aResponse, bool aClose);
  void OnWritten();
  void BeginLingeringClose();
  void OnDisconnect();
  void EnterPhase(Phase aPhase);
  void StartTimer(Duration aTimeout);
  void OnTimeout();
  void SetBufferedBytes(size_t aBytes);
  /// Counts input that waits behind the request being processed.
  void SetPipelinedBytes(size_t aBytes);
  /// Returns true if this request must not be held because of the limit on the
  /// bytes of all requests.
  bool ExceedsBufferLimit() const;
  void SetUnsentBytes(size_t aBytes);

  Server& m_server;
  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  net::StreamWriter m_writer;
  asio::ip::address m_remote;
  Phase m_phase = Phase::kIdle;
  std::string m_input;
  std::optional<RequestParser> m_parser;
  uint64_t m_requestNumber = 0;
  bool m_requestPending = false;
  bool m_keepAlive = true;
  bool m_closeAfterWrite = false;
  bool m_waitingReadable = false;
  bool m_continueSent = false;
  size_t m_bufferedBytes = 0;
  size_t m_pipelinedBytes = 0;
  size_t m_unsentBytes = 0;
  TimePoint m_sentAt{};
  std::function<void()> m_onDisconnect;
};

} // namespace wagtailbend::http1
