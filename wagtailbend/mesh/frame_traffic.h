// Counts what a daemon sends to its peers, by kind of frame and by region.
//
//   FrameTraffic traffic;
//   stream->SetTraffic(&traffic.otherRegion);
//   traffic.otherRegion[static_cast<size_t>(wire::Frame::kConfig)].bytes;

#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "wagtailbend/mesh.pb.h"

namespace wagtailbend::mesh {

struct FrameCount
{
  uint64_t frames = 0;
  /// Includes the length prefixes.
  uint64_t bytes = 0;

  bool operator==(const FrameCount&) const = default;
};

/// Indexed by wire::Frame::BodyCase.
using FrameCounts =
  std::array<FrameCount,
             static_cast<size_t>(wire::Frame::kSuspectsRequest) + 1>;

/// Not thread-safe.
struct FrameTraffic
{
  FrameCounts sameRegion{};
  FrameCounts otherRegion{};

  bool operator==(const FrameTraffic&) const = default;
};

/// Returns the name of a kind of frame, such as "config". Thread-safe.
std::string_view
FrameKindName(size_t aBodyCase);

} // namespace wagtailbend::mesh
