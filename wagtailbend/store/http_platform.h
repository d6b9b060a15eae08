// HTTP client of the platform's table service and object store.
//
//   auto platform = HttpPlatform::Create("http://10.0.0.4:8080", {});
//   Result<std::optional<Row>> head =
//     GetValue(platform)->ReadRow("config", "head");

#pragma once

#include <memory>

#include "wagtailbend/base/time.h"
#include "wagtailbend/store/platform.h"

namespace wagtailbend::store {

struct HttpOptions
{
  Duration connectTimeout = std::chrono::milliseconds(500);
  /// Limit for each read of a response and each write of a request.
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
  HttpPlatform(std::string aUrl, const HttpOptions& aOptions);

  std::string m_url;
  HttpOptions m_options;
};

} // namespace wagtailbend::store
