#include "wagtailbend/daemon/home_directory.h"

namespace wagtailbend::daemon {
namespace {

// Homes that stopped in the last weeks: 48 restarts a day in 690 daemons.
constexpr size_t kMaxEntries = 4096;

} // namespace

void
HomeDirectory::Announce(const std::vector<DaemonId>& aHomes,
                        const std::shared_ptr<PeerLink>& aLink)
{
  const std::lock_guard lock(m_mutex);
  for (const DaemonId& home : aHomes) {
    if (m_links.insert_or_assign(home, aLink).second) {
      m_order.push_back(home);
    }
  }
  while (m_order.size() > kMaxEntries) {
    m_links.erase(m_order.front());
    m_order.pop_front();
  }
}

std::shared_ptr<PeerLink>
HomeDirectory::Find(const DaemonId& aHome) const
{
  const std::lock_guard lock(m_mutex);
  const auto found = m_links.find(aHome);
  return found == m_links.end() ? nullptr : found->second;
}

std::shared_ptr<PeerLink>
FindHome(const RoutingSnapshot& aSnapshot,
         const HomeDirectory& aDirectory,
         const DaemonId& aHome)
{
  if (auto link = aDirectory.Find(aHome)) {
    return link;
  }
  const auto found = aSnapshot.daemons.find(aHome);
  return found == aSnapshot.daemons.end() ? nullptr : found->second;
}

} // namespace wagtailbend::daemon
