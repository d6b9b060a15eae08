#include "wagtailbend/base/ids.h"

#include <charconv>

#include <fmt/format.h>

namespace wagtailbend {
namespace {

constexpr size_t kHexDigits = 16;

} // namespace

std::string
ToHex(uint64_t aValue)
{
  return fmt::format("{:016x}", aValue);
}

std::optional<uint64_t>
ParseHex(std::string_view aText)
{
  if (aText.size() != kHexDigits) {
    return std::nullopt;
  }
  uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value, 16);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return value;
}

RequestId
RequestId::Random(Rng& aRng)
{
  return { aRng(), aRng() };
}

std::optional<RequestId>
RequestId::Parse(std::string_view aText)
{
  if (aText.size() != 2 * kHexDigits) {
    return std::nullopt;
  }
  const auto high = ParseHex(aText.substr(0, kHexDigits));
  const auto low = ParseHex(aText.substr(kHexDigits));
  if (!high || !low) {
    return std::nullopt;
  }
  return RequestId{ *high, *low };
}

std::string
RequestId::ToString() const
{
  return ToHex(high) + ToHex(low);
}

AttemptId
AttemptId::Random(Rng& aRng)
{
  return { aRng() };
}

std::optional<AttemptId>
AttemptId::Parse(std::string_view aText)
{
  const auto value = ParseHex(aText);
  if (!value) {
    return std::nullopt;
  }
  return AttemptId{ *value };
}

std::string
AttemptId::ToString() const
{
  return ToHex(value);
}

std::optional<DaemonId>
DaemonId::Parse(std::string_view aText)
{
  const size_t slash = aText.rfind('/');
  if (slash == std::string_view::npos || slash == 0) {
    return std::nullopt;
  }
  const auto incarnation = ParseHex(aText.substr(slash + 1));
  if (!incarnation) {
    return std::nullopt;
  }
  return DaemonId{ std::string(aText.substr(0, slash)), *incarnation };
}

std::string
DaemonId::ToString() const
{
  return fmt::format("{}/{}", name, ToHex(incarnation));
}

} // namespace wagtailbend
