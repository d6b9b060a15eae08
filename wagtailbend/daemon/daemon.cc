#include "wagtailbend/daemon/daemon.h"

#include <future>
#include <thread>
#include <utility>

#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <fmt/format.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server_builder.h>

#include "wagtailbend/daemon/bridge.h"
#include "wagtailbend/daemon/grpc_transport.h"
#include "wagtailbend/daemon/order_services.h"
#include "wagtailbend/daemon/quarantine_filter.h"
#include "wagtailbend/filters/budget_filter.h"
#include "wagtailbend/filters/deadline_filter.h"
#include "wagtailbend/filters/threshold_filter.h"
#include "wagtailbend/filters/trace_filter.h"
#include "wagtailbend/observability/event_log.h"
#include "wagtailbend/store/http_platform.h"

namespace wagtailbend::daemon {
namespace {

// Bounds the memory that one request message can take.
constexpr int kMaxMessageBytes = 16 << 20;
// Peers and targets ping each second; gRPC's default would close their
// connections after two pings without calls.
constexpr int kMinPingIntervalMs = 500;

} // namespace

/// All methods on one listening address.
class Daemon::Service final : public grpc::CallbackGenericService
{
public:
  Service(Traffic& aTraffic, filters::Origin aOrigin)
    : m_traffic(aTraffic)
    , m_origin(aOrigin)
  {
  }

  grpc::ServerGenericBidiReactor* CreateReactor(
    grpc::GenericCallbackServerContext* aContext) override
  {
    return new Bridge(m_traffic, m_origin, *aContext);
  }

private:
  Traffic& m_traffic;
  filters::Origin m_origin;
};

Daemon::Daemon(DaemonOptions aOptions)
  : m_options(std::move(aOptions))
  , m_target(std::chrono::milliseconds(m_options.settings.heartbeatTimeoutMs))
{
  Rng rng = MakeSeededRng();
  m_id = { m_options.settings.name, rng() };
}

Daemon::~Daemon()
{
  // Calls of the pages and the servers end on the control thread, so that it
  // runs until they have stopped.
  m_control.restart();
  auto guard = asio::make_work_guard(m_control);
  std::thread control([this] { m_control.run(); });
  m_pages.reset();
  for (auto& server : m_servers) {
    server->Shutdown(std::chrono::system_clock::now());
  }
  m_servers.clear();
  m_blockingPool.join();
  m_queue->Close();
  m_control.stop();
  control.join();
}

Result<std::unique_ptr<Daemon>>
Daemon::Start(DaemonOptions aOptions)
{
  std::shared_ptr<const schema::Schema> schema;
  if (!aOptions.settings.schemaFile.empty()) {
    auto compiled = schema::CompileSchemaFile(aOptions.settings.schemaFile, {});
    if (const Error* error = GetError(compiled)) {
      return *error;
    }
    schema = std::make_shared<const schema::Schema>(
      TakeValue(std::move(compiled)).schema);
  }
  std::unique_ptr<Daemon> daemon(new Daemon(std::move(aOptions)));
  daemon->m_schema = std::move(schema);
  daemon->WireTraffic();
  if (auto error = daemon->WireOrders()) {
    return *error;
  }
  if (auto error = daemon->WireControl()) {
    return *error;
  }
  daemon->Publish();
  if (auto error = daemon->Listen()) {
    return *error;
  }
  return daemon;
}

void
Daemon::WireTraffic()
{
  m_traffic.transport = std::make_unique<GrpcTransport>();
  auto chooser = std::make_unique<BalancingChooser>(m_link);
  m_linkBytes = &chooser->Bytes();
  m_traffic.chooser = std::move(chooser);
  m_traffic.events = this;
  m_traffic.counters.Observe(m_traffic.gate);
  m_traffic.progressBound = m_options.progressBound;
  const settings::Settings& settings = m_options.settings;
  if (!settings.traceUrl.empty()) {
    m_exporter = std::make_unique<observability::OtlpExporter>(
      settings.traceUrl, settings.name);
  }
  // Section 4.1 gives the order of the filters of each address. The
  // order filter is added here.
  m_quarantine = std::make_unique<QuarantineGuard>(
    m_id, [this](std::vector<uint64_t> aInFlight, TimePoint aNow) {
      OnOwnTargetLost(std::move(aInFlight), aNow);
    });
  m_traffic.quarantine = m_quarantine.get();
  for (size_t i = 0; i < kOriginCount; ++i) {
    filters::FilterChain& chain = m_traffic.chains[i];
    chain.Add(std::make_unique<filters::TraceFilter>(
      m_exporter.get(), settings.traceSamplePerMillion));
    chain.Add(std::make_unique<filters::DeadlineFilter>(m_options.returnTime));
    chain.Add(
      std::make_unique<QuarantineFilter>(*m_quarantine, m_traffic.snapshots));
    if (static_cast<filters::Origin>(i) == filters::Origin::kPeer) {
      continue;
    }
    chain.Add(std::make_unique<filters::BudgetFilter>(m_traffic.registry));
    chain.Add(std::make_unique<filters::ThresholdFilter>(m_traffic.thresholds));
  }
}

std::optional<Error>
Daemon::WireOrders()
{
  const settings::Settings& settings = m_options.settings;
  m_orders = std::make_unique<OrderParts>(m_id);
  m_handOver = std::make_unique<OrderHandOver>(m_orders->book);
  m_traffic.orders = m_orders.get();
  if (settings.platformUrl.empty()) {
    return std::nullopt;
  }
  const Duration timeout =
    std::chrono::milliseconds(settings.platformTimeoutMs);
  auto platform =
    store::HttpPlatform::Create(settings.platformUrl, { timeout, timeout });
  if (const Error* error = GetError(platform)) {
    return *error;
  }
  m_orders->claims =
    std::make_unique<KeyClaims>(TakeValue(std::move(platform)), m_orders->book);
  return std::nullopt;
}

std::unique_ptr<grpc::Server>
Daemon::ListenOn(const std::string& aAddress, filters::Origin aOrigin)
{
  auto& service =
    m_services.emplace_back(std::make_unique<Service>(m_traffic, aOrigin));
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(aAddress, grpc::InsecureServerCredentials(), &port);
  builder.RegisterCallbackGenericService(service.get());
  const OrderServiceContext context{
    *m_orders, m_traffic.snapshots, m_channels, m_options.settings.peerAddress
  };
  std::unique_ptr<grpc::Service> rpcs;
  if (aOrigin == filters::Origin::kPeer) {
    rpcs = std::make_unique<PeerService>(
      context, m_control, *m_config, *m_summaries);
  } else {
    rpcs = std::make_unique<CustomerService>(context);
  }
  builder.RegisterService(rpcs.get());
  m_rpcServices.push_back(std::move(rpcs));
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  // Another process on the same address must be noticed, not shared with.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddChannelArgument(
    GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, kMinPingIntervalMs);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
  auto server = builder.BuildAndStart();
  return port == 0 ? nullptr : std::move(server);
}

