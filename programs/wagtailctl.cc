#include "programs/wagtailctl.h"

#include <functional>
#include <map>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include "programs/admin_client.h"
#include "wagtailbend/config/config_store.h"
#include "wagtailbend/schema/schema.h"
#include "wagtailbend/settings/settings.h"
#include "wagtailbend/store/http_platform.h"

namespace wagtailbend::ctl {
namespace {

using Options = cxxopts::ParseResult;
using Args = std::vector<std::string>;

// What a subcommand accepts and how it runs.
struct Command
{
  const char* usage;
  const char* help;
  /// Options that must be given.
  std::vector<std::string> required;
  /// Number of positional arguments.
  size_t arguments;
  std::function<int(const Options&, const std::string&, const Streams&)> run;
};

int
Fail(const Streams& aStreams, int aStatus, const std::string& aReason)
{
  aStreams.err << aReason << '\n';
  return aStatus;
}

int
CheckSchema(const Options&, const std::string& aFile, const Streams& aStreams)
{
  const auto compiled = schema::CompileSchemaFile(aFile, {});
  if (const Error* error = GetError(compiled)) {
    return Fail(aStreams, kExitUsage, error->detail);
  }
  const auto& value = GetValue(compiled);
  aStreams.out << fmt::format("{}: valid services={} methods={} bytes={}\n",
                              aFile,
                              value.schema.Services().size(),
                              value.schema.Methods().size(),
                              value.descriptorSet.size());
  return kExitOk;
}

int
CheckSettings(const Options&, const std::string& aFile, const Streams& aStreams)
{
  const auto loaded = settings::LoadSettings(aFile);
  if (const Error* error = GetError(loaded)) {
    return Fail(aStreams, kExitUsage, error->detail);
  }
  aStreams.out << fmt::format("{}: valid\n", aFile);
  return kExitOk;
}

int
ShowStatus(const Options& aOptions, const std::string&, const Streams& aStreams)
{
  int exitStatus = kExitOk;
  for (const auto& address :
       aOptions["daemons"].as<std::vector<std::string>>()) {
    admin::StatusReply reply;
    const auto status = AdminClient(address).Call(
      &AdminClient::Stub::Status, admin::StatusRequest(), reply);
    if (!status.ok()) {
      exitStatus = Fail(aStreams,
                        kExitFailure,
                        fmt::format("{}: {}", address, status.error_message()));
      continue;
    }
    aStreams.out << fmt::format(
      "address={} daemon={} domain={} region={} version={} draining={}\n",
      address,
      reply.daemon(),
      reply.failure_domain(),
      reply.region(),
      reply.config_version(),
      reply.draining());
    for (const auto& line : reply.lines()) {
      aStreams.out << "  " << line << '\n';
    }
  }
  return exitStatus;
}

int
StartDrain(const Options& aOptions, const std::string&, const Streams& aStreams)
{
  const auto address = aOptions["daemon"].as<std::string>();
  admin::DrainReply reply;
  const auto status = AdminClient(address).Call(
    &AdminClient::Stub::Drain, admin::DrainRequest(), reply);
  if (!status.ok()) {
    return Fail(aStreams,
                kExitFailure,
                fmt::format("{}: {}", address, status.error_message()));
  }
  aStreams.out << fmt::format("{}: {}\n",
                              address,
                              reply.started() ? "drain started"
                                              : "drain already under way");
  return kExitOk;
}

int
LookupOrder(const Options& aOptions,
            const std::string& aTicket,
            const Streams& aStreams)
{
  const auto address = aOptions["daemon"].as<std::string>();
  admin::LookupOrderRequest request;
  request.set_ticket(aTicket);
  admin::LookupOrderReply reply;
  const auto status =
    AdminClient(address).Call(&AdminClient::Stub::LookupOrder, request, reply);
  if (status.error_code() == grpc::StatusCode::UNIMPLEMENTED) {
    return Fail(
      aStreams,
      kExitFailure,
      fmt::format("{}: order: not supported by this daemon", address));
  }
  if (!status.ok()) {
    return Fail(aStreams,
                kExitFailure,
                fmt::format("{}: {}", address, status.error_message()));
  }
  aStreams.out << fmt::format(
    "ticket={} outcome={} {}\n", aTicket, reply.outcome(), reply.detail());
  return kExitOk;
}

int
ShowHistory(const Options& aOptions,
            const std::string&,
            const Streams& aStreams)
{
  const auto platform =
    store::HttpPlatform::Create(aOptions["platform"].as<std::string>(), {});
  if (const Error* error = GetError(platform)) {
    return Fail(aStreams, kExitUsage, error->detail);
  }
  const auto history = config::ConfigStore(*GetValue(platform)).History();
  if (const Error* error = GetError(history)) {
    return Fail(aStreams, kExitFailure, error->detail);
  }
  for (const auto& entry : GetValue(history)) {
    aStreams.out << fmt::format("version={} change_id={} digest={}\n",
                                entry.version,
                                entry.changeId,
                                entry.digest);
  }
  return kExitOk;
}

const std::map<std::string, Command>&
Commands()
{
  static const std::map<std::string, Command> commands = {
    { "schema check",
      { "FILE", "Validate a schema file", {}, 1, CheckSchema } },
    { "settings check",
      { "FILE", "Validate a settings file", {}, 1, CheckSettings } },
    { "apply",
      { "FILE --platform URL [--daemons HOST:PORT,...] [--change-id ID] "
        "[--wait]",
        "Accept a schema as the new configuration and push it to daemons; "
        "other daemons poll for it",
        { "platform" },
        1,
        RunApply } },
    { "status",
      { "--daemons HOST:PORT,...",
        "Print the state of daemons",
        { "daemons" },
        0,
        ShowStatus } },
    { "drain",
      { "--daemon HOST:PORT",
        "Drain one daemon's target",
        { "daemon" },
        0,
        StartDrain } },
    { "history",
      { "--platform URL",
        "Print all accepted changes",
        { "platform" },
        0,
        ShowHistory } },
    { "order",
      { "TICKET --daemon HOST:PORT",
        "Look up the outcome of an order",
        { "daemon" },
        1,
        LookupOrder } },
  };
  return commands;
}

cxxopts::Options
MakeOptions(const std::string& aName)
{
  cxxopts::Options options("wagtailctl " + aName);
  auto add = options.add_options();
  add("platform", "URL of the platform", cxxopts::value<std::string>());
  add("daemons",
      "Admin addresses, separated by commas",
      cxxopts::value<std::vector<std::string>>());
  add("daemon", "Admin address", cxxopts::value<std::string>());
  add("change-id",
      "Identifies the change when it is sent again (default: random)",
      cxxopts::value<std::string>());
  add("wait", "Wait up to 7 s until all daemons have the version in force");
  add("help", "Print this help");
  add("arguments", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({ "arguments" });
  return options;
}

void
PrintHelp(std::ostream& aOut)
{
  aOut << "Operators' command line of wagtailbend.\n\nUsage:\n";
  for (const auto& [name, command] : Commands()) {
    aOut << fmt::format("  wagtailctl {} {}\n", name, command.usage)
         << fmt::format("      {}\n", command.help);
  }
  aOut << "  wagtailctl --help | --version | COMMAND --help\n";
}

int
RunCommand(const std::string& aName,
           const Command& aCommand,
           const Args& aArgs,
           const Streams& aStreams)
{
  std::vector<const char*> argv{ "wagtailctl" };
  for (const auto& arg : aArgs) {
    argv.push_back(arg.c_str());
  }
  const Options options =
    MakeOptions(aName).parse(static_cast<int>(argv.size()), argv.data());
  if (options.count("help")) {
    aStreams.out << fmt::format(
      "Usage: wagtailctl {} {}\n{}\n", aName, aCommand.usage, aCommand.help);
    return kExitOk;
  }
  for (const auto& name : aCommand.required) {
    if (!options.count(name)) {
      return Fail(
        aStreams, kExitUsage, fmt::format("{}: --{} is required", aName, name));
    }
  }
  const Args arguments =
    options.count("arguments") ? options["arguments"].as<Args>() : Args();
  if (arguments.size() != aCommand.arguments) {
    return Fail(aStreams,
                kExitUsage,
                fmt::format("usage: wagtailctl {} {}", aName, aCommand.usage));
  }
  return aCommand.run(
    options, arguments.empty() ? "" : arguments.front(), aStreams);
}

} // namespace

int
RunCtl(const std::vector<std::string>& aArgs,
       std::ostream& aOut,
       std::ostream& aErr)
{
  const Streams streams{ aOut, aErr };
  if (!aArgs.empty() && aArgs[0] == "--help") {
    PrintHelp(aOut);
    return kExitOk;
  }
  if (!aArgs.empty() && aArgs[0] == "--version") {
    aOut << "wagtailctl " << WB_VERSION << '\n';
    return kExitOk;
  }
  for (const size_t words : { 2U, 1U }) {
    if (aArgs.size() < words) {
      continue;
    }
    const std::string name = words == 2 ? aArgs[0] + " " + aArgs[1] : aArgs[0];
    const auto found = Commands().find(name);
    if (found == Commands().end()) {
      continue;
    }
    try {
      return RunCommand(
        name,
        found->second,
        Args(aArgs.begin() + static_cast<ptrdiff_t>(words), aArgs.end()),
        streams);
    } catch (const cxxopts::exceptions::exception& e) {
      return Fail(streams, kExitUsage, fmt::format("{}: {}", name, e.what()));
    }
  }
  return Fail(streams, kExitUsage, "unknown command; see wagtailctl --help");
}

} // namespace wagtailbend::ctl
