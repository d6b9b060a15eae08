#include "wagtailbend/orders/ticket.h"

#include <charconv>

#include <fmt/format.h>

namespace wagtailbend::orders {

std::optional<Ticket>
Ticket::Parse(std::string_view aText)
{
  const size_t indexAt = aText.rfind('/');
  if (indexAt == std::string_view::npos || indexAt == 0) {
    return std::nullopt;
  }
  const size_t blockAt = aText.rfind('/', indexAt - 1);
  if (blockAt == std::string_view::npos) {
    return std::nullopt;
  }
  auto home = DaemonId::Parse(aText.substr(0, blockAt));
  const auto block = ParseHex(aText.substr(blockAt + 1, indexAt - blockAt - 1));
  const std::string_view digits = aText.substr(indexAt + 1);
  uint32_t index = 0;
  const char* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, index);
  if (!home || !block || parsed.ec != std::errc() || parsed.ptr != end ||
      index >= kTicketsPerBlock || (digits.size() > 1 && digits[0] == '0')) {
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
