// Settings of a daemon: JSON with comments, validated as a whole.
//
//   Result<Settings> settings = LoadSettings("wagtaild.json");
//   if (const Error* error = GetError(settings)) {
//     std::cerr << error->detail;   // one line for each problem
//     return 2;
//   }

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailbend/base/result.h"

namespace wagtailbend::settings {

/// Immutable after loading. Addresses are "IP:port" with an IPv4 number.
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
  /// Gossip addresses of first peers, used when the platform is unavailable.
  std::vector<std::string> seeds;
  /// Compiled at start and used until a configuration is in force.
  std::string schemaFile;
  std::string logLevel;
  /// Base URL of an OTLP/HTTP receiver; empty: spans are not exported.
  std::string traceUrl;
  uint32_t traceSamplePerMillion = 0;
  uint32_t drainTimeoutMs = 0;
  uint32_t heartbeatTimeoutMs = 0;

  bool operator==(const Settings&) const = default;
};

/// One row of the table of settings, for documentation.
struct SettingDescription
{
  std::string name;
  std::string type;
  std::string unit;
  std::string defaultValue;
  std::string range;
  std::string text;
};

/// Parses and validates aText. aSource names the origin in messages. On failure
/// the kind is kInvalidRequest and the detail holds one line
/// "source: field: reason" for each problem. Thread-safe.
Result<Settings>
ParseSettings(std::string_view aText, std::string_view aSource);

/// Reads aPath and calls ParseSettings. Thread-safe.
Result<Settings>
LoadSettings(const std::string& aPath);

/// Returns every setting in the order of the table. Thread-safe.
std::vector<SettingDescription>
DescribeSettings();

/// Splits "IP:port". Returns false if aText is not an IPv4 number and a port.
/// Thread-safe.
bool
ParseAddress(std::string_view aText, std::string& aHost, uint16_t& aPort);

} // namespace wagtailbend::settings
