#include "wagtailbend/http1/message.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace wagtailbend::http1 {
namespace {

constexpr std::array<std::string_view, 8> kConnectionHeaders = {
  "Connection", "Keep-Alive", "Proxy-Connection",  "TE",
  "Trailer",    "Upgrade",    "Transfer-Encoding", "Content-Length",
};

struct StatusReason
{
  int status;
  std::string_view reason;
};

constexpr std::array<StatusReason, 19> kReasonPhrases = { {
  { 100, "Continue" },
  { 200, "OK" },
  { 201, "Created" },
  { 202, "Accepted" },
  { 204, "No Content" },
  { 304, "Not Modified" },
  { 400, "Bad Request" },
  { 404, "Not Found" },
  { 405, "Method Not Allowed" },
  { 408, "Request Timeout" },
  { 413, "Content Too Large" },
  { 421, "Misdirected Request" },
  { 429, "Too Many Requests" },
  { 431, "Request Header Fields Too Large" },
  { 500, "Internal Server Error" },
  { 501, "Not Implemented" },
  { 502, "Bad Gateway" },
  { 503, "Service Unavailable" },
  { 504, "Gateway Timeout" },
} };

char
ToLower(char aByte)
{
  return aByte >= 'A' && aByte <= 'Z' ? static_cast<char>(aByte - 'A' + 'a')
                                      : aByte;
}

std::string_view
Trim(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\t')) {
    aText.remove_suffix(1);
  }
  return aText;
}

void
AppendHeader(std::string& aBytes,
             std::string_view aName,
             std::string_view aValue)
{
  aBytes.append(aName).append(": ").append(aValue).append("\r\n");
}

void
AppendHeaders(std::string& aBytes, const Headers& aHeaders)
{
  for (const Header& header : aHeaders) {
    AppendHeader(aBytes, header.name, header.value);
  }
}

size_t
SerializedSize(const Headers& aHeaders)
{
  size_t size = 0;
  for (const Header& header : aHeaders) {
    size += header.name.size() + header.value.size() + 4;
  }
  return size;
}

bool
MethodExpectsBody(std::string_view aMethod)
{
  return aMethod == "POST" || aMethod == "PUT" || aMethod == "PATCH";
}

bool
StatusForbidsBody(int aStatus)
{
  return aStatus / 100 == 1 || aStatus == 204 || aStatus == 304;
}

} // namespace

bool
IsAsciiAlphanumeric(char aByte)
{
  return (aByte >= '0' && aByte <= '9') || (aByte >= 'A' && aByte <= 'Z') ||
         (aByte >= 'a' && aByte <= 'z');
}

bool
EqualsIgnoreCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(aLeft.begin(),
                    aLeft.end(),
                    aRight.begin(),
                    aRight.end(),
                    [](char aFirst, char aSecond) {
                      return ToLower(aFirst) == ToLower(aSecond);
                    });
}

const std::string*
FindHeader(const Headers& aHeaders, std::string_view aName)
{
  for (const Header& header : aHeaders) {
    if (EqualsIgnoreCase(header.name, aName)) {
      return &header.value;
    }
  }
  return nullptr;
}

void
SetHeader(Headers& aHeaders, std::string_view aName, std::string_view aValue)
{
  RemoveHeader(aHeaders, aName);
  aHeaders.push_back({ std::string(aName), std::string(aValue) });
}

void
RemoveHeader(Headers& aHeaders, std::string_view aName)
{
  std::erase_if(aHeaders, [aName](const Header& aHeader) {
    return EqualsIgnoreCase(aHeader.name, aName);
  });
}

void
RemoveConnectionHeaders(Headers& aHeaders)
{
  std::vector<std::string> connectionOptions;
  for (const Header& header : aHeaders) {
    if (!EqualsIgnoreCase(header.name, "Connection")) {
      continue;
    }
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const size_t comma = rest.find(',');
      connectionOptions.emplace_back(Trim(rest.substr(0, comma)));
      rest = comma == std::string_view::npos ? std::string_view{}
                                             : rest.substr(comma + 1);
    }
  }
  std::erase_if(aHeaders, [&connectionOptions](const Header& aHeader) {
    const auto matches = [&aHeader](std::string_view aName) {
      return EqualsIgnoreCase(aHeader.name, aName);
    };
    return std::any_of(
             kConnectionHeaders.begin(), kConnectionHeaders.end(), matches) ||
           std::any_of(
             connectionOptions.begin(), connectionOptions.end(), matches);
  });
}

std::string_view
ReasonPhrase(int aStatus)
{
  for (const StatusReason& entry : kReasonPhrases) {
    if (entry.status == aStatus) {
      return entry.reason;
    }
  }
  return "Status";
}

std::string
PercentEncode(std::string_view aText)
{
  constexpr std::string_view kHexDigits = "0123456789ABCDEF";
  std::string text;
  for (const char c : aText) {
    if (IsAsciiAlphanumeric(c) || c == '-' || c == '_' || c == '.' ||
        c == '~') {
      text += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    text += { '%', kHexDigits[byte / 16], kHexDigits[byte % 16] };
  }
  return text;
}

std::string
SerializeRequest(const RequestMessage& aRequest)
{
  std::string bytes;
  bytes.reserve(aRequest.method.size() + aRequest.target.size() + 64 +
                SerializedSize(aRequest.headers) + aRequest.body.size());
  bytes.append(aRequest.method).append(" ").append(aRequest.target);
  bytes.append(" HTTP/1.1\r\n");
  AppendHeaders(bytes, aRequest.headers);
  if (!aRequest.body.empty() || MethodExpectsBody(aRequest.method)) {
    AppendHeader(bytes, "Content-Length", std::to_string(aRequest.body.size()));
  }
  bytes.append("\r\n").append(aRequest.body);
  return bytes;
}

std::string
SerializeResponse(const ResponseMessage& aResponse, bool aClose)
{
  std::string bytes;
  bytes.reserve(128 + SerializedSize(aResponse.headers) +
                aResponse.body.size());
  bytes.append("HTTP/1.1 ").append(std::to_string(aResponse.status));
  bytes.append(" ")
    .append(aResponse.reason.empty() ? ReasonPhrase(aResponse.status)
                                     : std::string_view(aResponse.reason))
    .append("\r\n");
  AppendHeaders(bytes, aResponse.headers);
  const bool hasBody =
    !aResponse.bodiless && !StatusForbidsBody(aResponse.status);
  if (hasBody) {
    AppendHeader(
      bytes, "Content-Length", std::to_string(aResponse.body.size()));
  }
  if (aClose) {
    AppendHeader(bytes, "Connection", "close");
  }
  bytes.append("\r\n");
  if (hasBody) {
    bytes.append(aResponse.body);
  }
  return bytes;
}

} // namespace wagtailbend::http1
