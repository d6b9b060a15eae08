#include "wagtailbend/routes/route_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace wagtailbend::routes {
namespace {

/// Removes the port and converts to lower case.
std::string
NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  for (char& character : host) {
    if (character >= 'A' && character <= 'Z') {
      character = static_cast<char>(character - 'A' + 'a');
    }
  }
  return host;
}

/// Returns a description of the first error in aRoute, or an empty string.
std::string
ValidateRoute(const Route& aRoute, const std::set<std::string>& aServices)
{
  const std::string& prefix = aRoute.prefix;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    return "the prefix must start and end with a slash";
  }
  if (aRoute.host.empty()) {
    return "the host is empty";
  }
  if (aRoute.splits.empty()) {
    return "the route has no splits";
  }
  double totalWeight = 0;
  for (const Split& split : aRoute.splits) {
    if (!aServices.contains(split.service)) {
      return "unknown service " + split.service;
    }
    if (split.weight < 0) {
      return "a split has a negative weight";
    }
    totalWeight += split.weight;
  }
  return totalWeight > 0 ? "" : "the weights of all splits are zero";
}

} // namespace

std::string
ValidateRouteConfig(const RouteConfig& aConfig)
{
  std::set<std::string> services;
  for (const ServiceConfig& service : aConfig.services) {
    services.insert(service.name);
  }
  std::set<std::pair<std::string, std::string>> hostsAndPrefixes;
  for (const Route& route : aConfig.routes) {
    const std::string error = ValidateRoute(route, services);
    if (!error.empty()) {
      return fmt::format("route {}: {}", route.name, error);
    }
    if (!hostsAndPrefixes.emplace(NormalizeHost(route.host), route.prefix)
           .second) {
      return fmt::format("route {}: another route has the same host and prefix",
                         route.name);
    }
  }
  return "";
}

RouteTable::RouteTable(RouteConfig aConfig)
  : m_config(std::move(aConfig))
{
  for (const Route& route : m_config.routes) {
    m_byHost[NormalizeHost(route.host)].push_back(&route);
  }
  for (auto& [host, routes] : m_byHost) {
    std::stable_sort(routes.begin(),
                     routes.end(),
                     [](const Route* aLeft, const Route* aRight) {
                       return aLeft->prefix.size() > aRight->prefix.size();
                     });
  }
}

std::shared_ptr<const RouteTable>
RouteTable::Make(RouteConfig aConfig)
{
  return std::shared_ptr<const RouteTable>(new RouteTable(std::move(aConfig)));
}

const Route*
RouteTable::Find(std::string_view aHost, std::string_view aTarget) const
{
  const auto found = m_byHost.find(NormalizeHost(aHost));
  if (found == m_byHost.end()) {
    return nullptr;
  }
  const std::string_view path = aTarget.substr(0, aTarget.find('?'));
  for (const Route* route : found->second) {
    if (path.starts_with(route->prefix)) {
      return route;
    }
  }
  return nullptr;
}

} // namespace wagtailbend::routes
