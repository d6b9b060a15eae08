#include "wagtailbend/schema/schema.h"

namespace wagtailbend::schema {

Schema::Schema(std::string aDeployment,
               std::vector<FailureDomain> aFailureDomains,
               uint64_t aCrossRegionBitsPerSecond,
               std::vector<Service> aServices,
               std::vector<Method> aMethods)
  : m_deployment(std::move(aDeployment))
  , m_failureDomains(std::move(aFailureDomains))
  , m_crossRegionBitsPerSecond(aCrossRegionBitsPerSecond)
{
  for (Service& service : aServices) {
    std::string name = service.name;
    m_services.emplace(std::move(name), std::move(service));
  }
  for (Method& method : aMethods) {
    std::string path = method.path;
    m_methods.emplace(std::move(path), std::move(method));
  }
}

const Method*
Schema::FindMethod(std::string_view aPath) const
{
  const auto it = m_methods.find(aPath);
  return it == m_methods.end() ? nullptr : &it->second;
}

const Service*
Schema::FindService(std::string_view aName) const
{
  const auto it = m_services.find(aName);
  return it == m_services.end() ? nullptr : &it->second;
}

std::string_view
Schema::RegionOf(std::string_view aName) const
{
  for (const FailureDomain& domain : m_failureDomains) {
    if (domain.name == aName) {
      return domain.region;
    }
  }
  return "";
}

} // namespace wagtailbend::schema
