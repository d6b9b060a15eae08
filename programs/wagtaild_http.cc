// The daemon of the HTTP path on the users' platform.

#include <cstdlib>
#include <iostream>

#include <cxxopts.hpp>

#include "platform/config_decoder.h"
#include "platform/control_api.h"
#include "platform/names.h"
#include "platform/rows_client.h"
#include "platform/settings_reader.h"
#include "wagtailbend/node/node.h"
#include "wagtailbend/observability/bounded_log.h"

namespace {

using namespace wagtailbend;

constexpr int kRunTimeFailure = 1;
constexpr int kWrongUsage = 2;
// Log lines that wait for a slow reader.
constexpr size_t kMaxLogBytes = 256UL * 1024;

cxxopts::Options
Usage()
{
  cxxopts::Options usage("wagtaild-http",
                         "Overload control daemon of one VM, for HTTP/1.1");
  usage.add_options()("settings",
                      "settings file; default: the path that the environment "
                      "variable WAGTAILBEND_SETTINGS holds",
                      cxxopts::value<std::string>())(
    "log-level",
    "debug, info, warn or error",
    cxxopts::value<std::string>()->default_value("info"))(
    "check-settings", "check the settings and exit")(
    "version", "print the version")("help", "print this help");
  return usage;
}

std::string
SettingsPath(const cxxopts::ParseResult& aArguments)
{
  if (aArguments.count("settings")) {
    return aArguments["settings"].as<std::string>();
  }
  const char* path = std::getenv(users_platform::kSettingsVariable);
  return path == nullptr ? "" : path;
}

int
RunDaemon(const std::string& aPath,
          const node::NodeSettings& aSettings,
          const std::string& aLogLevel)
{
  auto platform = users_platform::RowsClient::Create(aSettings.storeAddress);
  if (const Error* error = GetError(platform)) {
    std::cerr << error->detail << '\n';
    return kWrongUsage;
  }
  observability::BoundedLog log(kMaxLogBytes);
  log.Attach(aLogLevel);
  node::NodeDependencies parts;
  parts.platform = TakeValue(std::move(platform));
  parts.configSource = { std::string(users_platform::kConfigTable),
                         std::string(users_platform::kConfigKey),
                         users_platform::DecodeConfig };
  parts.names = users_platform::HeaderNames();
  parts.makeControlApi = [](node::AnnouncementHandler& aAnnouncements) {
    return std::make_unique<users_platform::ControlApi>(aAnnouncements);
  };
  parts.reloadSettings = [aPath] {
    return users_platform::ReadSettingsFile(aPath);
  };
  node::Node daemon(aSettings, std::move(parts), log);
  const auto started = daemon.Start();
  if (const Error* error = GetError(started)) {
    std::cerr << error->detail << '\n';
    return kRunTimeFailure;
  }
  const int status = daemon.Run();
  // The grace period is shorter than a call to a store that does not answer,
  // so the process does not wait for the threads that make such calls.
  std::_Exit(status);
}

} // namespace

int
main(int argc, char** argv)
{
  cxxopts::Options usage = Usage();
  try {
    const auto arguments = usage.parse(argc, argv);
    if (arguments.count("help")) {
      std::cout << usage.help();
      return 0;
    }
    if (arguments.count("version")) {
      std::cout << "wagtaild-http " WB_VERSION "\n";
      return 0;
    }
    const std::string path = SettingsPath(arguments);
    const auto settings = users_platform::ReadSettingsFile(path);
    if (const Error* error = GetError(settings)) {
      std::cerr << error->detail << '\n';
      return kWrongUsage;
    }
    if (arguments.count("check-settings")) {
      std::cout << "settings are valid\n";
      return 0;
    }
    return RunDaemon(
      path, GetValue(settings), arguments["log-level"].as<std::string>());
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << '\n';
    return kWrongUsage;
  }
}
