// The daemon's HTTP server: announcements of the target, metrics and status.
//
//   HttpPages pages(handlers);
//   if (auto error = pages.Start("127.0.0.1:9000")) { ... }

#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "wagtailbend/base/error.h"
#include "wagtailbend/daemon/target_registry.h"

namespace wagtailbend::daemon {

/// Called on the HTTP server's threads; each may block for a moment.
struct HttpHandlers
{
  std::function<std::optional<Error>(Announcement)> announce;
  /// Returns an error if the target has to announce itself again.
  std::function<std::optional<Error>(double)> heartbeat;
  std::function<void()> drain;
  std::function<std::string()> metrics;
  std::function<std::string()> status;
};

class HttpPages
{
public:
  explicit HttpPages(HttpHandlers aHandlers);
  /// Stops the server.
  ~HttpPages();

  HttpPages(const HttpPages&) = delete;
  HttpPages& operator=(const HttpPages&) = delete;

  /// Listens on aAddress ("IP:port") with threads of its own.
  std::optional<Error> Start(const std::string& aAddress);
  void Stop();

private:
  struct Running;

  void AddTargetPages();
  void AddReadPages();

  HttpHandlers m_handlers;
  std::unique_ptr<Running> m_running;
};

} // namespace wagtailbend::daemon
