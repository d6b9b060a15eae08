// wagtail-fake-platform: an in-memory platform with switchable faults.

#include <csignal>
#include <iostream>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <pthread.h>

#include "testing/fakes/fake_platform_server.h"

namespace wagtailbend::testing_fakes {
namespace {

constexpr int kExitFailure = 1;
constexpr int kExitUsage = 2;

cxxopts::Options
MakeOptions()
{
  cxxopts::Options options(
    "wagtail-fake-platform",
    "In-memory table service and object store with switchable faults.");
  options.add_options()(
    "listen",
    "Address as HOST:PORT; port 0 selects a free port",
    cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
    "faults",
    "Initial faults, as the JSON body of POST /v1/faults",
    cxxopts::value<std::string>()->default_value("{}"))(
    "help", "Print this help")("version", "Print the version");
  return options;
}

// Splits HOST:PORT; returns a negative port if the text is not of that form.
std::pair<std::string, int>
ParseListen(const std::string& aText)
{
  const size_t colon = aText.rfind(':');
  if (colon == std::string::npos || colon == 0 || colon + 1 == aText.size() ||
      aText.size() - colon > 6 ||
      aText.find_first_not_of("0123456789", colon + 1) != std::string::npos) {
    return { "", -1 };
  }
  const int port = std::stoi(aText.substr(colon + 1));
  return { aText.substr(0, colon), port > 65535 ? -1 : port };
}

int
Serve(const std::string& aHost, int aPort, const Faults& aFaults)
{
  // Blocked before the server's threads start, so that only sigwait sees them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);

  InMemoryPlatform store;
  store.SetFaults(aFaults);
  FakePlatformServer server(store);
  if (!server.Start(aHost, aPort)) {
    std::cerr << fmt::format("event=bind_failed address={}:{}\n", aHost, aPort);
    return kExitFailure;
  }
  std::cout << fmt::format("event=ready address={}:{} port={}\n",
                           aHost,
                           server.Port(),
                           server.Port())
            << std::flush;
  int signal = 0;
  sigwait(&signals, &signal);
  server.Stop();
  return 0;
}

int
Main(int aArgc, char** aArgv)
{
  cxxopts::Options options = MakeOptions();
  const auto parsed = options.parse(aArgc, aArgv);
  if (parsed.count("help")) {
    std::cout << options.help();
    return 0;
  }
  if (parsed.count("version")) {
    std::cout << "wagtail-fake-platform " << WB_VERSION << '\n';
    return 0;
  }
  const auto [host, port] = ParseListen(parsed["listen"].as<std::string>());
  if (port < 0) {
    std::cerr << "--listen: must be HOST:PORT\n";
    return kExitUsage;
  }
  auto faults = ParseFaults(parsed["faults"].as<std::string>());
  if (const Error* error = GetError(faults)) {
    std::cerr << "--faults: " << error->detail << '\n';
    return kExitUsage;
  }
  return Serve(host, port, GetValue(faults));
}

} // namespace
} // namespace wagtailbend::testing_fakes

int
main(int argc, char** argv)
{
  try {
    return wagtailbend::testing_fakes::Main(argc, argv);
  } catch (const cxxopts::exceptions::exception& e) {
    std::cerr << e.what() << "\nSee --help.\n";
    return 2;
  }
}
