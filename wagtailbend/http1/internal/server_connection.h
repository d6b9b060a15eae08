// One accepted connection of http1::Server.

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
  void Respond(uint64_t aRequest, const ResponseMessage& aResponse);
  void OnGone(uint64_t aRequest, std::function<void()> aGone);
  asio::ip::address Remote() const { return m_remote; }
  /// Closes the connection if no request is being read or answered.
  void CloseIfIdle();

private:
  enum class Phase : uint8_t
  {
    kIdle,
    kHead,
    kBody,
    kPending,
    kWriting,
    kLingering,
    kClosed,
  };

  void WaitReadable();
  void OnReadable();
  void ParseInput();
  void Deliver();
  void Reject(int aStatus);
  void Send(const ResponseMessage& aResponse, bool aClose);
  void OnWritten();
  void Linger();
  void OnPeerEnd();
  void Close();
  void Enter(Phase aPhase);
  void StartTimer(Duration aTimeout);
  void OnTimeout();
  void Hold(size_t aBytes);

  Server& m_server;
  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  net::StreamWriter m_writer;
  asio::ip::address m_remote;
  Phase m_phase = Phase::kIdle;
  std::string m_input;
  std::optional<RequestParser> m_parser;
  uint64_t m_request = 0;
  bool m_requestOpen = false;
  bool m_keepAlive = true;
  bool m_closeAfterWrite = false;
  bool m_waiting = false;
  bool m_continueSent = false;
  size_t m_held = 0;
  std::function<void()> m_gone;
};

} // namespace wagtailbend::http1
