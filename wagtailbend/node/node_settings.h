// Everything that the daemon of the HTTP path learns at its start.

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
  /// Service of the target on this VM.
  std::string service;
  /// IPv4:port each.
  std::string targetAddress;
  std::string clientAddress;
  std::string readyAddress;
  std::string announceAddress;
  std::string storeAddress;
  /// Ports of all VMs for messages between daemons. The first serves the mesh,
  /// the second the metrics.
  uint16_t firstInternalPort = 0;
  uint16_t lastInternalPort = 0;
  uint64_t memoryBytes = 256ULL * 1024 * 1024;
  uint32_t fileDescriptors = 4096;
  Duration heartbeatInterval = std::chrono::milliseconds(1500);
  /// From SIGTERM to SIGKILL.
  Duration gracePeriod = std::chrono::seconds(6);
  /// Extra arrivals at a service in 10 s: ratio of its requests, plus a number.
  double retryRatio = 0.1;
  uint32_t retryExtra = 10;

  bool operator==(const NodeSettings&) const = default;
};

} // namespace wagtailbend::node
