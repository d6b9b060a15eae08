// A TCP proxy on loopback that harms what passes through it.
//
//   FaultProxy proxy("127.0.0.1", target);
//   proxy.Set(ProxyFault::kSilent);     // open connections; new ones work
//   proxy.Set(ProxyFault::kNone);
//   proxy.AnswerWith([](const std::string& aRequest) { return "garbage"; });

#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace wagtailbend::testing {

enum class ProxyFault : uint8_t
{
  kNone,
  /// Bytes pass 100 ms later.
  kDelay,
  /// Open connections are reset once; later ones pass.
  kReset,
  /// Bytes towards the server are swallowed.
  kCutUp,
  /// Bytes towards the client are swallowed.
  kCutDown,
  /// Open connections pass nothing for good; later ones pass.
  kSilent,
  /// Open connections are reset and new ones refused, as by a process that has
  /// ended.
  kRefuse,
};

/// Number of faults in which connections or bytes are lost although the server
/// runs; kRefuse is not one of them.
inline constexpr size_t kProxyFaults = 6;

/// Set and AnswerWith are thread-safe.
class FaultProxy
{
public:
  /// Returns the bytes to send to the client for bytes that it sent.
  using Answer = std::function<std::string(const std::string&)>;

  /// Listens on a free port of aHost and connects to aTarget (IPv4:port).
  FaultProxy(const std::string& aHost, const std::string& aTarget);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  std::string Address() const { return m_address; }
  void Set(ProxyFault aFault);
  /// From now on aAnswer, called on the proxy's thread, answers the clients in
  /// place of the server, which gets nothing. Null: the server answers again.
  void AnswerWith(Answer aAnswer);

private:
  class Session;

  void Accept();
  void Listen();

  asio::io_context m_io;
  /// Keeps the thread running while nothing listens.
  asio::executor_work_guard<asio::io_context::executor_type> m_work;
  const asio::ip::tcp::endpoint m_target;
  asio::ip::tcp::acceptor m_acceptor;
  const asio::ip::tcp::endpoint m_endpoint;
  const std::string m_address;
  std::atomic<ProxyFault> m_fault{ ProxyFault::kNone };
  Answer m_answer;
  std::set<std::shared_ptr<Session>> m_sessions;
  std::thread m_thread;
};

} // namespace wagtailbend::testing
