// wagtail-fake-target: a target process with switchable faults.

#include <csignal>
#include <iostream>
#include <thread>

#include <asio/io_context.hpp>
#include <asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include "testing/fake_target.h"
#include "testing/silent_relay.h"

namespace {

using wagtailbend::testing::FakeFaults;
using wagtailbend::testing::FakeTarget;
using wagtailbend::testing::FakeTargetOptions;
using wagtailbend::testing::SilentRelay;

constexpr auto kHeartbeatInterval = std::chrono::milliseconds(200);
constexpr auto kDrainLimit = std::chrono::seconds(60);

void
ApplyFaults(FakeFaults& aFaults, const nlohmann::json& aJson)
{
  aFaults.slow = aJson.value("slow", aFaults.slow.load());
  aFaults.silent = aJson.value("silent", aFaults.silent.load());
  aFaults.swap = aJson.value("swap", aFaults.swap.load());
  aFaults.cut = aJson.value("cut", aFaults.cut.load());
  aFaults.duplicate = aJson.value("duplicate", aFaults.duplicate.load());
  aFaults.lagMs = aJson.value("lag_ms", aFaults.lagMs.load());
  if (aJson.value("mute_connections", false)) {
    aFaults.muteRequests += 1;
  }
  aFaults.crashLingerMs =
    aJson.value("crash_linger_ms", aFaults.crashLingerMs.load());
  aFaults.SetCrashKey(aJson.value("crash_key", aFaults.CrashKey()));
}

/// Keeps the local daemon informed, on a thread of its own.
class Reporter
{
public:
  Reporter(FakeTarget& aTarget, std::string aAddress, std::string aDaemon)
    : m_target(aTarget)
    , m_address(std::move(aAddress))
    , m_daemon(std::move(aDaemon))
    , m_thread([this] { Run(); })
  {
  }

  ~Reporter() { Stop(); }

  void Stop()
  {
    m_stop = true;
    if (m_thread.joinable()) {
      m_thread.join();
    }
  }

  bool Post(const std::string& aPath, const nlohmann::json& aBody)
  {
    httplib::Client client("http://" + m_daemon);
    client.set_connection_timeout(0, 300000);
    client.set_read_timeout(0, 300000);
    auto reply = client.Post(aPath, aBody.dump(), "application/json");
    return reply && reply->status == 200;
  }

private:
  void Run()
  {
    const FakeTargetOptions& options = m_target.Options();
    while (!m_stop) {
      bool known =
        Post("/v1/target/heartbeat", { { "load", m_target.ReportedLoad() } });
      if (!known) {
        Post("/v1/target/announce",
             { { "service", options.service },
               { "address", m_address },
               { "slots", options.slots },
               { "connections", 1000 },
               { "cold", true } });
      }
      std::this_thread::sleep_for(kHeartbeatInterval);
    }
  }

