// Serves an in-memory platform over the HTTP protocol of the platform, and
// POST /v1/faults to switch its faults:
//
//   {"kind":"reply-lost","delayMs":20,"operations":["transact"],
//    "skip":0,"everyNth":3,"limit":0}
//
//   FakePlatformServer server(store);
//   server.Start("127.0.0.1", 0);
//   auto platform = HttpPlatform::Create(server.Url(), {});

#pragma once

#include <memory>
#include <string>
#include <thread>

#include "testing/fakes/in_memory_platform.h"

namespace httplib {
class Server;
}

namespace wagtailbend::testing_fakes {

/// Parses the JSON body of POST /v1/faults; absent fields keep their default.
Result<Faults>
ParseFaults(const std::string& aJson);

/// Not thread-safe. The store must outlive the server.
class FakePlatformServer
{
public:
  explicit FakePlatformServer(InMemoryPlatform& aStore);
  ~FakePlatformServer();
  FakePlatformServer(const FakePlatformServer&) = delete;
  FakePlatformServer& operator=(const FakePlatformServer&) = delete;

  /// Binds and serves from a thread of its own. Port 0 selects a free port.
  /// Returns false if the address cannot be bound.
  bool Start(const std::string& aHost, int aPort);
  /// Stops serving and joins the thread. May be called twice.
  void Stop();

  int Port() const { return m_port; }
  std::string Url() const;

private:
  void AddTableRoutes();
  void AddObjectRoutes();

  InMemoryPlatform& m_store;
  std::unique_ptr<httplib::Server> m_server;
  std::thread m_thread;
  std::string m_host;
  int m_port = 0;
};

} // namespace wagtailbend::testing_fakes
