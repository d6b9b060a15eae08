// The operators' routes as an immutable value with a fast lookup.
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

/// A service and its share of a route's requests.
struct Split
{
  std::string service;
  double weight = 1;

  bool operator==(const Split&) const = default;
};

struct Route
{
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// A request may run more than once.
  bool idempotent = false;
  /// Large responses.
  bool bulk = false;
  /// Longest time that a caller is kept waiting; zero: no limit.
  Duration timeout{};
  /// A response within this time is worth its full value.
  Duration objective{};
  /// 0 is the most important.
  uint32_t priority = 0;
  /// Targets that one request may be sent to.
  uint32_t maxAttempts = 1;
  /// At least one.
  std::vector<Split> splits;

  bool operator==(const Route&) const = default;
};

struct ServiceEntry
{
  std::string name;
  std::string healthPath;
  uint32_t connectionLimit = 0;

  bool operator==(const ServiceEntry&) const = default;
};

/// What a client may send, and how long it may take or stay idle.
struct ClientLimits
{
  uint32_t maxHeaderBytes = 16 * 1024;
  uint64_t maxBodyBytes = 64UL * 1024 * 1024;
  Duration headerTimeout = std::chrono::seconds(5);
  Duration idleTimeout = std::chrono::seconds(15);

  bool operator==(const ClientLimits&) const = default;
};

struct RouteConfig
{
  uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceEntry> services;
  ClientLimits limits;

  bool operator==(const RouteConfig&) const = default;
};

/// Returns what is wrong with a configuration, or an empty text. Thread-safe.
std::string
FindProblem(const RouteConfig& aConfig);

/// Immutable, so that all const methods are thread-safe.
class RouteTable
{
public:
  /// Precondition: FindProblem(aConfig) is empty.
  static std::shared_ptr<const RouteTable> Make(RouteConfig aConfig);

  const RouteConfig& Config() const { return m_config; }
  uint64_t Version() const { return m_config.version; }

  /// Returns the route of that host with the longest prefix that begins the
  /// path of aTarget, or nullptr. aHost may carry a port.
  const Route* Find(std::string_view aHost, std::string_view aTarget) const;

private:
  explicit RouteTable(RouteConfig aConfig);

  RouteConfig m_config;
  /// By host in lower case; longest prefix first.
  std::unordered_map<std::string, std::vector<const Route*>> m_byHost;
};

} // namespace wagtailbend::routes
