#include "testing/fake_target.h"

#include <algorithm>
#include <thread>

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server_builder.h>

#include "testing/fake_call.h"

namespace wagtailbend::testing {

class FakeTarget::Service final : public grpc::CallbackGenericService
{
public:
  explicit Service(FakeTarget& aTarget)
    : m_target(aTarget)
  {
  }

  grpc::ServerGenericBidiReactor* CreateReactor(
    grpc::GenericCallbackServerContext* aContext) override
  {
    return new FakeCall(m_target, *aContext);
  }

private:
  FakeTarget& m_target;
};

void
FakeFaults::SetCrashKey(const std::string& aKey)
{
  std::lock_guard lock(m_mutex);
  m_crashKey = aKey;
}

std::string
FakeFaults::CrashKey() const
{
  std::lock_guard lock(m_mutex);
  return m_crashKey;
}

FakeTarget::FakeTarget(FakeTargetOptions aOptions, schema::Schema aSchema)
  : m_options(std::move(aOptions))
  , m_schema(std::move(aSchema))
{
  if (!m_options.orderFile.empty()) {
    m_orders.open(m_options.orderFile, std::ios::app);
  }
}

FakeTarget::~FakeTarget()
{
  Drain(std::chrono::milliseconds(0));
}

bool
FakeTarget::Start()
{
  if (!m_options.egress.empty()) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 50);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 500);
    m_egress = std::make_unique<grpc::GenericStub>(
      grpc::CreateCustomChannel("ipv4:" + m_options.egress,
                                grpc::InsecureChannelCredentials(),
                                arguments));
  }
  m_service = std::make_unique<Service>(*this);
  grpc::ServerBuilder builder;
  builder.AddListeningPort(
    m_options.address, grpc::InsecureServerCredentials(), &m_port);
  builder.RegisterCallbackGenericService(m_service.get());
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  // The daemon pings each second, also without calls.
  builder.AddChannelArgument(
    GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, 500);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
  m_server = builder.BuildAndStart();
  return m_port != 0 && m_server;
}

std::string
FakeTarget::BoundAddress() const
{
  return "127.0.0.1:" + std::to_string(m_port);
}

void
FakeTarget::Drain(std::chrono::milliseconds aLimit)
{
  if (!m_server) {
    return;
  }
  auto end = std::chrono::steady_clock::now() + aLimit;
  while (m_reactors > 0 && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  m_server->Shutdown(std::chrono::system_clock::now());
  m_server.reset();
}

double
FakeTarget::ReportedLoad()
{
  std::lock_guard lock(m_mutex);
  auto now = std::chrono::steady_clock::now();
  m_loads.emplace_back(now, double(m_running) / m_options.slots);
  auto asOf = now - std::chrono::milliseconds(m_faults.lagMs.load());
  while (m_loads.size() > 1 && m_loads[1].first <= asOf) {
    m_loads.erase(m_loads.begin());
  }
  return m_loads.front().second;
}

void
FakeTarget::RecordOrder(const std::string& aLine)
{
  std::lock_guard lock(m_mutex);
  if (m_orders.is_open()) {
    m_orders << aLine << '\n' << std::flush;
  }
}

std::pair<std::string, std::string>
FakeTarget::IdsToEcho(std::pair<std::string, std::string> aOwn)
{
  if (!m_faults.swap) {
    return aOwn;
  }
  std::lock_guard lock(m_mutex);
  std::swap(m_lastIds, aOwn);
  return aOwn;
}

} // namespace wagtailbend::testing
