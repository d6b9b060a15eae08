// The table of settings: one row per setting with its member, value format or
// range, default and description. Parsing, validation and documentation are all
// generated from it.

#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "wagtailbend/settings/settings.h"

namespace wagtailbend::settings::internal {

// Syntax that the value of a string setting must have.
enum class ValueFormat : uint8_t
{
  kName,
  kAddress,
  kLoopbackAddress,
  kUrl,
  kPath,
  kLogLevel,
};

struct StringSetting
{
  const char* name;
  std::string Settings::*member;
  ValueFormat format;
  // nullptr if the setting is required.
  const char* defaultValue;
  const char* description;
};

struct IntegerSetting
{
  const char* name;
  uint32_t Settings::*member;
  uint32_t defaultValue;
  uint32_t minimum;
  uint32_t maximum;
  const char* unit;
  const char* description;
};

struct StringListSetting
{
  const char* name;
  std::vector<std::string> Settings::*member;
  ValueFormat format;
  const char* description;
};

inline constexpr std::array kStringSettings = {
  StringSetting{ "name",
                 &Settings::name,
                 ValueFormat::kName,
                 nullptr,
                 "Name of this daemon, unique in the deployment." },
  StringSetting{ "failure_domain",
                 &Settings::failureDomain,
                 ValueFormat::kName,
                 nullptr,
                 "Failure domain of this VM, as declared in the schema." },
  StringSetting{ "listen.customer",
                 &Settings::customerAddress,
                 ValueFormat::kAddress,
                 nullptr,
                 "gRPC address for customers." },
  StringSetting{ "listen.peer",
                 &Settings::peerAddress,
                 ValueFormat::kAddress,
                 nullptr,
                 "gRPC address for other daemons." },
  StringSetting{ "listen.egress",
                 &Settings::egressAddress,
                 ValueFormat::kLoopbackAddress,
                 nullptr,
                 "gRPC address for downstream calls of the local target." },
  StringSetting{ "listen.admin",
                 &Settings::adminAddress,
                 ValueFormat::kAddress,
                 nullptr,
                 "gRPC address for operators." },
  StringSetting{ "listen.gossip",
                 &Settings::gossipAddress,
                 ValueFormat::kAddress,
                 nullptr,
                 "UDP address for membership messages." },
  StringSetting{ "listen.http",
                 &Settings::httpAddress,
                 ValueFormat::kAddress,
                 nullptr,
                 "HTTP address for metrics and for the local target." },
  StringSetting{ "platform.url",
                 &Settings::platformUrl,
                 ValueFormat::kUrl,
                 "",
                 "Base URL of the platform; empty: run without it." },
  StringSetting{ "schema_file",
                 &Settings::schemaFile,
                 ValueFormat::kPath,
                 "",
                 "Schema used until a configuration is in force." },
  StringSetting{ "log.level",
                 &Settings::logLevel,
                 ValueFormat::kLogLevel,
                 "info",
                 "Lowest level that is logged: debug, info, warn or error." },
  StringSetting{ "trace.url",
                 &Settings::traceUrl,
                 ValueFormat::kUrl,
                 "",
                 "Base URL of an OTLP/HTTP receiver; empty: no export." },
};

inline constexpr std::array kIntegerSettings = {
  IntegerSetting{ "platform.timeout_ms",
                  &Settings::platformTimeoutMs,
                  // Linux retransmits a lost SYN after 1 s. With 1000 ms, one
                  // lost packet failed the whole request.
                  1500,
                  10,
                  60'000,
                  "ms",
                  "Time allowed for one request to the platform." },
  IntegerSetting{ "trace.sample_per_million",
                  &Settings::traceSamplePerMillion,
                  10'000,
                  0,
                  1'000'000,
                  "1/1000000",
                  "Share of new traces that are recorded." },
  IntegerSetting{ "drain.timeout_ms",
                  &Settings::drainTimeoutMs,
                  120'000,
                  0,
                  3'600'000,
                  "ms",
                  "Longest wait for work in flight during a graceful stop." },
  IntegerSetting{ "target.heartbeat_timeout_ms",
                  &Settings::heartbeatTimeoutMs,
                  1000,
                  100,
                  60'000,
                  "ms",
                  "A target without a heartbeat for this long is removed." },
};

inline constexpr std::array kStringListSettings = {
  StringListSetting{ "seeds",
                     &Settings::seeds,
                     ValueFormat::kAddress,
                     "Gossip addresses of first peers." },
};

} // namespace wagtailbend::settings::internal
