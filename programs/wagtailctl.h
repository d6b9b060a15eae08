// The operators' command line as a library function.
//
//   std::ostringstream out, err;
//   int status = RunCtl({ "schema", "check", "a.proto" }, out, err);

#pragma once

#include <ostream>
#include <string>
#include <vector>

#include "wagtailbend/base/time.h"

namespace cxxopts {
class ParseResult;
}

namespace wagtailbend::ctl {

inline constexpr int kExitOk = 0;
/// Run-time failure, lost race or unknown outcome.
inline constexpr int kExitFailure = 1;
/// Wrong usage, settings or schema; nothing was changed.
inline constexpr int kExitUsage = 2;

/// Longest wait for one RPC to a daemon.
inline constexpr Duration kRpcTimeout = std::chrono::seconds(2);

struct Streams
{
  std::ostream& out;
  std::ostream& err;
};

/// Runs one command with the arguments after the program's name and returns
/// its exit status. Blocks on daemons and the platform.
int
RunCtl(const std::vector<std::string>& aArgs,
       std::ostream& aOut,
       std::ostream& aErr);

/// The subcommand `apply FILE`.
int
RunApply(const cxxopts::ParseResult& aOptions,
         const std::string& aFile,
         const Streams& aStreams);

} // namespace wagtailbend::ctl
