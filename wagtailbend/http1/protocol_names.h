// Names of the headers that carry the product's own facts. They differ between
// deployments, so that the code that reads and writes them is given the names.

#pragma once

#include <string>

namespace wagtailbend::http1 {

struct ProtocolNames
{
  /// Request and response: the client's id of the attempt.
  std::string requestId;
  /// Request: milliseconds that the caller waits.
  std::string deadlineMs;
  /// Request: id of the target that is meant; another one must not run it.
  std::string expectedTarget;
  /// Request: service of the VM where the request began.
  std::string callerService;
  /// Response: the target's proof that the response is its own.
  std::string seal;
  /// Response: the target did not run the request.
  std::string notRun;
  /// Response: id of the target.
  std::string targetId;

  bool operator==(const ProtocolNames&) const = default;
};

} // namespace wagtailbend::http1
