#include "wagtailbend/mesh/frame_traffic.h"

namespace wagtailbend::mesh {

std::string_view
FrameKindName(size_t aBodyCase)
{
  static constexpr std::array<std::string_view, std::tuple_size_v<FrameCounts>>
    kNames = { "none",     "hello",      "welcome",         "attempt",
               "result",   "cancel",     "reattach",        "ping",
               "pong",     "member",     "config_request",  "config",
               "suspects", "run_notice", "suspects_request" };
  return aBodyCase < kNames.size() ? kNames[aBodyCase] : kNames[0];
}

} // namespace wagtailbend::mesh
