#include "wagtailbend/daemon/config_runner.h"

#include <utility>

#include <asio/post.hpp>

#include "wagtailbend/daemon/peer_call.h"
#include "wagtailbend/observability/event_log.h"

namespace wagtailbend::daemon {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(100);
constexpr Duration kFetchTimeout = std::chrono::seconds(2);

} // namespace

config::ConfigVersion
VersionFromProto(const peer::ConfigVersion& aVersion)
{
  return { aVersion.version(), aVersion.change_id(), aVersion.digest() };
}

void
VersionToProto(const config::ConfigVersion& aVersion,
               peer::ConfigVersion& aWire)
{
  aWire.set_version(aVersion.version);
  aWire.set_change_id(aVersion.changeId);
  aWire.set_digest(aVersion.digest);
}

ConfigRunner::ConfigRunner(asio::io_context& aControl,
                           std::shared_ptr<ControlQueue> aQueue,
                           asio::thread_pool& aBlockingPool,
                           ChannelPool& aChannels,
                           std::shared_ptr<store::Platform> aPlatform,
                           InForce aInForce)
  : m_control(aControl)
  , m_queue(std::move(aQueue))
  , m_blockingPool(aBlockingPool)
  , m_channels(aChannels)
  , m_platform(std::move(aPlatform))
  , m_store(m_platform ? std::make_unique<config::ConfigStore>(*m_platform)
                       : nullptr)
  , m_inForce(std::move(aInForce))
  , m_controller({}, MakeSeededRng()())
  , m_timer(aControl)
{
}

void
ConfigRunner::Start()
{
  asio::post(m_control, [this] { Tick(); });
}

void
ConfigRunner::Tick()
{
  Run(m_controller.OnTick(MonotonicNow()));
  m_timer.expires_after(kTickInterval);
  m_timer.async_wait([this](const std::error_code& aCode) {
    if (!aCode) {
      Tick();
    }
  });
}

void
ConfigRunner::Select(bool aIsPoller)
{
  if (aIsPoller != std::exchange(m_isPoller, aIsPoller)) {
    Run(m_controller.OnPollerSelection(aIsPoller, MonotonicNow()));
  }
}

void
ConfigRunner::VersionHeard(const std::string& aPeerAddress, uint64_t aVersion)
{
  Run(m_controller.OnPeerVersion(aPeerAddress, aVersion, MonotonicNow()));
}

void
ConfigRunner::Push(const config::ConfigVersion& aVersion,
                   const std::string& aBody)
{
  TakeBody(aVersion, aBody);
}

void
ConfigRunner::TakeBody(const config::ConfigVersion& aVersion,
                       const std::string& aBody)
{
  uint64_t before = Version();
  auto actions = m_controller.OnBody(aVersion, aBody, MonotonicNow());
  if (Version() == before && aVersion.version > before) {
    observability::Event("config_rejected")
      .Add("version", aVersion.version)
      .Add("reason", m_controller.LastRejection())
      .Warn();
  }
  Run(actions);
}

void
ConfigRunner::Run(const config::Actions& aActions)
{
  for (const config::Action& action : aActions) {
    std::visit([this](const auto& aAction) { Do(aAction); }, action);
  }
}

void
ConfigRunner::Do(const config::PollHead& /*aAction*/)
{
  // A poll that the controller gave up may still hold its thread.
  if (!m_store || m_polling) {
    Run(m_controller.OnPollFailed(MonotonicNow()));
    return;
  }
  m_polling = true;
  asio::post(m_blockingPool, [this] {
    auto head = m_store->ReadHead();
    asio::post(m_control, [this, head = std::move(head)] {
      m_polling = false;
      TimePoint now = MonotonicNow();
      if (const Error* error = GetError(head)) {
        observability::Event("config_poll_failed")
          .Add("reason", error->detail)
          .Warn();
      }
      Run(IsOk(head) ? m_controller.OnHead(GetValue(head), now)
                     : m_controller.OnPollFailed(now));
    });
  });
}

void
ConfigRunner::Do(const config::FetchFromPeer& aAction)
{
  peer::FetchConfigRequest request;
  request.set_at_least_version(aAction.atLeastVersion);
  auto link = m_channels.Link(aAction.peer);
  CallPeer<peer::FetchConfigReply>(
    *link,
    &peer::Peer::StubInterface::async_interface::FetchConfig,
    std::move(request),
    kFetchTimeout,
    [this, queue = m_queue](const grpc::Status& aStatus,
                            const peer::FetchConfigReply& aReply) {
      queue->Post([this, ok = aStatus.ok(), reply = aReply] {
        if (!ok) {
          Run(m_controller.OnFetchFailed(MonotonicNow()));
          return;
        }
        TakeBody(VersionFromProto(reply.version()), reply.body());
      });
    });
}

void
ConfigRunner::Do(const config::FetchFromPlatform& aAction)
{
  if (!m_store || m_fetching) {
    Run(m_controller.OnFetchFailed(MonotonicNow()));
    return;
  }
  m_fetching = true;
  asio::post(m_blockingPool, [this, version = aAction.version] {
    auto body = m_store->ReadBody(version.digest);
    asio::post(m_control, [this, version, body = std::move(body)] {
      m_fetching = false;
      if (!IsOk(body)) {
        Run(m_controller.OnFetchFailed(MonotonicNow()));
        return;
      }
      TakeBody(version, GetValue(body));
    });
  });
}

void
ConfigRunner::Do(const config::ActivateConfig& aAction)
{
  const config::ConfigVersion& version = aAction.config->version;
  observability::Event("config_in_force")
    .Add("version", version.version)
    .Add("change", version.changeId)
    .Add("digest", version.digest)
    .Info();
  m_inForce(aAction.config);
}

} // namespace wagtailbend::daemon
