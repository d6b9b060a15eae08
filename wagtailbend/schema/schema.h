// The operators' schema: services, methods and their policies, as immutable
// values built from a compiled .proto file.
//
//   Result<Schema> schema = CompileSchemaFile("schemas/association.proto", {});
//   const Method* method =
//   GetValue(schema).FindMethod("/association.Balances/Check");

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailbend/base/result.h"
#include "wagtailbend/base/time.h"

namespace wagtailbend::schema {

enum class Kind : uint8_t
{
  kLookup,
  kBulk,
  kOrder,
};

/// Highest priority; refused last.
inline constexpr uint32_t kMaxPriority = 9;

struct Method
{
  /// gRPC path, e.g. "/association.Balances/Check".
  std::string path;
  /// Full service name, e.g. "association.Balances".
  std::string service;
  Kind kind = Kind::kLookup;
  uint32_t priority = 0;
  Duration deadline{};
  bool idempotent = false;
  uint32_t attemptBudget = 1;
  /// Paths of the methods that one run calls, repeated per call.
  std::vector<std::string> calls;
  /// Attempts of one whole run without any retry: this call and all below it.
  uint32_t minimumAttempts = 1;
  bool serverStreaming = false;

  bool operator==(const Method&) const = default;
};

struct Service
{
  std::string name;
  uint32_t slots = 1;
  uint32_t connections = 1;
  bool internal = false;

  bool operator==(const Service&) const = default;
};

struct FailureDomain
{
  std::string name;
  std::string region;

  bool operator==(const FailureDomain&) const = default;
};

/// Immutable after construction; safe for concurrent reads.
class Schema
{
public:
  Schema() = default;
  Schema(std::string aDeployment,
         std::vector<FailureDomain> aFailureDomains,
         uint64_t aCrossRegionBitsPerSecond,
         std::vector<Service> aServices,
         std::vector<Method> aMethods);

  const std::string& Deployment() const { return m_deployment; }
  const std::vector<FailureDomain>& FailureDomains() const
  {
    return m_failureDomains;
  }
  /// Budget of all cross-region traffic each way, in bits per second.
  uint64_t CrossRegionBitsPerSecond() const
  {
    return m_crossRegionBitsPerSecond;
  }
  const std::map<std::string, Service, std::less<>>& Services() const
  {
    return m_services;
  }
  const std::map<std::string, Method, std::less<>>& Methods() const
  {
    return m_methods;
  }

  /// Returns the method with gRPC path aPath, or nullptr. The pointer lives as
  /// long as the schema.
  const Method* FindMethod(std::string_view aPath) const;
  /// Returns the service with full name aName, or nullptr.
  const Service* FindService(std::string_view aName) const;
  /// Returns the region of failure domain aName, or "" if it is unknown.
  std::string_view RegionOf(std::string_view aName) const;

  bool operator==(const Schema&) const = default;

private:
  std::string m_deployment;
  std::vector<FailureDomain> m_failureDomains;
  uint64_t m_crossRegionBitsPerSecond = 0;
  std::map<std::string, Service, std::less<>> m_services;
  std::map<std::string, Method, std::less<>> m_methods;
};

/// A schema together with the serialized google.protobuf.FileDescriptorSet
/// from which it was built. The bytes are what the platform stores.
struct CompiledSchema
{
  Schema schema;
  std::string descriptorSet;
};

/// Compiles a .proto file and validates its policies. aImportPaths are searched
/// for imports after the file's own folder; the project's options are built in.
/// On failure the error kind is kInvalidRequest and the detail holds one line
/// "file: field: reason" for each problem found. Thread-safe.
Result<CompiledSchema>
CompileSchemaFile(const std::string& aPath,
                  const std::vector<std::string>& aImportPaths);

/// Builds a schema from a serialized FileDescriptorSet, with the same checks.
/// Thread-safe.
Result<Schema>
ParseSchema(std::string_view aDescriptorSet);

} // namespace wagtailbend::schema
