#include <filesystem>
#include <functional>
#include <set>

#include <fmt/format.h>
#include <fmt/ranges.h>
#include <google/protobuf/compiler/importer.h>
#include <google/protobuf/descriptor.pb.h>

#include "wagtailbend/options.pb.h"
#include "wagtailbend/schema/schema.h"

namespace wagtailbend::schema {
namespace {

namespace pb = google::protobuf;

constexpr uint32_t kMaxAttemptBudget = 1000;
constexpr uint32_t kMaxDeadlineMs = 600'000;
constexpr size_t kMaxCallDepth = 14;

using Problems = std::vector<std::string>;

// Collects errors of the protobuf compiler as
// "file: line LINE:COLUMN: reason".
class CompilerErrorCollector : public pb::compiler::MultiFileErrorCollector
{
public:
  explicit CompilerErrorCollector(Problems& aProblems)
    : m_problems(aProblems)
  {
  }

  void AddError(const std::string& aFile,
                int aLine,
                int aColumn,
                const std::string& aMessage) override
  {
    m_problems.push_back(fmt::format(
      "{}: line {}:{}: {}", aFile, aLine + 1, aColumn + 1, aMessage));
  }

private:
  Problems& m_problems;
};

// Reads the policy options from the descriptors linked into the program, so
// that options.proto does not have to be installed. Other files are read from
// disk.
class BuiltInSourceTree : public pb::compiler::DiskSourceTree
{
public:
  pb::io::ZeroCopyInputStream* Open(const std::string& aFile) override
  {
    const pb::FileDescriptor* file = nullptr;
    if (aFile == "wagtailbend/options.proto") {
      file = wagtailbend::MethodPolicy::descriptor()->file();
    } else if (aFile == "google/protobuf/descriptor.proto") {
      file = pb::FileDescriptorProto::descriptor()->file();
    }
    if (!file) {
      return pb::compiler::DiskSourceTree::Open(aFile);
    }
    auto& text = m_texts[aFile];
    text = file->DebugString();
    return new pb::io::ArrayInputStream(text.data(),
                                        static_cast<int>(text.size()));
  }

private:
  std::map<std::string, std::string> m_texts;
};

// Parses options again with the linked extensions, because descriptors of
// another pool contain custom options as unknown fields.
template<typename Options>
Options
ReparseOptions(const Options& aOptions)
{
  Options parsed;
  parsed.ParseFromString(aOptions.SerializeAsString());
  return parsed;
}

// Builds a schema from file descriptors and collects all problems in it.
class SchemaBuilder
{
public:
  // aFile is the file name reported for problems found before any file has been
  // added.
  SchemaBuilder(Problems& aProblems, std::string aFile)
    : m_problems(aProblems)
    , m_file(std::move(aFile))
  {
  }

  void AddFile(const pb::FileDescriptorProto& aFile)
  {
    m_file = aFile.name();
    const auto options = ReparseOptions(aFile.options());
    if (options.HasExtension(wagtailbend::deployment)) {
      AddDeployment(options.GetExtension(wagtailbend::deployment));
    }
    for (const auto& service : aFile.service()) {
      AddService(aFile.package(), service);
    }
  }

  Schema Build()
  {
    if (m_deployment.empty()) {
      AddProblem("option (wagtailbend.deployment).name", "must be set");
    }
    if (m_methods.empty()) {
      AddProblem("service", "the schema declares no method");
    }
    CheckCallGraph();
    return Schema(std::move(m_deployment),
                  std::move(m_failureDomains),
                  m_crossRegionBitsPerSecond,
                  std::move(m_services),
                  std::move(m_methods));
  }

private:
  void AddProblem(std::string_view aField, std::string_view aReason)
  {
    m_problems.push_back(fmt::format("{}: {}: {}", m_file, aField, aReason));
  }

  void AddDeployment(const wagtailbend::DeploymentPolicy& aPolicy)
  {
    m_deployment = aPolicy.name();
    m_crossRegionBitsPerSecond =
      uint64_t{ aPolicy.cross_region_kbit_per_s() } * 1000;
    std::set<std::string> names;
    for (const auto& domain : aPolicy.failure_domains()) {
      const std::string field =
        fmt::format("failure_domains \"{}\"", domain.name());
      if (domain.name().empty() || domain.region().empty()) {
        AddProblem(field, "name and region must be set");
      }
      if (!names.insert(domain.name()).second) {
        AddProblem(field, "is declared twice");
      }
      m_failureDomains.push_back({ domain.name(), domain.region() });
    }
    if (m_failureDomains.empty()) {
      AddProblem("failure_domains", "at least one must be declared");
    }
    if (m_crossRegionBitsPerSecond == 0) {
      AddProblem("cross_region_kbit_per_s", "must be at least 1");
    }
  }

