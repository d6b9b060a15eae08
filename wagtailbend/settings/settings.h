// Settings of a daemon, read from JSON with comments. All problems of a file
// are reported together.
//
//   Result<Settings> settings = LoadSettings("wagtaild.json");
//   if (const Error* error = GetError(settings)) {
//     std::cerr << error->detail;   // one line per problem
//     return 2;
//   }

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailbend/base/result.h"

namespace wagtailbend::settings {

/// Immutable after loading. Addresses are "IP:port" with an IPv4 address.
struct Settings
{
  std::string name;
  std::string failureDomain;
  std::string customerAddress;
  std::string peerAddress;
  std::string egressAddress;
  std::string adminAddress;
  std::string gossipAddress;
  std::string httpAddress;
  std::string platformUrl;
  uint32_t platformTimeoutMs = 0;
  /// Gossip addresses of the initial peers, used when the platform is
  /// unavailable.
  std::vector<std::string> seeds;
  /// Path of the schema that is compiled at start and used until a
  /// configuration takes effect.
  std::string schemaFile;
  std::string logLevel;
  /// Base URL of an OTLP/HTTP receiver. If empty, spans are not exported.
  std::string traceUrl;
  uint32_t traceSamplePerMillion = 0;
  uint32_t drainTimeoutMs = 0;
  uint32_t heartbeatTimeoutMs = 0;

  bool operator==(const Settings&) const = default;
};

/// Documentation of one setting.
struct SettingDescription
{
  std::string name;
  std::string type;
  std::string unit;
  std::string defaultValue;
  std::string range;
  std::string description;
};

/// Parses and validates aText. aSource is the file name used in error messages.
/// On failure the error kind is kInvalidRequest and the detail contains one
/// line "source: setting: reason" per problem. Thread-safe.
Result<Settings>
ParseSettings(std::string_view aText, std::string_view aSource);

/// Reads the file aPath and parses it with ParseSettings. Thread-safe.
Result<Settings>
LoadSettings(const std::string& aPath);

/// Returns the documentation of every setting: strings, integers, lists.
/// Thread-safe.
std::vector<SettingDescription>
DescribeSettings();

/// Splits "IP:port" into aHost and aPort. Returns false if aText is not an IPv4
/// address and a port. Thread-safe.
bool
ParseAddress(std::string_view aText, std::string& aHost, uint16_t& aPort);

} // namespace wagtailbend::settings
