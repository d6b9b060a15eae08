#include "wagtailbend/emulator/world.h"

#include <nlohmann/json.hpp>

namespace wagtailbend::emulator {
namespace {

using Json = nlohmann::json;

Duration
Ms(const Json& aJson, const char* aName, Duration aDefault)
{
  return std::chrono::microseconds(static_cast<int64_t>(
    1000.0 * aJson.value(aName, ToFractionalMilliseconds(aDefault))));
}

size_t
IndexOf(const Json& aList, const std::string& aName)
{
  for (size_t i = 0; i < aList.size(); ++i) {
    if (aList[i].at("name") == aName) {
      return i;
    }
  }
  throw Json::other_error::create(501, "unknown name " + aName, nullptr);
}

Service
ReadService(const Json& aJson)
{
  Service service;
  service.name = aJson.at("name").get<std::string>();
  service.perDomain = aJson.value("per_domain", service.perDomain);
  service.slots = aJson.value("slots", service.slots);
  service.speeds = aJson.value("speeds", service.speeds);
  service.knee = aJson.value("knee", service.knee);
  service.kneeFactor = aJson.value("knee_factor", service.kneeFactor);
  if (service.slots == 0 || service.speeds.empty()) {
    throw Json::other_error::create(
      501, service.name + ": needs slots and speeds", nullptr);
  }
  return service;
}

RouteLoad
ReadRoute(const Json& aJson, const Json& aRoutes, const Json& aServices)
{
  RouteLoad route;
  route.name = aJson.at("name").get<std::string>();
  route.service = IndexOf(aServices, aJson.at("service").get<std::string>());
  route.idempotent = aJson.value("idempotent", route.idempotent);
  route.priority = aJson.value("priority", route.priority);
  route.work = Ms(aJson, "work_ms", route.work);
  route.objective = Ms(aJson, "objective_ms", route.objective);
  route.deadline = Ms(aJson, "deadline_ms", route.deadline);
  route.timeout = Ms(aJson, "timeout_ms", route.timeout);
  route.perSecond = aJson.value("per_second", route.perSecond);
  route.value = aJson.value("value", route.value);
  for (const Json& call : aJson.value("calls", Json::array())) {
    route.calls.push_back(
      { IndexOf(aRoutes, call.at("route").get<std::string>()),
        call.value("times", 1U) });
  }
  return route;
}

} // namespace

Result<World>
ReadWorld(const std::string& aJson)
{
  try {
    const Json json = Json::parse(aJson, nullptr, true, true);
    World world;
    for (const Json& domain : json.at("domains")) {
      world.domains.push_back({ domain.at("name").get<std::string>(),
                                domain.at("region").get<std::string>() });
    }
    for (const Json& service : json.at("services")) {
      world.services.push_back(ReadService(service));
    }
    for (const Json& route : json.at("routes")) {
      world.routes.push_back(
        ReadRoute(route, json.at("routes"), json.at("services")));
    }
    for (const Json& surge : json.value("surges", Json::array())) {
      world.surges.push_back({ Ms(surge, "begin_ms", {}),
                               Ms(surge, "end_ms", {}),
                               surge.at("factor").get<double>() });
    }
    for (const Json& shedding : json.value("shedding", Json::array())) {
      world.sheddings.push_back(
        { IndexOf(json.at("services"),
                  shedding.at("service").get<std::string>()),
          Ms(shedding, "begin_ms", {}),
          Ms(shedding, "end_ms", {}),
          shedding.at("share").get<double>() });
    }
    for (const Json& limit : json.value("limits", Json::array())) {
      world.limits.push_back(
        { IndexOf(json.at("services"), limit.at("service").get<std::string>()),
          Ms(limit, "begin_ms", {}),
          Ms(limit, "end_ms", {}),
          limit.at("per_second").get<double>(),
          limit.value("share", 1.0) });
    }
    for (const Json& crash : json.value("crashes", Json::array())) {
      CrashingRequest request;
      request.route =
        IndexOf(json.at("routes"), crash.at("route").get<std::string>());
      request.begin = Ms(crash, "begin_ms", request.begin);
      request.interval = Ms(crash, "interval_ms", request.interval);
      request.times = crash.value("times", request.times);
      request.restart = Ms(crash, "restart_ms", request.restart);
      world.crashes.push_back(request);
    }
    world.betweenDomains = Ms(json, "between_domains_ms", world.betweenDomains);
    world.betweenRegions = Ms(json, "between_regions_ms", world.betweenRegions);
    world.swing = json.value("swing", world.swing);
    world.swingPeriod = Ms(json, "swing_period_ms", world.swingPeriod);
    world.length = Ms(json, "length_ms", world.length);
    world.returns = json.value("returns", world.returns);
    if (world.domains.empty()) {
      throw Json::other_error::create(501, "no failure domain", nullptr);
    }
    return world;
  } catch (const nlohmann::json::exception& error) {
    return Error{ ErrorKind::kInvalidRequest,
                  std::string("experiment: ") + error.what() };
  }
}

} // namespace wagtailbend::emulator
