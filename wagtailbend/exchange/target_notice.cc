#include "wagtailbend/exchange/target_notice.h"

#include <charconv>
#include <cmath>

namespace wagtailbend::exchange {

targets::TargetNotice
ReadTargetNotice(const http1::Headers& aHeaders,
                 const http1::ProtocolNames& aNames)
{
  targets::TargetNotice notice;
  if (const std::string* text =
        http1::FindHeader(aHeaders, aNames.requestRateLimit)) {
    double limit = 0;
    const char* end = text->data() + text->size();
    const auto [stop, error] = std::from_chars(text->data(), end, limit);
    if (error == std::errc{} && stop == end && std::isfinite(limit) &&
        limit >= 0) {
      notice.requestsPerSecond = limit;
    } else {
      notice.isLimitUnreadable = true;
    }
  }
  const std::string* leaving =
    http1::FindHeader(aHeaders, aNames.targetLeaving);
  notice.leaving = leaving != nullptr && *leaving == "1";
  return notice;
}

} // namespace wagtailbend::exchange
