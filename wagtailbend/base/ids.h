// Identifiers that are exchanged between processes, and their text form.
//
//   RequestId id = RequestId::Random(rng);
//   std::string header = id.ToString();

#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wagtailbend/base/rng.h"

namespace wagtailbend {

/// Identifies one customer request or one nested call. 128 random bits.
struct RequestId
{
  uint64_t high = 0;
  uint64_t low = 0;

  /// Not thread-safe: the caller owns aRng.
  static RequestId Random(Rng& aRng);
  /// Parses 32 hexadecimal digits. Thread-safe.
  static std::optional<RequestId> Parse(std::string_view aText);
  /// Returns 32 hexadecimal digits. Thread-safe.
  std::string ToString() const;

  auto operator<=>(const RequestId&) const = default;
};

/// Identifies one attempt of a request. 64 random bits.
struct AttemptId
{
  uint64_t value = 0;

  /// Not thread-safe: the caller owns aRng.
  static AttemptId Random(Rng& aRng);
  /// Parses 16 hexadecimal digits. Thread-safe.
  static std::optional<AttemptId> Parse(std::string_view aText);
  /// Returns 16 hexadecimal digits. Thread-safe.
  std::string ToString() const;

  auto operator<=>(const AttemptId&) const = default;
};

/// Identifies one run of a daemon process.
struct DaemonId
{
  /// The name in the settings, unique within the deployment.
  std::string name;
  /// A random number drawn at each start of the process.
  uint64_t incarnation = 0;

  /// Parses "name/incarnation", where the incarnation has 16 hexadecimal digits
  /// and the name is not empty. Thread-safe.
  static std::optional<DaemonId> Parse(std::string_view aText);
  /// Returns "name/incarnation". Thread-safe.
  std::string ToString() const;

  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const DaemonId&) const = default;
};

/// Returns 16 hexadecimal digits. Thread-safe.
std::string
ToHex(uint64_t aValue);

/// Parses exactly 16 hexadecimal digits. Thread-safe.
std::optional<uint64_t>
ParseHex(std::string_view aText);

} // namespace wagtailbend

template<>
struct std::hash<wagtailbend::RequestId>
{
  size_t operator()(const wagtailbend::RequestId& aId) const noexcept
  {
    // The bits are random, so no further mixing is needed.
    return static_cast<size_t>(aId.low ^ aId.high);
  }
};
