#include "wagtailbend/store/http_platform.h"

#include <utility>

#include <fmt/format.h>

#include "wagtailbend/http1/message.h"
#include "wagtailbend/store/codec.h"

namespace wagtailbend::store {
namespace {

using http1::ClientResult;
using http1::NoResponse;
using http1::PercentEncode;
using http1::ResponseMessage;

constexpr const char* kJson = "application/json";
// Objects are schemas and configurations.
constexpr http1::ParseLimits kResponseLimits = { 64UL * 1024,
                                                 64UL * 1024 * 1024 };
// The kernel ends a connection whose peer is silent for so long.
constexpr Duration kSilenceTimeout = std::chrono::seconds(3);

const ResponseMessage*
GetResponse(const ClientResult& aResult)
{
  const auto* complete = std::get_if<http1::CompleteResponse>(&aResult);
  return complete == nullptr ? nullptr : &complete->response;
}

bool
HasStatus(const ClientResult& aResult, int aStatus)
{
  const ResponseMessage* response = GetResponse(aResult);
  return response != nullptr && response->status == aStatus;
}

/// Precondition: aResult is a response.
const std::string&
BodyOf(const ClientResult& aResult)
{
  return GetResponse(aResult)->body;
}

std::string
DescribeFailure(const ClientResult& aResult)
{
  if (const auto* failure = std::get_if<NoResponse>(&aResult)) {
    return fmt::format("platform: {}", http1::ToString(failure->reason));
  }
  return fmt::format("platform: HTTP status {}: {}",
                     GetResponse(aResult)->status,
                     BodyOf(aResult).substr(0, 200));
}

// Classifies a write without a success response. It counts as refused only if
// the platform certainly did not apply it.
std::variant<Refused, Unknown>
ClassifyFailedWrite(const ClientResult& aResult)
{
  if (const auto* failure = std::get_if<NoResponse>(&aResult)) {
    if (!failure->requestSent) {
      return Refused{ { ErrorKind::kPlatformUnavailable,
                        DescribeFailure(aResult) } };
    }
    return Unknown{ DescribeFailure(aResult) };
  }
  const int status = GetResponse(aResult)->status;
  if (status == 429 || (status == 503 && StatesNotApplied(BodyOf(aResult)))) {
    return Refused{ { ErrorKind::kPlatformUnavailable,
                      DescribeFailure(aResult) } };
  }
  if (status >= 400 && status < 500 && status != 408) {
    return Refused{ { ErrorKind::kInvalidRequest, DescribeFailure(aResult) } };
  }
  return Unknown{ DescribeFailure(aResult) };
}

Error
MakeReadError(const ClientResult& aResult)
{
  const ResponseMessage* response = GetResponse(aResult);
  const bool rejected = response != nullptr && response->status >= 400 &&
                        response->status < 500 && response->status != 408 &&
                        response->status != 429;
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

HttpPlatform::HttpPlatform(http1::ServerName aServer,
                           const HttpOptions& aOptions)
  : m_client(std::move(aServer),
             { aOptions.connectTimeout,
               aOptions.readTimeout,
               kSilenceTimeout,
               kResponseLimits })
  , m_timeout(aOptions.readTimeout)
{
}

Result<std::unique_ptr<Platform>>
HttpPlatform::Create(const std::string& aUrl, const HttpOptions& aOptions)
{
  auto server = http1::ParseHttpUrl(aUrl);
  if (!server) {
    return Error{ ErrorKind::kInvalidRequest,
                  fmt::format("platform URL \"{}\": must be http://HOST:PORT",
                              aUrl) };
  }
  return std::unique_ptr<Platform>(
    new HttpPlatform(std::move(*server), aOptions));
}

ClientResult
HttpPlatform::Get(std::string aTarget)
{
  http1::RequestMessage request;
  request.method = "GET";
  request.target = std::move(aTarget);
  return m_client.Perform(std::move(request), m_timeout);
}

ClientResult
HttpPlatform::Send(std::string aMethod,
                   std::string aTarget,
                   std::string aBody,
                   std::string_view aContentType)
{
  http1::RequestMessage request;
  request.method = std::move(aMethod);
  request.target = std::move(aTarget);
  request.body = std::move(aBody);
  http1::SetHeader(request.headers, "Content-Type", aContentType);
  return m_client.Perform(std::move(request), m_timeout);
}

TransactResult
HttpPlatform::Transact(const TransactRequest& aRequest)
{
  if (std::string reason = CheckRequest(aRequest); !reason.empty()) {
    return RefuseInvalidRequest(std::move(reason));
  }
  const ClientResult result =
    Send("POST", "/v1/table/transact", EncodeTransact(aRequest), kJson);
  if (HasStatus(result, 200)) {
    auto committed = DecodeCommitted(BodyOf(result));
    if (const Error* error = GetError(committed)) {
      return Unknown{ MakeMalformedResponseError(*error).detail };
    }
    return TakeValue(std::move(committed));
  }
  if (HasStatus(result, 409)) {
    auto conflict = DecodeConflict(BodyOf(result));
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
  const ClientResult result = Get(
    fmt::format("/v1/table/{}/{}", PercentEncode(aTable), PercentEncode(aKey)));
  if (HasStatus(result, 404)) {
    return std::optional<Row>();
  }
  if (!HasStatus(result, 200)) {
    return MakeReadError(result);
  }
  auto row = DecodeRow(BodyOf(result));
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
  const ClientResult result = Get(fmt::format(
    "/v1/table/{}?prefix={}", PercentEncode(aTable), PercentEncode(aPrefix)));
  if (!HasStatus(result, 200)) {
    return MakeReadError(result);
  }
  auto rows = DecodeRows(BodyOf(result));
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
  const ClientResult result = Send("PUT",
                                   "/v1/objects/" + PercentEncode(aKey),
                                   aBytes,
                                   "application/octet-stream");
  const ResponseMessage* response = GetResponse(result);
  if (response != nullptr && response->status / 100 == 2) {
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
  const ClientResult result = Get("/v1/objects/" + PercentEncode(aKey));
  if (HasStatus(result, 404)) {
    return std::optional<std::string>();
  }
  if (!HasStatus(result, 200)) {
    return MakeReadError(result);
  }
  return std::optional<std::string>(BodyOf(result));
}

} // namespace wagtailbend::store
