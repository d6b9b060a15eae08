// Hands results of gRPC calls to the control thread. A call may end after the
// daemon, so it holds the queue and not the daemon.
//
//   auto queue = std::make_shared<ControlQueue>(control);
//   CallPeer(..., [queue, this](auto&...) { queue->Post([this] { ... }); });

#pragma once

#include <mutex>
#include <utility>

#include <asio/io_context.hpp>
#include <asio/post.hpp>

namespace wagtailbend::daemon {

/// Thread-safe.
class ControlQueue
{
public:
  explicit ControlQueue(asio::io_context& aControl)
    : m_control(aControl)
  {
  }

  /// Runs aWork on the control thread, or drops it after Close.
  template<typename Work>
  void Post(Work aWork)
  {
    std::lock_guard lock(m_mutex);
    if (!m_closed) {
      asio::post(m_control, std::move(aWork));
    }
  }

  /// No work is posted afterwards.
  void Close()
  {
    std::lock_guard lock(m_mutex);
    m_closed = true;
  }

private:
  asio::io_context& m_control;
  std::mutex m_mutex;
  bool m_closed = false;
};

} // namespace wagtailbend::daemon
