#include "wagtailbend/routes/route_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace wagtailbend::routes {
namespace {

std::string
HostKey(std::string_view aHost)
{
  std::string key(aHost.substr(0, aHost.find(':')));
  for (char& byte : key) {
    if (byte >= 'A' && byte <= 'Z') {
      byte = static_cast<char>(byte - 'A' + 'a');
    }
  }
  return key;
}

std::string
FindProblemOfRoute(const Route& aRoute, const std::set<std::string>& aServices)
{
  const std::string& prefix = aRoute.prefix;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/') {
    return "prefix does not begin and end with a slash";
  }
  if (aRoute.host.empty()) {
    return "no host";
  }
  if (aRoute.splits.empty()) {
    return "no service";
  }
  double total = 0;
  for (const Split& split : aRoute.splits) {
    if (!aServices.contains(split.service)) {
      return "unknown service " + split.service;
    }
    if (split.weight < 0) {
      return "negative weight";
    }
    total += split.weight;
  }
  return total > 0 ? "" : "all weights are zero";
}

} // namespace

std::string
FindProblem(const RouteConfig& aConfig)
{
  std::set<std::string> services;
  for (const ServiceEntry& service : aConfig.services) {
    services.insert(service.name);
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const Route& route : aConfig.routes) {
    const std::string problem = FindProblemOfRoute(route, services);
    if (!problem.empty()) {
      return fmt::format("route {}: {}", route.name, problem);
    }
    if (!places.emplace(HostKey(route.host), route.prefix).second) {
      return fmt::format("route {}: host and prefix are taken", route.name);
    }
  }
  return "";
}

RouteTable::RouteTable(RouteConfig aConfig)
  : m_config(std::move(aConfig))
{
  for (const Route& route : m_config.routes) {
    m_byHost[HostKey(route.host)].push_back(&route);
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
  const auto found = m_byHost.find(HostKey(aHost));
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
