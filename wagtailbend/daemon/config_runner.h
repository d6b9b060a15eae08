// Carries out the actions of config::ConfigController: reads of the platform on
// the blocking pool, fetches from peers, and the change of the schema in force.
//
//   ConfigRunner config(control, blockingPool, channels, platform, onInForce);
//   config.Start();
//   config.VersionHeard("10.0.0.2:7000", 7);

#pragma once

#include <functional>
#include <memory>
#include <string>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/thread_pool.hpp>

#include "wagtailbend/config/config_controller.h"
#include "wagtailbend/daemon/channel_pool.h"
#include "wagtailbend/daemon/control_queue.h"
#include "wagtailbend/peer.pb.h"

namespace wagtailbend::daemon {

/// Not thread-safe: owned by the control thread.
class ConfigRunner
{
public:
  using InForce =
    std::function<void(const std::shared_ptr<const config::ActiveConfig>&)>;

  /// aPlatform may be null. aInForce is called for each change.
  ConfigRunner(asio::io_context& aControl,
               std::shared_ptr<ControlQueue> aQueue,
               asio::thread_pool& aBlockingPool,
               ChannelPool& aChannels,
               std::shared_ptr<store::Platform> aPlatform,
               InForce aInForce);

  /// Starts the timer.
  void Start();
  /// Whether this daemon is one of the pollers of its failure domain.
  void Select(bool aIsPoller);
  /// The daemon at aPeerAddress has aVersion.
  void VersionHeard(const std::string& aPeerAddress, uint64_t aVersion);
  /// A body pushed by an operator.
  void Push(const config::ConfigVersion& aVersion, const std::string& aBody);

  uint64_t Version() const { return m_controller.Version(); }
  std::shared_ptr<const config::ActiveConfig> Current() const
  {
    return m_controller.Active();
  }
  const std::string& LastRejection() const
  {
    return m_controller.LastRejection();
  }

private:
  void Tick();
  void Run(const config::Actions& aActions);
  void Do(const config::PollHead& aAction);
  void Do(const config::FetchFromPeer& aAction);
  void Do(const config::FetchFromPlatform& aAction);
  void Do(const config::ActivateConfig& aAction);
  void TakeBody(const config::ConfigVersion& aVersion,
                const std::string& aBody);

  asio::io_context& m_control;
  std::shared_ptr<ControlQueue> m_queue;
  asio::thread_pool& m_blockingPool;
  ChannelPool& m_channels;
  std::shared_ptr<store::Platform> m_platform;
  std::unique_ptr<config::ConfigStore> m_store;
  InForce m_inForce;
  config::ConfigController m_controller;
  asio::steady_timer m_timer;
  bool m_isPoller = false;
  // Requests to the platform that hold a thread of the blocking pool.
  bool m_polling = false;
  bool m_fetching = false;
};

/// Thread-safe.
config::ConfigVersion
VersionFromProto(const peer::ConfigVersion& aVersion);
void
VersionToProto(const config::ConfigVersion& aVersion,
               peer::ConfigVersion& aWire);

} // namespace wagtailbend::daemon
