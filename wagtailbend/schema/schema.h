// The schema of a deployment: failure domains, services, methods and their
// policies, as immutable values built from a .proto file that an operator
// writes.
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

/// Kind of work that a method does.
enum class Kind : uint8_t
{
  /// A short read.
  kLookup,
  /// A long read, usually with a streaming response.
  kBulk,
  /// A state change that is executed at most once.
  kOrder,
};

/// Highest priority. Requests with this priority are rejected last.
inline constexpr uint32_t kMaxPriority = 9;

/// A method of a service and its policy.
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
  /// Paths of the methods that one execution calls. A method that is called
  /// several times is listed once per call.
  std::vector<std::string> calls;
  /// Attempts of one execution without retries: this call and all its nested
  /// calls.
  uint32_t minimumAttempts = 1;
  bool serverStreaming = false;

  bool operator==(const Method&) const = default;
};

/// A service and its policy.
struct Service
{
  std::string name;
  uint32_t slots = 1;
  uint32_t connections = 1;
  bool internal = false;

  bool operator==(const Service&) const = default;
};

/// A failure domain and the region in which it lies.
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
  /// Budget of all cross-region traffic in each direction, in bits per second.
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

  /// Returns the method with gRPC path aPath, or nullptr if there is none. The
  /// pointer is valid for the lifetime of the schema.
  const Method* FindMethod(std::string_view aPath) const;
  /// Returns the service with full name aName, or nullptr if there is none. The
  /// pointer is valid for the lifetime of the schema.
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

/// A schema and the serialized google.protobuf.FileDescriptorSet from which it
/// was built. The platform stores the serialized form.
struct CompiledSchema
{
  Schema schema;
  std::string descriptorSet;
};

/// Compiles a .proto file and validates its policies. aImportPaths are searched
/// for imports after the directory of the file. wagtailbend/options.proto is
/// built in. On failure the error kind is kInvalidRequest and the detail
/// contains one line "file: field: reason" per problem. Thread-safe.
Result<CompiledSchema>
CompileSchemaFile(const std::string& aPath,
                  const std::vector<std::string>& aImportPaths);

/// Builds a schema from a serialized FileDescriptorSet and validates it as
/// CompileSchemaFile does.
/// Thread-safe.
Result<Schema>
ParseSchema(std::string_view aDescriptorSet);

} // namespace wagtailbend::schema
