// Runs an io_context on a thread of its own, for servers whose client blocks.
//
//   asio::io_context io;
//   ScriptedServer server(io);
//   server.AddResponse("...");
//   const IoThread thread(io);   // the server must not be used any more

#pragma once

#include <thread>

#include <asio/io_context.hpp>

namespace wagtailbend::http1::testing {

/// The destructor stops the io_context, which must outlive this object.
class IoThread
{
public:
  explicit IoThread(asio::io_context& aIo)
    : m_io(aIo)
    , m_thread([this] { m_io.run(); })
  {
  }
  ~IoThread()
  {
    m_io.stop();
    m_thread.join();
  }
  IoThread(const IoThread&) = delete;
  IoThread& operator=(const IoThread&) = delete;

private:
  asio::io_context& m_io;
  std::thread m_thread;
};

} // namespace wagtailbend::http1::testing
