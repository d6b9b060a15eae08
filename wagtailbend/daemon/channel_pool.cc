#include "wagtailbend/daemon/channel_pool.h"

#include <utility>

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/channel_arguments.h>

namespace wagtailbend::daemon {
namespace {

// Bounds the memory that one response message can take.
constexpr int kMaxMessageBytes = 16 << 20;
// A target that restarts is reachable again after at most this time.
constexpr int kMinReconnectMs = 50;
constexpr int kMaxReconnectMs = 500;

grpc::ChannelArguments
ArgumentsFor(const KeepAlive& aKeepAlive)
{
  grpc::ChannelArguments arguments;
  // Without a pool of its own a new channel would share the connection that
  // went silent.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS,
                   static_cast<int>(ToMilliseconds(aKeepAlive.interval)));
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                   static_cast<int>(ToMilliseconds(aKeepAlive.timeout)));
  arguments.SetInt(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinReconnectMs);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectMs);
  arguments.SetInt(GRPC_ARG_MAX_RECEIVE_MESSAGE_LENGTH, kMaxMessageBytes);
  return arguments;
}

} // namespace

ChannelSlot::ChannelSlot(std::shared_ptr<grpc::Channel> aChannel)
  : channel(std::move(aChannel))
  , stub(channel)
{
}

PeerLink::PeerLink(std::string aAddress, KeepAlive aKeepAlive)
  : m_address(std::move(aAddress))
  , m_keepAlive(aKeepAlive)
{
  for (auto& slot : m_slots) {
    slot.store(Open());
  }
}

std::shared_ptr<ChannelSlot>
PeerLink::Open() const
{
  return std::make_shared<ChannelSlot>(
    grpc::CreateCustomChannel("ipv4:" + m_address,
                              grpc::InsecureChannelCredentials(),
                              ArgumentsFor(m_keepAlive)));
}

std::shared_ptr<ChannelSlot>
PeerLink::Current(WorkClass aClass) const
{
  return m_slots[static_cast<size_t>(aClass)].load();
}

void
PeerLink::Replace(WorkClass aClass, const std::shared_ptr<ChannelSlot>& aOld)
{
  auto& slot = m_slots[static_cast<size_t>(aClass)];
  std::shared_ptr<ChannelSlot> expected = aOld;
  if (slot.load() != expected) {
    return;
  }
  if (slot.compare_exchange_strong(expected, Open())) {
    m_replaced.fetch_add(1, std::memory_order_relaxed);
  }
}

std::shared_ptr<PeerLink>
ChannelPool::Link(const std::string& aAddress)
{
  std::lock_guard lock(m_mutex);
  std::weak_ptr<PeerLink>& known = m_links[aAddress];
  std::shared_ptr<PeerLink> link = known.lock();
  if (!link) {
    link = std::make_shared<PeerLink>(aAddress, m_keepAlive);
    known = link;
  }
  return link;
}

} // namespace wagtailbend::daemon
