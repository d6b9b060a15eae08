#include "wagtailbend/store/http_platform.h"

#include <regex>

#include <fmt/format.h>
#include <httplib.h>

#include "wagtailbend/http1/message.h"
#include "wagtailbend/store/codec.h"

namespace wagtailbend::store {
namespace {

using Headers = httplib::Headers;
using http1::PercentEncode;

std::unique_ptr<httplib::Client>
MakeClient(const std::string& aUrl, const HttpOptions& aOptions)
{
  auto client = std::make_unique<httplib::Client>(aUrl);
  client->set_connection_timeout(aOptions.connectTimeout);
  client->set_read_timeout(aOptions.readTimeout);
  client->set_write_timeout(aOptions.readTimeout);
  client->set_tcp_nodelay(true);
  // The callers percent-encode paths.
  client->set_url_encode(false);
  return client;
}

// Returns true if no byte of the request can have reached the platform.
bool
FailedBeforeSending(httplib::Error aError)
{
  return aError == httplib::Error::Connection ||
         aError == httplib::Error::ConnectionTimeout;
}

std::string
DescribeFailure(const httplib::Result& aResult)
{
  if (!aResult) {
    return fmt::format("platform: {}", httplib::to_string(aResult.error()));
  }
  return fmt::format("platform: HTTP status {}: {}",
                     aResult->status,
                     aResult->body.substr(0, 200));
}

// Classifies a write without a success response. It counts as refused only if
// the platform certainly did not apply it.
std::variant<Refused, Unknown>
ClassifyFailedWrite(const httplib::Result& aResult)
{
  if (!aResult) {
    if (FailedBeforeSending(aResult.error())) {
      return Refused{ { ErrorKind::kPlatformUnavailable,
                        DescribeFailure(aResult) } };
    }
    return Unknown{ DescribeFailure(aResult) };
  }
  const int status = aResult->status;
  if (status == 429 || (status == 503 && StatesNotApplied(aResult->body))) {
    return Refused{ { ErrorKind::kPlatformUnavailable,
                      DescribeFailure(aResult) } };
  }
  if (status >= 400 && status < 500 && status != 408) {
    return Refused{ { ErrorKind::kInvalidRequest, DescribeFailure(aResult) } };
  }
  return Unknown{ DescribeFailure(aResult) };
}

Error
MakeReadError(const httplib::Result& aResult)
{
  const bool rejected = aResult && aResult->status >= 400 &&
                        aResult->status < 500 && aResult->status != 408 &&
                        aResult->status != 429;
  return { rejected ? ErrorKind::kInvalidRequest
                    : ErrorKind::kPlatformUnavailable,
           DescribeFailure(aResult) };
}

// A malformed body in a response with a success status is an error of the
// platform, not of the request.
Error
MakeMalformedResponseError(const Error& aError)
{
  return { ErrorKind::kPlatformUnavailable,
           "platform: malformed response: " + aError.detail };
}

Refused
RefuseInvalidRequest(std::string aReason)
{
  return Refused{ { ErrorKind::kInvalidRequest, std::move(aReason) } };
}

template<typename To, typename From>
To
ConvertVariant(const From& aFrom)
{
  return std::visit([](const auto& aValue) -> To { return aValue; }, aFrom);
}

} // namespace

HttpPlatform::HttpPlatform(std::string aUrl, const HttpOptions& aOptions)
  : m_url(std::move(aUrl))
  , m_options(aOptions)
{
}

Result<std::unique_ptr<Platform>>
HttpPlatform::Create(const std::string& aUrl, const HttpOptions& aOptions)
{
  static const std::regex kUrl("http://[^/:]+:[0-9]{1,5}/?");
  if (!std::regex_match(aUrl, kUrl)) {
    return Error{ ErrorKind::kInvalidRequest,
                  fmt::format("platform URL \"{}\": must be http://HOST:PORT",
                              aUrl) };
  }
  std::string url = aUrl;
  if (url.back() == '/') {
    url.pop_back();
  }
  return std::unique_ptr<Platform>(new HttpPlatform(std::move(url), aOptions));
}

TransactResult
HttpPlatform::Transact(const TransactRequest& aRequest)
{
  if (std::string reason = CheckRequest(aRequest); !reason.empty()) {
    return RefuseInvalidRequest(std::move(reason));
  }
  const auto result = MakeClient(m_url, m_options)
                        ->Post("/v1/table/transact",
                               EncodeTransact(aRequest),
                               "application/json");
  if (result && result->status == 200) {
    auto committed = DecodeCommitted(result->body);
    if (const Error* error = GetError(committed)) {
      return Unknown{ MakeMalformedResponseError(*error).detail };
    }
    return TakeValue(std::move(committed));
  }
  if (result && result->status == 409) {
    auto conflict = DecodeConflict(result->body);
    if (const Error* error = GetError(conflict)) {
      return Unknown{ MakeMalformedResponseError(*error).detail };
    }
    return TakeValue(std::move(conflict));
  }
  return ConvertVariant<TransactResult>(ClassifyFailedWrite(result));
}

Result<std::optional<Row>>
HttpPlatform::ReadRow(const std::string& aTable, const std::string& aKey)
{
  if (std::string reason = CheckNames(aTable, aKey); !reason.empty()) {
    return RefuseInvalidRequest(std::move(reason)).error;
  }
  const auto result =
    MakeClient(m_url, m_options)
      ->Get(fmt::format(
        "/v1/table/{}/{}", PercentEncode(aTable), PercentEncode(aKey)));
  if (result && result->status == 404) {
    return std::optional<Row>();
  }
  if (!result || result->status != 200) {
    return MakeReadError(result);
  }
  auto row = DecodeRow(result->body);
  if (const Error* error = GetError(row)) {
    return MakeMalformedResponseError(*error);
  }
  return std::optional<Row>(TakeValue(std::move(row)));
}

Result<std::vector<Row>>
HttpPlatform::ListRows(const std::string& aTable, const std::string& aPrefix)
{
  if (std::string reason = CheckNames(aTable, "k" + aPrefix); !reason.empty()) {
    return RefuseInvalidRequest(std::move(reason)).error;
  }
  const auto result = MakeClient(m_url, m_options)
                        ->Get(fmt::format("/v1/table/{}?prefix={}",
                                          PercentEncode(aTable),
                                          PercentEncode(aPrefix)));
  if (!result || result->status != 200) {
    return MakeReadError(result);
  }
  auto rows = DecodeRows(result->body);
  if (const Error* error = GetError(rows)) {
    return MakeMalformedResponseError(*error);
  }
  return rows;
}

PutResult
HttpPlatform::PutObject(const std::string& aKey, const std::string& aBytes)
{
  if (std::string reason = CheckNames("objects", aKey); !reason.empty()) {
    return RefuseInvalidRequest(std::move(reason));
  }
  const auto result = MakeClient(m_url, m_options)
                        ->Put("/v1/objects/" + PercentEncode(aKey),
                              aBytes,
                              "application/octet-stream");
  if (result && result->status >= 200 && result->status < 300) {
    return Done{};
  }
  return ConvertVariant<PutResult>(ClassifyFailedWrite(result));
}

Result<std::optional<std::string>>
HttpPlatform::GetObject(const std::string& aKey)
{
  if (std::string reason = CheckNames("objects", aKey); !reason.empty()) {
    return RefuseInvalidRequest(std::move(reason)).error;
  }
  auto result =
    MakeClient(m_url, m_options)->Get("/v1/objects/" + PercentEncode(aKey));
  if (result && result->status == 404) {
    return std::optional<std::string>();
  }
  if (!result || result->status != 200) {
    return MakeReadError(result);
  }
  return std::optional<std::string>(std::move(result->body));
}

} // namespace wagtailbend::store
