// A TCP relay whose open connections can be silenced for good while new ones
// work.
//
//   SilentRelay relay("127.0.0.1:7001", "127.0.0.1:7002", muteRequests);

#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace wagtailbend::testing {

class SilentRelay
{
public:
  /// Accepts on aListen and connects to aTarget. A connection opened while
  /// aMuteRequests had a smaller value than now passes no more bytes; both its
  /// ends stay open.
  SilentRelay(const std::string& aListen,
              const std::string& aTarget,
              const std::atomic<uint32_t>& aMuteRequests);
  ~SilentRelay();

private:
  class Session;

  void Accept();

  const std::atomic<uint32_t>& m_muteRequests;
  asio::io_context m_context;
  asio::ip::tcp::endpoint m_target;
  asio::ip::tcp::acceptor m_acceptor;
  std::thread m_thread;
};

} // namespace wagtailbend::testing
