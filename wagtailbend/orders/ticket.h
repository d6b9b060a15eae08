// Tickets for orders that run at most once, and the compact results of a
// block of tickets.
//
//   std::optional<Ticket> ticket = Ticket::Parse(metadataValue);
//   std::string header = Ticket{ home, 3, 17 }.ToString();

#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "wagtailbend/base/ids.h"

namespace wagtailbend::orders {

/// Number of tickets in a block.
inline constexpr uint32_t kTicketsPerBlock = 64;

/// The right to run one order at most once. Only the daemon incarnation that
/// issued it, or the successor that took over its table, may dispatch it.
struct Ticket
{
  DaemonId home;
  uint64_t block = 0;
  /// Below kTicketsPerBlock.
  uint32_t index = 0;

  /// Parses the `wb-ticket` form "name/incarnation/block/index", where
  /// incarnation and block have 16 hexadecimal digits and index is decimal
  /// without leading zeros. Thread-safe.
  static std::optional<Ticket> Parse(std::string_view aText);
  /// Returns the form that Parse accepts. Thread-safe.
  std::string ToString() const;

  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Ticket&) const = default;
};

/// One state of two bits for each ticket of a block. T is an enum with four
/// values whose value 0 is the initial state. Not thread-safe.
template<typename T>
class PackedStates
{
public:
  /// Precondition: aIndex < kTicketsPerBlock.
  T Get(uint32_t aIndex) const
  {
    return static_cast<T>((m_words[aIndex / kPerWord] >> Shift(aIndex)) &
                          kMask);
  }
  /// Precondition: aIndex < kTicketsPerBlock.
  void Set(uint32_t aIndex, T aState)
  {
    uint64_t& word = m_words[aIndex / kPerWord];
    word &= ~(kMask << Shift(aIndex));
    word |= static_cast<uint64_t>(aState) << Shift(aIndex);
  }

  bool operator==(const PackedStates&) const = default;

private:
  static constexpr uint32_t kBits = 2;
  static constexpr uint64_t kMask = 3;
  static constexpr uint32_t kPerWord = 64 / kBits;

  static constexpr uint32_t Shift(uint32_t aIndex)
  {
    return (aIndex % kPerWord) * kBits;
  }

  std::array<uint64_t, kTicketsPerBlock / kPerWord> m_words{};
};

} // namespace wagtailbend::orders
