#include "wagtailbend/admission/internal/pressure.h"

#include <algorithm>

#include "wagtailbend/schema/schema.h"

namespace wagtailbend::admission::internal {
namespace {

constexpr Duration kWindow = std::chrono::milliseconds(50);
constexpr double kRise = 0.5;
// Slower than the rise, so that the threshold does not swing by a whole
// priority between two windows.
constexpr double kFall = 0.25;

} // namespace

void
Pressure::Roll(bool aQueueShort, TimePoint aNow)
{
  m_wasShort = m_wasShort || aQueueShort;
  if (aNow - m_windowStart < kWindow) {
    return;
  }
  if (m_overloaded || !m_wasShort) {
    m_threshold = std::min<double>(schema::kMaxPriority, m_threshold + kRise);
  } else {
    // Windows without any event count as well.
    const auto windows = static_cast<double>((aNow - m_windowStart) / kWindow);
    m_threshold = std::max(0.0, m_threshold - kFall * windows);
  }
  m_windowStart = aNow;
  m_overloaded = false;
  m_wasShort = aQueueShort;
}

} // namespace wagtailbend::admission::internal
