#include "wagtailbend/membership/rendezvous.h"

#include <algorithm>
#include <functional>
#include <utility>

#include <xxhash.h>

namespace wagtailbend::membership {

uint64_t
Hash64(std::string_view aBytes, uint64_t aSeed)
{
  return XXH64(aBytes.data(), aBytes.size(), aSeed);
}

std::vector<size_t>
SelectByRendezvous(std::string_view aKey,
                   std::span<const std::string> aMembers,
                   size_t aCount)
{
  const uint64_t seed = Hash64(aKey);
  std::vector<std::pair<uint64_t, size_t>> weights;
  weights.reserve(aMembers.size());
  for (size_t i = 0; i < aMembers.size(); ++i) {
    weights.emplace_back(Hash64(aMembers[i], seed), i);
  }
  const size_t count = std::min(aCount, weights.size());
  std::partial_sort(weights.begin(),
                    weights.begin() + static_cast<ptrdiff_t>(count),
                    weights.end(),
                    std::greater<>());
  std::vector<size_t> selected;
  selected.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    selected.push_back(weights[i].second);
  }
  return selected;
}

} // namespace wagtailbend::membership
