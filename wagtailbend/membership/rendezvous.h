// Rendezvous hashing with xxHash64. Daemons that see the same members select
// the same ones for a key, and the removal of a member reassigns only its own
// keys.
//
//   for (size_t index : SelectByRendezvous("exchange/ranong", names, 2))
//     Contact(names[index]);

#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace wagtailbend::membership {

/// Returns the xxHash64 of aBytes. Thread-safe.
uint64_t
Hash64(std::string_view aBytes, uint64_t aSeed = 0);

/// Returns the indexes of the aCount members (or all, if there are fewer) with
/// the highest weights for aKey, highest first. Members must be distinct.
/// Thread-safe.
std::vector<size_t>
SelectByRendezvous(std::string_view aKey,
                   std::span<const std::string> aMembers,
                   size_t aCount);

} // namespace wagtailbend::membership
