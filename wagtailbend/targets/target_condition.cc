#include "wagtailbend/targets/target_condition.h"

#include <utility>

namespace wagtailbend::targets {

bool
TargetCondition::OnResponse(const TargetNotice& aNotice,
                            TimePoint aSentAt,
                            TimePoint aNow)
{
  const TargetNotice before = m_state;
  const bool wasKnown = std::exchange(m_isKnown, true);
  m_state.leaving |= aNotice.leaving;
  m_state.isLimitUnreadable = aNotice.isLimitUnreadable;
  if (aNotice.requestsPerSecond) {
    m_state.requestsPerSecond = aNotice.requestsPerSecond;
    m_limitNamedAt = aNow;
  } else if (!aNotice.isLimitUnreadable && aSentAt > m_limitNamedAt) {
    m_state.requestsPerSecond.reset();
  }
  return !wasKnown || m_state != before;
}

} // namespace wagtailbend::targets
