#include "wagtailbend/orders/ticket.h"

#include <charconv>

#include <fmt/format.h>

namespace wagtailbend::orders {

std::optional<Ticket>
Ticket::Parse(std::string_view aText)
{
  const size_t indexSeparator = aText.rfind('/');
  if (indexSeparator == std::string_view::npos || indexSeparator == 0) {
    return std::nullopt;
  }
  const size_t blockSeparator = aText.rfind('/', indexSeparator - 1);
  if (blockSeparator == std::string_view::npos) {
    return std::nullopt;
  }
  auto home = DaemonId::Parse(aText.substr(0, blockSeparator));
  const auto block = ParseHex(
    aText.substr(blockSeparator + 1, indexSeparator - blockSeparator - 1));
  const std::string_view indexText = aText.substr(indexSeparator + 1);
  uint32_t index = 0;
  const char* end = indexText.data() + indexText.size();
  const auto parseResult = std::from_chars(indexText.data(), end, index);
  if (!home || !block || parseResult.ec != std::errc() ||
      parseResult.ptr != end || index >= kTicketsPerBlock ||
      (indexText.size() > 1 && indexText[0] == '0')) {
    return std::nullopt;
  }
  return Ticket{ *std::move(home), *block, index };
}

std::string
Ticket::ToString() const
{
  return fmt::format("{}/{}/{}", home.ToString(), ToHex(block), index);
}

} // namespace wagtailbend::orders
