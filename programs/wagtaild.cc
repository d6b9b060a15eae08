// The daemon.

#include <iostream>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include "wagtailbend/daemon/daemon.h"
#include "wagtailbend/observability/event_log.h"

namespace {

using wagtailbend::Error;
using wagtailbend::ErrorKind;
using wagtailbend::GetError;
using wagtailbend::GetValue;
using wagtailbend::TakeValue;
using wagtailbend::daemon::Daemon;
using wagtailbend::daemon::DaemonOptions;

constexpr int kRunTimeFailure = 1;
constexpr int kWrongUsage = 2;

int
CheckSchema(const std::string& aSchemaFile)
{
  if (!aSchemaFile.empty()) {
    auto compiled = wagtailbend::schema::CompileSchemaFile(aSchemaFile, {});
    if (const Error* error = GetError(compiled)) {
      std::cerr << error->detail << '\n';
      return kWrongUsage;
    }
  }
  std::cout << "settings are valid\n";
  return 0;
}

int
RunDaemon(const DaemonOptions& aOptions)
{
  wagtailbend::observability::StartLogging(aOptions.settings.logLevel);
  auto started = Daemon::Start(aOptions);
  if (const Error* error = GetError(started)) {
    std::cerr << error->detail << '\n';
    return error->kind == ErrorKind::kInvalidRequest ? kWrongUsage
                                                     : kRunTimeFailure;
  }
  std::unique_ptr<Daemon> daemon = TakeValue(std::move(started));
  std::cout << fmt::format("event=ready daemon={} customer={} peer={} egress={}"
                           " http={}\n",
                           daemon->Id().ToString(),
                           aOptions.settings.customerAddress,
                           aOptions.settings.peerAddress,
                           aOptions.settings.egressAddress,
                           aOptions.settings.httpAddress)
            << std::flush;
  int status = daemon->Run();
  daemon.reset();
  wagtailbend::observability::StopLogging();
  std::cout << fmt::format("event=stopped status={}\n", status) << std::flush;
  return status;
}

cxxopts::Options
Usage()
{
  cxxopts::Options usage("wagtaild", "Overload control daemon of one VM");
  usage.add_options()(
    "settings", "settings file", cxxopts::value<std::string>())(
    "check-settings", "check the settings and exit")(
    "version", "print the version")("help", "print this help");
  return usage;
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
      std::cout << "wagtaild " WB_VERSION "\n";
      return 0;
    }
    if (!arguments.count("settings")) {
      std::cerr << "--settings is required\n";
      return kWrongUsage;
    }
    auto settings = wagtailbend::settings::LoadSettings(
      arguments["settings"].as<std::string>());
    if (const Error* error = GetError(settings)) {
      std::cerr << error->detail << '\n';
      return kWrongUsage;
    }
    if (arguments.count("check-settings")) {
      return CheckSchema(GetValue(settings).schemaFile);
    }
    DaemonOptions options;
    options.settings = TakeValue(std::move(settings));
    options.reload = [file = arguments["settings"].as<std::string>()] {
      return wagtailbend::settings::LoadSettings(file);
    };
    return RunDaemon(options);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << '\n';
    return kWrongUsage;
  }
}
