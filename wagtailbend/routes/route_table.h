// Configuration of routes and services, and an immutable table that finds the
// route of a request.
//
//   auto table = RouteTable::Make(config);
//   const Route* route = table->Find("shop.example", "/orders/17?x=1");

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wagtailbend/base/time.h"

namespace wagtailbend::routes {

/// Share of a route's requests that goes to one service.
struct Split
{
  std::string service;
  /// Relative to the sum over all splits of the route.
  double weight = 1;

  bool operator==(const Split&) const = default;
};

/// Requests with one host and path prefix, and how they are handled.
struct Route
{
  std::string name;
  std::string host;
  /// Path prefix. Starts and ends with a slash.
  std::string prefix;
  /// A request may safely run more than once.
  bool idempotent = false;
  /// Responses are large.
  bool bulk = false;
  /// Maximum time until the response; zero means no limit.
  Duration timeout{};
  /// Latency objective: a response within this time has its full value.
  Duration objective{};
  /// 0 is the most important priority.
  uint32_t priority = 0;
  /// Maximum number of targets that may receive one request.
  uint32_t maxAttempts = 1;
  /// Not empty.
  std::vector<Split> splits;

  bool operator==(const Route&) const = default;
};

/// Settings of a service.
struct ServiceConfig
{
  std::string name;
  std::string healthPath;
  uint32_t connectionLimit = 0;

  bool operator==(const ServiceConfig&) const = default;
};

/// Limits on the requests and connections of clients.
struct ClientLimits
{
  uint32_t maxHeaderBytes = 16 * 1024;
  uint64_t maxBodyBytes = 64UL * 1024 * 1024;
  Duration headerTimeout = std::chrono::seconds(5);
  Duration idleTimeout = std::chrono::seconds(15);

  bool operator==(const ClientLimits&) const = default;
};

/// A version of the routing configuration.
struct RouteConfig
{
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceConfig> services;
  ClientLimits limits;

  bool operator==(const RouteConfig&) const = default;
};

/// Returns a description of the first error in a configuration, or an empty
/// string. Thread-safe.
std::string
ValidateRouteConfig(const RouteConfig& aConfig);

/// Finds routes by host and path. Immutable, so all const methods are
/// thread-safe.
class RouteTable
{
public:
  /// Precondition: ValidateRouteConfig(aConfig) returns an empty string.
  static std::shared_ptr<const RouteTable> Make(RouteConfig aConfig);

  const RouteConfig& Config() const { return m_config; }
  uint64_t Version() const { return m_config.version; }

  /// Returns the route of aHost with the longest prefix of the path of aTarget
  /// (a request target), or nullptr. aHost may include a port.
  const Route* Find(std::string_view aHost, std::string_view aTarget) const;

private:
  explicit RouteTable(RouteConfig aConfig);

  RouteConfig m_config;
  /// By lower-case host without port, sorted by descending prefix length.
  std::unordered_map<std::string, std::vector<const Route*>> m_byHost;
};

} // namespace wagtailbend::routes
