#include "wagtailbend/daemon/target_registry.h"

#include <utility>

namespace wagtailbend::daemon {

bool
TargetRegistry::Announce(Announcement aAnnouncement, TimePoint aNow)
{
  bool changed = m_draining || m_target != aAnnouncement;
  m_target = std::move(aAnnouncement);
  m_lastSeen = aNow;
  m_draining = false;
  return changed;
}

bool
TargetRegistry::Heartbeat(double aLoad, TimePoint aNow)
{
  if (!m_target) {
    return false;
  }
  m_load = aLoad;
  m_lastSeen = aNow;
  return true;
}

bool
TargetRegistry::Drain()
{
  bool changed = m_target && !m_draining;
  m_draining = true;
  return changed;
}

bool
TargetRegistry::Expire(TimePoint aNow)
{
  if (!m_target || aNow - m_lastSeen < m_heartbeatTimeout) {
    return false;
  }
  m_target.reset();
  return true;
}

bool
TargetRegistry::Refused(const std::string& aAddress)
{
  if (!m_target || m_target->address != aAddress) {
    return false;
  }
  m_target.reset();
  return true;
}

} // namespace wagtailbend::daemon
