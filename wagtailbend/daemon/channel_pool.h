// Channels to other processes: for each address one connection for short work
// and one for bulk work, replaced when a connection went silent.
//
//   ChannelPool pool(KeepAlive{});
//   std::shared_ptr<PeerLink> link = pool.Link("127.0.0.1:7000");
//   auto channel = link->Current(WorkClass::kShort);
//   link->Replace(WorkClass::kShort, *channel);

#pragma once

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

#include <grpcpp/channel.h>
#include <grpcpp/generic/generic_stub.h>

#include "wagtailbend/base/time.h"

namespace wagtailbend::daemon {

/// Work that has connections of its own.
enum class WorkClass : uint8_t
{
  kShort,
  kBulk,
};

/// HTTP/2 pings that detect silent connections.
struct KeepAlive
{
  Duration interval = std::chrono::seconds(1);
  Duration timeout = std::chrono::seconds(1);
};

/// One connection; lives until its last attempt has ended. Thread-safe.
struct ChannelSlot
{
  explicit ChannelSlot(std::shared_ptr<grpc::Channel> aChannel);

  std::shared_ptr<grpc::Channel> channel;
  grpc::GenericStub stub;
  /// Time at which anything last arrived from the callee.
  std::atomic<TimePoint> lastReceived{ TimePoint{} };
};

/// The connections to one address. Thread-safe.
class PeerLink
{
public:
  PeerLink(std::string aAddress, KeepAlive aKeepAlive);

  const std::string& Address() const { return m_address; }
  /// Returns the connection in use. It connects at its first attempt.
  std::shared_ptr<ChannelSlot> Current(WorkClass aClass) const;
  /// Puts a new connection in place of aOld, unless that happened already.
  void Replace(WorkClass aClass, const std::shared_ptr<ChannelSlot>& aOld);
  /// Connections replaced so far.
  uint64_t Replaced() const { return m_replaced; }

private:
  std::shared_ptr<ChannelSlot> Open() const;

  std::string m_address;
  KeepAlive m_keepAlive;
  std::array<std::atomic<std::shared_ptr<ChannelSlot>>, 2> m_slots;
  std::atomic<uint64_t> m_replaced{ 0 };
};

/// Hands out one PeerLink per address. Thread-safe; traffic threads reach the
/// links through the routing snapshot and never call the pool.
class ChannelPool
{
public:
  explicit ChannelPool(KeepAlive aKeepAlive)
    : m_keepAlive(aKeepAlive)
  {
  }

  /// Returns the link of aAddress, created at the first call and shared while
  /// any holder keeps it.
  std::shared_ptr<PeerLink> Link(const std::string& aAddress);

private:
  KeepAlive m_keepAlive;
  std::mutex m_mutex;
  std::map<std::string, std::weak_ptr<PeerLink>> m_links;
};

} // namespace wagtailbend::daemon
