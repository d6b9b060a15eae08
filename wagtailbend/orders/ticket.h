// Tickets for orders that run at most once, and a packed array of per-ticket
// states for a block of tickets.
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

/// Identifies one order and permits at most one run of it. Only the daemon
/// incarnation that issued the ticket, or the successor that imported its
/// table, may dispatch the order.
struct Ticket
{
  DaemonId home;
  uint64_t block = 0;
  /// Below kTicketsPerBlock.
  uint32_t index = 0;

  /// Parses the value of `wb-ticket`: "name/incarnation/block/index", where
  /// incarnation and block have 16 hexadecimal digits and index is decimal
  /// without leading zeros. Thread-safe.
  static std::optional<Ticket> Parse(std::string_view aText);
  /// Formats the ticket so that Parse accepts it. Thread-safe.
  std::string ToString() const;

  // clang-tidy 14 mistakes the 0 in a rewritten comparison for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Ticket&) const = default;
};

/// Stores a two-bit state for each ticket of a block. T has four values, of
/// which 0 is the initial state. Not thread-safe.
template<typename T>
class PackedStates
{
public:
  /// Precondition: aIndex < kTicketsPerBlock.
  T Get(uint32_t aIndex) const
  {
    return static_cast<T>(
      (m_words[aIndex / kStatesPerWord] >> ShiftOf(aIndex)) & kStateMask);
  }
  /// Precondition: aIndex < kTicketsPerBlock.
  void Set(uint32_t aIndex, T aState)
  {
    uint64_t& word = m_words[aIndex / kStatesPerWord];
    word &= ~(kStateMask << ShiftOf(aIndex));
    word |= static_cast<uint64_t>(aState) << ShiftOf(aIndex);
  }

  bool operator==(const PackedStates&) const = default;

private:
  static constexpr uint32_t kBitsPerState = 2;
  static constexpr uint64_t kStateMask = 3;
  static constexpr uint32_t kStatesPerWord = 64 / kBitsPerState;

  static constexpr uint32_t ShiftOf(uint32_t aIndex)
  {
    return (aIndex % kStatesPerWord) * kBitsPerState;
  }

  std::array<uint64_t, kTicketsPerBlock / kStatesPerWord> m_words{};
};

} // namespace wagtailbend::orders