  FakeTarget& m_target;
  std::string m_address;
  std::string m_daemon;
  std::atomic<bool> m_stop{ false };
  std::thread m_thread;
};

void
ServeFaults(httplib::Server& aServer, FakeTarget& aTarget)
{
  aServer.new_task_queue = [] { return new httplib::ThreadPool(2); };
  aServer.set_keep_alive_max_count(1);
  aServer.Post(
    "/fault",
    [&aTarget](const httplib::Request& aRequest, httplib::Response& aResponse) {
      auto json = nlohmann::json::parse(aRequest.body, nullptr, false);
      if (!json.is_object()) {
        aResponse.status = 400;
        return;
      }
      ApplyFaults(aTarget.Faults(), json);
      aResponse.set_content("{}", "application/json");
    });
  aServer.Get(
    "/calls",
    [&aTarget](const httplib::Request&, httplib::Response& aResponse) {
      aResponse.set_content(std::to_string(aTarget.Received()), "text/plain");
    });
}

cxxopts::Options
Usage()
{
  cxxopts::Options usage("wagtail-fake-target",
                         "Target with switchable faults");
  auto text = [] { return cxxopts::value<std::string>(); };
  usage.add_options()("schema", "schema file", text())(
    "service", "full service name", text())("address", "gRPC IP:port", text())(
    "http", "IP:port of the fault switch", text())(
    "daemon",
    "IP:port of the daemon's http address",
    text()->default_value(""))(
    "egress", "IP:port of the daemon's egress", text()->default_value(""))(
    "slots",
    "concurrent requests",
    cxxopts::value<uint32_t>()->default_value("100"))(
    "service-time-us",
    "service time",
    cxxopts::value<uint32_t>()->default_value("0"))(
    "pages",
    "pages of a stream",
    cxxopts::value<uint32_t>()->default_value("64"))(
    "page-bytes",
    "bytes of a page",
    cxxopts::value<size_t>()->default_value("65536"))(
    "orders", "file of order runs", text()->default_value(""))(
    "fault", "JSON as for POST /fault", text()->default_value("{}"))(
    "relay", "accept connections through a relay that can be muted")(
    "help", "print this help")("version", "print the version");
  return usage;
}

FakeTargetOptions
OptionsFrom(const cxxopts::ParseResult& aArguments)
{
  FakeTargetOptions options;
  options.service = aArguments["service"].as<std::string>();
  options.address = aArguments.count("relay")
                      ? "127.0.0.1:0"
                      : aArguments["address"].as<std::string>();
  options.egress = aArguments["egress"].as<std::string>();
  options.slots = aArguments["slots"].as<uint32_t>();
  options.serviceTime =
    std::chrono::microseconds(aArguments["service-time-us"].as<uint32_t>());
  options.pages = aArguments["pages"].as<uint32_t>();
  options.pageBytes = aArguments["page-bytes"].as<size_t>();
  options.orderFile = aArguments["orders"].as<std::string>();
  return options;
}

// Returns at SIGTERM or SIGINT.
void
WaitForStop()
{
  asio::io_context context;
  asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([](const std::error_code&, int) {});
  context.run();
}

int
Run(const cxxopts::ParseResult& aArguments)
{
  auto compiled = wagtailbend::schema::CompileSchemaFile(
    aArguments["schema"].as<std::string>(), {});
  if (const auto* error = wagtailbend::GetError(compiled)) {
    std::cerr << error->detail << '\n';
    return 2;
  }
  FakeTarget target(OptionsFrom(aArguments),
                    wagtailbend::GetValue(compiled).schema);
  ApplyFaults(target.Faults(),
              nlohmann::json::parse(aArguments["fault"].as<std::string>()));
  std::string http = aArguments["http"].as<std::string>();
  size_t colon = http.rfind(':');
  httplib::Server server;
  ServeFaults(server, target);
  if (!target.Start() ||
      !server.bind_to_port(http.substr(0, colon),
                           std::stoi(http.substr(colon + 1)))) {
    std::cerr << "cannot listen\n";
    return 1;
  }
  std::string address = aArguments["address"].as<std::string>();
  std::unique_ptr<SilentRelay> relay;
  if (aArguments.count("relay")) {
    relay = std::make_unique<SilentRelay>(
      address, target.BoundAddress(), target.Faults().muteRequests);
  }
  std::thread serving([&server] { server.listen_after_bind(); });
  std::string daemon = aArguments["daemon"].as<std::string>();
  std::unique_ptr<Reporter> reporter;
  if (!daemon.empty()) {
    reporter = std::make_unique<Reporter>(target, address, daemon);
  }
  std::cout << fmt::format("event=ready service={} address={} http={}\n",
                           target.Options().service,
                           address,
                           http)
            << std::flush;
  WaitForStop();
  if (reporter) {
    reporter->Stop();
    reporter->Post("/v1/target/drain", nlohmann::json::object());
  }
  target.Drain(kDrainLimit);
  server.stop();
  serving.join();
  return 0;
}

} // namespace

int
main(int argc, char** argv)
{
  cxxopts::Options usage = Usage();
  try {
    auto arguments = usage.parse(argc, argv);
    if (arguments.count("help")) {
      std::cout << usage.help();
      return 0;
    }
    if (arguments.count("version")) {
      std::cout << "wagtail-fake-target " WB_VERSION "\n";
      return 0;
    }
    return Run(arguments);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