std::optional<Error>
Daemon::Listen()
{
  const std::pair<const std::string&, filters::Origin> doors[] = {
    { m_options.settings.customerAddress, filters::Origin::kCustomer },
    { m_options.settings.peerAddress, filters::Origin::kPeer },
    { m_options.settings.egressAddress, filters::Origin::kTarget },
  };
  for (const auto& [address, origin] : doors) {
    auto server = ListenOn(address, origin);
    if (!server) {
      return Error{ ErrorKind::kInternal, "cannot listen on " + address };
    }
    m_servers.push_back(std::move(server));
  }
  grpc::ServerBuilder admin;
  int port = 0;
  admin.AddListeningPort(
    m_options.settings.adminAddress, grpc::InsecureServerCredentials(), &port);
  admin.RegisterService(m_adminService.get());
  admin.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  m_servers.push_back(admin.BuildAndStart());
  if (port == 0) {
    m_servers.pop_back();
    return Error{ ErrorKind::kInternal,
                  "cannot listen on " + m_options.settings.adminAddress };
  }
  m_pages = std::make_unique<HttpPages>(MakeHandlers());
  return m_pages->Start(m_options.settings.httpAddress);
}

template<typename Work>
auto
Daemon::OnControl(Work aWork) -> decltype(aWork())
{
  std::packaged_task<decltype(aWork())()> task(std::move(aWork));
  auto result = task.get_future();
  asio::post(m_control, std::move(task));
  return result.get();
}

std::optional<Error>
Daemon::OnAnnounce(Announcement aAnnouncement)
{
  auto schema = m_traffic.snapshots.Load()->schema;
  // Without a configuration the service cannot be checked.
  if (schema && !schema->FindService(aAnnouncement.service)) {
    return Error{ ErrorKind::kUnknownMethod, aAnnouncement.service };
  }
  std::string host;
  uint16_t port = 0;
  if (!settings::ParseAddress(aAnnouncement.address, host, port)) {
    return Error{ ErrorKind::kInvalidRequest, aAnnouncement.address };
  }
  OnControl([&] {
    if (m_target.Announce(std::move(aAnnouncement), MonotonicNow())) {
      OnTargetChanged("announced");
    }
  });
  return std::nullopt;
}

HttpHandlers
Daemon::MakeHandlers()
{
  HttpHandlers handlers;
  handlers.announce = [this](Announcement aAnnouncement) {
    return OnAnnounce(std::move(aAnnouncement));
  };
  handlers.heartbeat = [this](double aLoad) -> std::optional<Error> {
    bool known = OnControl([&] {
      TimePoint now = MonotonicNow();
      if (!m_target.Heartbeat(aLoad, now)) {
        return false;
      }
      m_routing->Hint(m_target.Target()->service, m_id, aLoad, now);
      return true;
    });
    if (known) {
      return std::nullopt;
    }
    return Error{ ErrorKind::kNotFound, "announce first" };
  };
  handlers.drain = [this] {
    OnControl([&] {
      if (m_target.Drain()) {
        OnTargetChanged("draining");
      }
    });
  };
  handlers.metrics = [this] { return MetricsText(); };
  handlers.status = [this] {
    return OnControl([&] { return StatusDocument(); });
  };
  return handlers;
}

} // namespace wagtailbend::daemon
