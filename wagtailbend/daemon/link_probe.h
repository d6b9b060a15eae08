// Measures round trips over the link between regions while it is in use.
//
//   LinkProbe probe(control, queue, channels, onRoundTrip);
//   probe.Tick(contacts, recentlyUsed);   // each second

#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "wagtailbend/base/rng.h"
#include "wagtailbend/daemon/channel_pool.h"
#include "wagtailbend/daemon/control_queue.h"

namespace wagtailbend::daemon {

/// Not thread-safe: owned by the control thread.
class LinkProbe
{
public:
  /// aOnRoundTrip is called on the control thread.
  LinkProbe(std::shared_ptr<ControlQueue> aQueue,
            ChannelPool& aChannels,
            std::function<void(Duration)> aOnRoundTrip);

  /// Sends one small call to one of aContacts, peer addresses in the other
  /// region. Each second while the link is in use, else each ten seconds: the
  /// smallest round trip is known before the link queues.
  void Tick(const std::vector<std::string>& aContacts,
            bool aInUse,
            TimePoint aNow);

private:
  std::shared_ptr<ControlQueue> m_queue;
  ChannelPool& m_channels;
  std::function<void(Duration)> m_onRoundTrip;
  // The connection of the last probe; a new one would measure its opening.
  std::shared_ptr<PeerLink> m_link;
  bool m_linkOpen = false;
  TimePoint m_next;
  bool m_pending = false;
};

} // namespace wagtailbend::daemon
