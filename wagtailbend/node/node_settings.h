// Settings that the daemon of the HTTP path receives at startup.

#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "wagtailbend/base/time.h"

namespace wagtailbend::node {

struct NodeSettings
{
  /// Name of the VM.
  std::string name;
  /// IPv4 address of the VM.
  std::string address;
  std::string failureDomain;
  std::string region;
  /// Region of each failure domain.
  std::map<std::string, std::string> regions;
  /// Service of the local target.
  std::string service;
  /// Endpoints as IPv4:port.
  std::string targetAddress;
  std::string clientAddress;
  std::string readyAddress;
  std::string announceAddress;
  std::string storeAddress;
  /// Port range reserved on every VM for traffic between daemons. The first
  /// port serves the mesh, the second the metrics.
  uint16_t firstInternalPort = 0;
  uint16_t lastInternalPort = 0;
  uint64_t memoryBytes = 256ULL * 1024 * 1024;
  uint32_t fileDescriptors = 4096;
  Duration heartbeatInterval = std::chrono::milliseconds(1500);
  /// Time between SIGTERM and SIGKILL.
  Duration gracePeriod = std::chrono::seconds(6);
  /// Retry budget of a service in 10 s: retryRatio of its requests plus
  /// retryExtra.
  double retryRatio = 0.1;
  uint32_t retryExtra = 10;

  bool operator==(const NodeSettings&) const = default;
};

} // namespace wagtailbend::node