  void AddService(const std::string& aPackage,
                  const pb::ServiceDescriptorProto& aService)
  {
    const std::string name =
      aPackage.empty() ? aService.name()
                       : fmt::format("{}.{}", aPackage, aService.name());
    const auto options = ReparseOptions(aService.options());
    if (!options.HasExtension(wagtailbend::service)) {
      AddProblem(name, "option (wagtailbend.service) is missing");
    }
    const auto& policy = options.GetExtension(wagtailbend::service);
    if (policy.slots() == 0) {
      AddProblem(fmt::format("{}.slots", name), "must be at least 1");
    }
    if (policy.connections() == 0) {
      AddProblem(fmt::format("{}.connections", name), "must be at least 1");
    }
    m_services.push_back(
      { name, policy.slots(), policy.connections(), policy.internal() });
    for (const auto& method : aService.method()) {
      AddMethod(name, method);
    }
  }

  void AddMethod(const std::string& aService,
                 const pb::MethodDescriptorProto& aMethod)
  {
    const std::string field = fmt::format("{}/{}", aService, aMethod.name());
    const auto options = ReparseOptions(aMethod.options());
    if (!options.HasExtension(wagtailbend::method)) {
      AddProblem(field, "option (wagtailbend.method) is missing");
      return;
    }
    const auto& policy = options.GetExtension(wagtailbend::method);
    CheckMethod(field, aMethod, policy);
    Method method;
    method.path = fmt::format("/{}", field);
    method.service = aService;
    method.kind = policy.kind() == wagtailbend::ORDER  ? Kind::kOrder
                  : policy.kind() == wagtailbend::BULK ? Kind::kBulk
                                                       : Kind::kLookup;
    method.priority = policy.priority();
    method.deadline = std::chrono::milliseconds(policy.deadline_ms());
    method.idempotent = policy.idempotent();
    method.attemptBudget = policy.attempt_budget();
    for (const std::string& call : policy.calls()) {
      method.calls.push_back(fmt::format("/{}", call));
    }
    method.serverStreaming = aMethod.server_streaming();
    m_methods.push_back(std::move(method));
  }

  void CheckMethod(const std::string& aField,
                   const pb::MethodDescriptorProto& aMethod,
                   const wagtailbend::MethodPolicy& aPolicy)
  {
    if (aPolicy.kind() == wagtailbend::KIND_UNSPECIFIED) {
      AddProblem(fmt::format("{}.kind", aField),
                 "must be LOOKUP, BULK or ORDER");
    }
    if (aPolicy.priority() > kMaxPriority) {
      AddProblem(fmt::format("{}.priority", aField), "must be 0 to 9");
    }
    if (aPolicy.deadline_ms() == 0 || aPolicy.deadline_ms() > kMaxDeadlineMs) {
      AddProblem(fmt::format("{}.deadline_ms", aField), "must be 1 to 600000");
    }
    if (aPolicy.attempt_budget() == 0 ||
        aPolicy.attempt_budget() > kMaxAttemptBudget) {
      AddProblem(fmt::format("{}.attempt_budget", aField), "must be 1 to 1000");
    }
    if (aPolicy.kind() == wagtailbend::ORDER && aPolicy.idempotent()) {
      AddProblem(fmt::format("{}.idempotent", aField),
                 "an ORDER is executed at most once and cannot be idempotent");
    }
    if (aPolicy.kind() == wagtailbend::ORDER && aMethod.server_streaming()) {
      AddProblem(aField, "an ORDER cannot have a streaming response");
    }
    if (aMethod.client_streaming()) {
      AddProblem(aField, "client streaming is not supported");
    }
  }

