#include "wagtailbend/http1/response_syntax.h"

#include <algorithm>

namespace wagtailbend::http1 {
namespace {

// RFC 9110, section 15.
constexpr int kMinStatusCode = 100;
constexpr int kMinFinalStatusCode = 200;
constexpr int kMaxStatusCode = 599;

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";
constexpr unsigned char kDelete = 0x7f;

/// `token` of RFC 9110, section 5.6.2.
bool
IsToken(std::string_view aText)
{
  return !aText.empty() &&
         std::all_of(aText.begin(), aText.end(), [](char aByte) {
           return IsAsciiAlphanumeric(aByte) ||
                  kTokenPunctuation.find(aByte) != std::string_view::npos;
         });
}

bool
HasNoControlBytes(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aByte) {
    const auto byte = static_cast<unsigned char>(aByte);
    return aByte == '\t' || (byte >= ' ' && byte != kDelete);
  });
}

} // namespace

bool
IsStatusCode(int aStatus)
{
  return aStatus >= kMinStatusCode && aStatus <= kMaxStatusCode;
}

bool
HasFoldedLine(std::string_view aLines)
{
  for (size_t end = aLines.find(kLineEnd); end != std::string_view::npos;
       end = aLines.find(kLineEnd, end)) {
    end += kLineEnd.size();
    if (end < aLines.size() && (aLines[end] == ' ' || aLines[end] == '\t')) {
      return true;
    }
  }
  return false;
}

bool
IsFinalResponse(const ResponseMessage& aResponse)
{
  return IsStatusCode(aResponse.status) &&
         aResponse.status >= kMinFinalStatusCode &&
         HasNoControlBytes(aResponse.reason) &&
         std::all_of(aResponse.headers.begin(),
                     aResponse.headers.end(),
                     [](const Header& aHeader) {
                       return IsToken(aHeader.name) &&
                              HasNoControlBytes(aHeader.value);
                     });
}

} // namespace wagtailbend::http1
