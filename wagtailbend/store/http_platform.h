// HTTP client of the platform (design page, section 4.10).
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
  /// Longest wait for the next bytes of a response.
  Duration readTimeout = std::chrono::seconds(2);

  bool operator==(const HttpOptions&) const = default;
};

/// Thread-safe. Each call opens its own connection: an idle connection would
/// hold a server thread, and a request on a stale one has an unknown outcome
/// where a failed connect is known not to be applied.
class HttpPlatform : public Platform
{
public:
  /// Returns kInvalidRequest if aUrl is not "http://HOST:PORT".
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
