#include "wagtailbend/exchange/service_levels.h"

#include <algorithm>

namespace wagtailbend::exchange {
namespace {

// Weight of one report in the moving average.
constexpr double kSampleWeight = 0.2;
// Increase of a level per second without reports.
constexpr double kRecoveryPerSecond = 0.2;

} // namespace

void
ServiceLevels::Record(const Levels& aReported, TimePoint aNow)
{
  m_levels = At(aNow);
  for (size_t i = 0; i < gate::kPriorityClasses; ++i) {
    m_levels[i] += kSampleWeight * (aReported[i] - m_levels[i]);
  }
  m_updatedAt = aNow;
}

Levels
ServiceLevels::At(TimePoint aNow) const
{
  const double seconds =
    std::chrono::duration<double>(aNow - m_updatedAt).count();
  Levels levels = m_levels;
  for (double& level : levels) {
    level = std::min(1.0, level + kRecoveryPerSecond * seconds);
  }
  return levels;
}

} // namespace wagtailbend::exchange