  void CheckCallGraph()
  {
    std::map<std::string, Method*> methodsByPath;
    for (Method& method : m_methods) {
      methodsByPath[method.path] = &method;
    }
    std::map<std::string, uint32_t> minimumAttemptsByPath;
    std::vector<std::string> callChain;
    std::function<uint32_t(Method&)> computeMinimumAttempts =
      [&](Method& aMethod) -> uint32_t {
      const auto computed = minimumAttemptsByPath.find(aMethod.path);
      if (computed != minimumAttemptsByPath.end()) {
        return computed->second;
      }
      if (std::find(callChain.begin(), callChain.end(), aMethod.path) !=
          callChain.end()) {
        AddProblem(aMethod.path.substr(1),
                   "calls itself, directly or indirectly");
        return 1;
      }
      if (callChain.size() >= kMaxCallDepth) {
        AddProblem(aMethod.path.substr(1),
                   "the call chain has more than 14 levels");
        return 1;
      }
      callChain.push_back(aMethod.path);
      uint32_t attempts = 1;
      for (const std::string& call : aMethod.calls) {
        const auto callee = methodsByPath.find(call);
        if (callee == methodsByPath.end()) {
          AddProblem(fmt::format("{}.calls", aMethod.path.substr(1)),
                     fmt::format("\"{}\" is not declared", call.substr(1)));
          continue;
        }
        attempts += computeMinimumAttempts(*callee->second);
      }
      callChain.pop_back();
      minimumAttemptsByPath[aMethod.path] = attempts;
      return attempts;
    };
    for (Method& method : m_methods) {
      method.minimumAttempts = computeMinimumAttempts(method);
      if (method.attemptBudget >= method.minimumAttempts) {
        continue;
      }
      AddProblem(
        fmt::format("{}.attempt_budget", method.path.substr(1)),
        fmt::format(
          "must be at least {}, the number of attempts without retries",
          method.minimumAttempts));
    }
  }

  Problems& m_problems;
  std::string m_file;
  std::string m_deployment;
  std::vector<FailureDomain> m_failureDomains;
  uint64_t m_crossRegionBitsPerSecond = 0;
  std::vector<Service> m_services;
  std::vector<Method> m_methods;
};

Error
MakeError(const Problems& aProblems)
{
  return Error{ ErrorKind::kInvalidRequest,
                fmt::format("{}", fmt::join(aProblems, "\n")) };
}

void
CollectFileDescriptors(const pb::FileDescriptor& aFile,
                       std::set<std::string>& aCollectedNames,
                       pb::FileDescriptorSet& aSet)
{
  if (!aCollectedNames.insert(aFile.name()).second) {
    return;
  }
  for (int i = 0; i < aFile.dependency_count(); ++i) {
    CollectFileDescriptors(*aFile.dependency(i), aCollectedNames, aSet);
  }
  aFile.CopyTo(aSet.add_file());
}

Result<Schema>
BuildSchema(const pb::FileDescriptorSet& aSet)
{
  Problems problems;
  // CollectFileDescriptors adds imports first and the schema file last.
  SchemaBuilder builder(problems,
                        aSet.file_size() > 0
                          ? aSet.file(aSet.file_size() - 1).name()
                          : std::string("descriptor set"));
  for (const auto& file : aSet.file()) {
    if (file.service_size() > 0 ||
        ReparseOptions(file.options()).HasExtension(wagtailbend::deployment)) {
      builder.AddFile(file);
    }
  }
  Schema schema = builder.Build();
  if (!problems.empty()) {
    return MakeError(problems);
  }
  return schema;
}

} // namespace

Result<Schema>
ParseSchema(std::string_view aDescriptorSet)
{
  pb::FileDescriptorSet set;
  if (!set.ParseFromArray(aDescriptorSet.data(),
                          static_cast<int>(aDescriptorSet.size()))) {
    return Error{ ErrorKind::kInvalidRequest,
                  "the schema is not a serialized FileDescriptorSet" };
  }
  return BuildSchema(set);
}

Result<CompiledSchema>
CompileSchemaFile(const std::string& aPath,
                  const std::vector<std::string>& aImportPaths)
{
  const std::filesystem::path path(aPath);
  Problems problems;
  if (!std::filesystem::is_regular_file(path)) {
    return Error{ ErrorKind::kInvalidRequest,
                  fmt::format("{}: file: cannot be read", aPath) };
  }
  BuiltInSourceTree sourceTree;
  const std::filesystem::path directory = path.parent_path();
  sourceTree.MapPath("", directory.empty() ? "." : directory.string());
  for (const std::string& import : aImportPaths) {
    sourceTree.MapPath("", import);
  }
  CompilerErrorCollector collector(problems);
  pb::compiler::Importer importer(&sourceTree, &collector);
  const pb::FileDescriptor* file = importer.Import(path.filename().string());
  if (!file) {
    return MakeError(problems);
  }
  pb::FileDescriptorSet set;
  std::set<std::string> collectedNames;
  CollectFileDescriptors(*file, collectedNames, set);
  Result<Schema> schema = BuildSchema(set);
  if (const Error* error = GetError(schema)) {
    return *error;
  }
  return CompiledSchema{ TakeValue(std::move(schema)),
                         set.SerializeAsString() };
}

} // namespace wagtailbend::schema
