// What one daemon is told at its start.

#pragma once

#include <functional>

#include <string>
#include <vector>

#include "wagtailbend/base/result.h"
#include "wagtailbend/base/time.h"
#include "wagtailbend/settings/settings.h"

namespace wagtailbend::daemon {

struct DaemonOptions
{
  settings::Settings settings;
  /// Longest time a stream may go without a frame. Keep-alive pings find a
  /// silent connection within the same time.
  Duration progressBound = std::chrono::seconds(2);
  /// Time subtracted from the deadline at each hop for the way back.
  Duration returnTime = std::chrono::milliseconds(1);
  /// Reads the settings file again, for SIGHUP; may be empty.
  std::function<Result<settings::Settings>()> reload;
};

} // namespace wagtailbend::daemon
