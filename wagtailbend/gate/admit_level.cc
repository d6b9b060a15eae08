#include "wagtailbend/gate/admit_level.h"

#include <algorithm>

namespace wagtailbend::gate {
namespace {

// Rejected share of arrivals that is taken for chance.
constexpr double kToleratedShare = 0.02;
// Steps per period: full recovery takes about 4 s, a fall to a half 0.3 s.
constexpr double kIncrease = 0.015;
constexpr double kIncreaseFactor = 1.04;
constexpr double kMaxDecrease = 0.25;

} // namespace

void
AdmitLevels::Count(size_t aClass, bool aRejected)
{
  ++m_tallies[aClass].arrived;
  m_tallies[aClass].rejected += aRejected ? 1 : 0;
}

void
AdmitLevels::CountDropped(size_t aClass)
{
  ++m_tallies[aClass].rejected;
}

void
AdmitLevels::Roll(TimePoint aNow)
{
  if (aNow - m_rolledAt < kLevelPeriod) {
    return;
  }
  m_rolledAt = aNow;
  for (size_t i = 0; i < kClasses; ++i) {
    Tally& tally = m_tallies[i];
    double& level = m_levels[i];
    const double share = static_cast<double>(tally.rejected) /
                         std::max<uint32_t>(tally.arrived, 1);
    if (tally.rejected > 0 && share > kToleratedShare) {
      level *= 1.0 - std::min(kMaxDecrease, 0.5 * share);
    } else {
      level = level * kIncreaseFactor + kIncrease;
    }
    level = std::clamp(level, kMinLevel, 1.0);
    tally = {};
  }
  // A class never has more room than a more important one.
  for (size_t i = 1; i < kClasses; ++i) {
    m_levels[i] = std::min(m_levels[i], m_levels[i - 1]);
  }
}

} // namespace wagtailbend::gate
