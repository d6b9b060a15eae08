#include "wagtailbend/http1/response_syntax.h"

namespace wagtailbend::http1 {
namespace {

// RFC 9110, section 15.
constexpr int kMinStatusCode = 100;
constexpr int kMaxStatusCode = 599;

constexpr std::string_view kLineEnd = "\r\n";

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

} // namespace wagtailbend::http1
