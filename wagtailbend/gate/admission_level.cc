#include "wagtailbend/gate/admission_level.h"

#include <algorithm>

namespace wagtailbend::gate {
namespace {

// Share of rejected requests up to which rejections count as random variation
// and do not lower the level.
constexpr double kToleratedRejectionShare = 0.02;
// Steps per period: a level recovers fully within about 4 s and halves within
// 0.3 s.
constexpr double kAdditiveIncrease = 0.015;
constexpr double kIncreaseFactor = 1.04;
constexpr double kMaxDecreaseShare = 0.25;

} // namespace

void
AdmissionLevels::RecordArrival(size_t aClass, bool aRejected)
{
  ++m_counts[aClass].arrived;
  m_counts[aClass].rejected += aRejected ? 1 : 0;
}

void
AdmissionLevels::RecordDropped(size_t aClass)
{
  ++m_counts[aClass].rejected;
}

void
AdmissionLevels::Update(TimePoint aNow)
{
  if (aNow - m_updatedAt < kLevelUpdatePeriod) {
    return;
  }
  m_updatedAt = aNow;
  for (size_t i = 0; i < kPriorityClasses; ++i) {
    RequestCounts& counts = m_counts[i];
    double& level = m_levels[i];
    const double rejectionShare = static_cast<double>(counts.rejected) /
                                  std::max<uint32_t>(counts.arrived, 1);
    if (counts.rejected > 0 && rejectionShare > kToleratedRejectionShare) {
      level *= 1.0 - std::min(kMaxDecreaseShare, 0.5 * rejectionShare);
    } else {
      level = level * kIncreaseFactor + kAdditiveIncrease;
    }
    level = std::clamp(level, kMinAdmissionLevel, 1.0);
    counts = {};
  }
  // The level of a class never exceeds that of a more important class.
  for (size_t i = 1; i < kPriorityClasses; ++i) {
    m_levels[i] = std::min(m_levels[i], m_levels[i - 1]);
  }
}

} // namespace wagtailbend::gate
