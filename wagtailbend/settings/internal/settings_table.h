// The table of settings: one row per setting with its member, rule, default
// and text. Parsing, validation and documentation all read it.

#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "wagtailbend/settings/settings.h"

namespace wagtailbend::settings::internal {

enum class Rule : uint8_t
{
  kName,
  kAddress,
  kLoopbackAddress,
  kUrl,
  kPath,
  kLogLevel,
};

struct TextField
{
  const char* name;
  std::string Settings::*member;
  Rule rule;
  // nullptr: the setting is required.
  const char* defaultValue;
  const char* text;
};

struct NumberField
{
  const char* name;
  uint32_t Settings::*member;
  uint32_t defaultValue;
  uint32_t minimum;
  uint32_t maximum;
  const char* unit;
  const char* text;
};

struct ListField
{
  const char* name;
  std::vector<std::string> Settings::*member;
  Rule rule;
  const char* text;
};

inline constexpr std::array kTextFields = {
  TextField{ "name",
             &Settings::name,
             Rule::kName,
             nullptr,
             "Name of this daemon, unique in the deployment." },
  TextField{ "failure_domain",
             &Settings::failureDomain,
             Rule::kName,
             nullptr,
             "Failure domain of this VM, as declared in the schema." },
  TextField{ "listen.customer",
             &Settings::customerAddress,
             Rule::kAddress,
             nullptr,
             "gRPC address for customers." },
  TextField{ "listen.peer",
             &Settings::peerAddress,
             Rule::kAddress,
             nullptr,
             "gRPC address for other daemons." },
  TextField{ "listen.egress",
             &Settings::egressAddress,
             Rule::kLoopbackAddress,
             nullptr,
             "gRPC address for downstream calls of the local target." },
  TextField{ "listen.admin",
             &Settings::adminAddress,
             Rule::kAddress,
             nullptr,
             "gRPC address for operators." },
  TextField{ "listen.gossip",
             &Settings::gossipAddress,
             Rule::kAddress,
             nullptr,
             "UDP address for membership messages." },
  TextField{ "listen.http",
             &Settings::httpAddress,
             Rule::kAddress,
             nullptr,
             "HTTP address for metrics and for the local target." },
  TextField{ "platform.url",
             &Settings::platformUrl,
             Rule::kUrl,
             "",
             "Base URL of the platform; empty: run without it." },
  TextField{ "schema_file",
             &Settings::schemaFile,
             Rule::kPath,
             "",
             "Schema used until a configuration is in force." },
  TextField{ "log.level",
             &Settings::logLevel,
             Rule::kLogLevel,
             "info",
             "Lowest level that is logged: debug, info, warn or error." },
  TextField{ "trace.url",
             &Settings::traceUrl,
             Rule::kUrl,
             "",
             "Base URL of an OTLP/HTTP receiver; empty: no export." },
};

inline constexpr std::array kNumberFields = {
  NumberField{ "platform.timeout_ms",
               &Settings::platformTimeoutMs,
               // Above the 1 s after which Linux repeats a lost SYN; with 1000
               // one lost packet failed the whole request.
               1500,
               10,
               60'000,
               "ms",
               "Time allowed for one request to the platform." },
  NumberField{ "trace.sample_per_million",
               &Settings::traceSamplePerMillion,
               10'000,
               0,
               1'000'000,
               "1/1000000",
               "Share of new traces that are recorded." },
  NumberField{ "drain.timeout_ms",
               &Settings::drainTimeoutMs,
               120'000,
               0,
               3'600'000,
               "ms",
               "Longest wait for work in flight during a graceful stop." },
  NumberField{ "target.heartbeat_timeout_ms",
               &Settings::heartbeatTimeoutMs,
               1000,
               100,
               60'000,
               "ms",
               "A target without a heartbeat for this long is removed." },
};

inline constexpr std::array kListFields = {
  ListField{ "seeds",
             &Settings::seeds,
             Rule::kAddress,
             "Gossip addresses of first peers." },
};

} // namespace wagtailbend::settings::internal
