#include "wagtailbend/daemon/link_probe.h"

#include <algorithm>
#include <utility>

#include "wagtailbend/daemon/peer_call.h"

namespace wagtailbend::daemon {
namespace {

constexpr Duration kInterval = std::chrono::seconds(1);
constexpr Duration kIdleInterval = std::chrono::seconds(10);
constexpr Duration kTimeout = std::chrono::seconds(2);

} // namespace

LinkProbe::LinkProbe(std::shared_ptr<ControlQueue> aQueue,
                     ChannelPool& aChannels,
                     std::function<void(Duration)> aOnRoundTrip)
  : m_queue(std::move(aQueue))
  , m_channels(aChannels)
  , m_onRoundTrip(std::move(aOnRoundTrip))
{
}

void
LinkProbe::Tick(const std::vector<std::string>& aContacts,
                bool aInUse,
                TimePoint aNow)
{
  if (m_pending || aContacts.empty() || aNow < m_next) {
    return;
  }
  m_next = aNow + (aInUse ? kInterval : kIdleInterval);
  if (!m_link ||
      std::find(aContacts.begin(), aContacts.end(), m_link->Address()) ==
        aContacts.end()) {
    m_link = m_channels.Link(aContacts.front());
    m_linkOpen = false;
  }
  m_pending = true;
  CallPeer<peer::ProbeReply>(
    *m_link,
    &peer::Peer::StubInterface::async_interface::Probe,
    peer::ProbeRequest{},
    kTimeout,
    [this, queue = m_queue, aNow](const grpc::Status& aStatus,
                                  const peer::ProbeReply&) {
      Duration took = MonotonicNow() - aNow;
      queue->Post([this, ok = aStatus.ok(), took] {
        m_pending = false;
        if (ok && std::exchange(m_linkOpen, true)) {
          m_onRoundTrip(took);
        }
        if (!ok) {
          m_link.reset();
        }
      });
    });
}

} // namespace wagtailbend::daemon
