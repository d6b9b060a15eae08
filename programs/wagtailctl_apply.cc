#include <set>
#include <thread>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include "programs/admin_client.h"
#include "programs/wagtailctl.h"
#include "wagtailbend/base/ids.h"
#include "wagtailbend/config/config_store.h"
#include "wagtailbend/schema/schema.h"
#include "wagtailbend/store/http_platform.h"

namespace wagtailbend::ctl {
namespace {

using config::ConfigVersion;

// The bound within which an accepted configuration is in force (R8).
constexpr Duration kWaitLimit = std::chrono::seconds(7);
constexpr Duration kWaitStep = std::chrono::milliseconds(200);

// Pushes the configuration; returns the daemon's version, 0 on failure.
uint64_t
Push(const std::string& aAddress,
     const ConfigVersion& aVersion,
     const std::string& aBody)
{
  admin::PushConfigRequest request;
  request.mutable_version()->set_version(aVersion.version);
  request.mutable_version()->set_change_id(aVersion.changeId);
  request.mutable_version()->set_digest(aVersion.digest);
  request.set_body(aBody);
  admin::PushConfigReply reply;
  const auto status =
    AdminClient(aAddress).Call(&AdminClient::Stub::PushConfig, request, reply);
  return status.ok() ? reply.version_in_force() : 0;
}

// Pushes to all daemons and prints which have the version in force.
int
Distribute(const std::vector<std::string>& aDaemons,
           const ConfigVersion& aVersion,
           const std::string& aBody,
           bool aWait,
           const Streams& aStreams)
{
  std::set<std::string> missing(aDaemons.begin(), aDaemons.end());
  const TimePoint end = MonotonicNow() + kWaitLimit;
  while (true) {
    std::erase_if(missing, [&](const std::string& aAddress) {
      return Push(aAddress, aVersion, aBody) >= aVersion.version;
    });
    if (missing.empty() || !aWait || MonotonicNow() + kWaitStep >= end) {
      break;
    }
    std::this_thread::sleep_for(kWaitStep);
  }
  for (const auto& address : aDaemons) {
    aStreams.out << fmt::format("daemon={} in_force={}\n",
                                address,
                                missing.contains(address) ? "no" : "yes");
  }
  return aWait && !missing.empty() ? kExitFailure : kExitOk;
}

std::string
RandomChangeId()
{
  Rng rng = MakeSeededRng();
  return RequestId::Random(rng).ToString();
}

// Prints the outcome of a change that was not accepted.
int
ReportNotAccepted(const config::AcceptResult& aResult,
                  const std::string& aChangeId,
                  bool aMayBeResent,
                  const Streams& aStreams)
{
  if (const auto* lost = std::get_if<config::LostRace>(&aResult)) {
    aStreams.err << fmt::format(
      "conflict: version {} (change id {}) was accepted first\n",
      lost->winner.version,
      lost->winner.changeId);
    return kExitFailure;
  }
  const auto* unknown = std::get_if<config::OutcomeUnknown>(&aResult);
  const auto* error = std::get_if<Error>(&aResult);
  const std::string& detail = unknown ? unknown->detail : error->detail;
  if (error && error->kind == ErrorKind::kInvalidRequest) {
    aStreams.err << detail << '\n';
    return kExitUsage;
  }
  // With a change id that may have been sent before, a failure of this attempt
  // proves nothing about the earlier one.
  if (unknown || aMayBeResent) {
    aStreams.err << fmt::format(
      "unknown: {}; repeat with --change-id {}\n", detail, aChangeId);
  } else {
    aStreams.err << fmt::format("rejected, nothing accepted: {}\n", detail);
  }
  return kExitFailure;
}

} // namespace

int
RunApply(const cxxopts::ParseResult& aOptions,
         const std::string& aFile,
         const Streams& aStreams)
{
  const auto compiled = schema::CompileSchemaFile(aFile, {});
  if (const Error* error = GetError(compiled)) {
    aStreams.err << error->detail << '\n';
    return kExitUsage;
  }
  const auto platform =
    store::HttpPlatform::Create(aOptions["platform"].as<std::string>(), {});
  if (const Error* error = GetError(platform)) {
    aStreams.err << error->detail << '\n';
    return kExitUsage;
  }
  const bool mayBeResent = aOptions.count("change-id") != 0;
  const std::string changeId =
    mayBeResent ? aOptions["change-id"].as<std::string>() : RandomChangeId();
  const std::string& body = GetValue(compiled).descriptorSet;
  const auto result =
    config::ConfigStore(*GetValue(platform)).Accept({ changeId, body });
  const auto* accepted = std::get_if<config::Accepted>(&result);
  if (!accepted) {
    return ReportNotAccepted(result, changeId, mayBeResent, aStreams);
  }
  aStreams.out << fmt::format("accepted version={} change_id={} digest={}\n",
                              accepted->version.version,
                              accepted->version.changeId,
                              accepted->version.digest);
  std::vector<std::string> daemons;
  if (aOptions.count("daemons")) {
    daemons = aOptions["daemons"].as<std::vector<std::string>>();
  }
  return Distribute(
    daemons, accepted->version, body, aOptions.count("wait") != 0, aStreams);
}

} // namespace wagtailbend::ctl
