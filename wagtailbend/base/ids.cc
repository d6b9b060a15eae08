#include "wagtailbend/base/ids.h"

#include <charconv>

#include <fmt/format.h>

namespace wagtailbend {
namespace {

constexpr size_t kHexDigitsPerWord = 16;

} // namespace

std::string
ToHex(uint64_t aValue)
{
  return fmt::format("{:016x}", aValue);
}

std::optional<uint64_t>
ParseHex(std::string_view aText)
{
  if (aText.size() != kHexDigitsPerWord) {
    return std::nullopt;
  }
  uint64_t value = 0;
  const char* end = aText.data() + aText.size();
  const auto result = std::from_chars(aText.data(), end, value, 16);
  if (result.ec != std::errc() || result.ptr != end) {
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
  if (aText.size() != 2 * kHexDigitsPerWord) {
    return std::nullopt;
  }
  const auto high = ParseHex(aText.substr(0, kHexDigitsPerWord));
  const auto low = ParseHex(aText.substr(kHexDigitsPerWord));
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
  const size_t separator = aText.rfind('/');
  if (separator == std::string_view::npos || separator == 0) {
    return std::nullopt;
  }
  const auto incarnation = ParseHex(aText.substr(separator + 1));
  if (!incarnation) {
    return std::nullopt;
  }
  return DaemonId{ std::string(aText.substr(0, separator)), *incarnation };
}

std::string
DaemonId::ToString() const
{
  return fmt::format("{}/{}", name, ToHex(incarnation));
}

} // namespace wagtailbend
