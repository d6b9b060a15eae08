// HTTP client of the platform's table service and object store.
//
//   auto platform = HttpPlatform::Create("http://10.0.0.4:8080", {});
//   Result<std::optional<Row>> head =
//     GetValue(platform)->ReadRow("config", "head");

#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "wagtailbend/base/time.h"
#include "wagtailbend/http1/blocking_client.h"
#include "wagtailbend/store/platform.h"

namespace wagtailbend::store {

struct HttpOptions
{
  Duration connectTimeout = std::chrono::milliseconds(500);
  /// A call fails if no byte is sent or received for this time, or if it takes
  /// more than twice as long in all.
  Duration readTimeout = std::chrono::seconds(2);

  bool operator==(const HttpOptions&) const = default;
};

/// Thread-safe. Each call opens its own connection: an idle connection would
/// occupy a server thread, and a request that fails on a stale connection has
/// an unknown outcome, whereas after a failed connect it was certainly not
/// applied.
class HttpPlatform : public Platform
{
public:
  /// Returns kInvalidRequest if aUrl does not have the form "http://HOST:PORT".
  static Result<std::unique_ptr<Platform>> Create(const std::string& aUrl,
                                                  const HttpOptions& aOptions);

  TransactResult Transact(const TransactRequest& aRequest) override;
  Result<std::optional<Row>> ReadRow(const std::string& aTable,
                                     const std::string& aKey) override;
  Result<std::vector<Row>> ListRows(const std::string& aTable,
                                    const std::string& aPrefix) override;
  PutResult PutObject(const std::string& aKey,
                      const std::string& aBytes) override;
  Result<std::optional<std::string>> GetObject(
    const std::string& aKey) override;

private:
  HttpPlatform(http1::ServerName aServer, const HttpOptions& aOptions);
  http1::ClientResult Get(std::string aTarget);
  http1::ClientResult Send(std::string aMethod,
                           std::string aTarget,
                           std::string aBody,
                           std::string_view aContentType);

  http1::BlockingClient m_client;
  const Duration m_timeout;
};

} // namespace wagtailbend::store
