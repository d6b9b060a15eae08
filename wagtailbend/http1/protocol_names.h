// Names of the HTTP headers of the overload control protocol. They differ
// between deployments, so code that reads or writes these headers receives the
// names.

#pragma once

#include <string>

namespace wagtailbend::http1 {

struct ProtocolNames
{
  /// Request and response: the attempt's id, chosen by the client.
  std::string requestId;
  /// Request: milliseconds for which the caller waits for the response.
  std::string deadlineMs;
  /// Request: id of the addressed target; any other target must not execute it.
  std::string expectedTarget;
  /// Request: service of the VM that originated the request.
  std::string callerService;
  /// Response: signature that proves which target created the response.
  std::string responseSignature;
  /// Response: the target did not execute the request.
  std::string notRun;
  /// Response: id of the target that responded.
  std::string targetId;
  /// Response: requests per second that the target accepts from all callers
  /// together, as a decimal number.
  std::string requestRateLimit;
  /// Response: "1" if the target is leaving.
  std::string targetLeaving;

  bool operator==(const ProtocolNames&) const = default;
};

} // namespace wagtailbend::http1
