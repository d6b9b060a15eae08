// Accepts configuration changes on the platform and reads them back.
//
//   ConfigStore store(platform);
//   AcceptResult result = store.Accept({ .changeId = "c1", .body = bytes });
//   if (const auto* accepted = std::get_if<Accepted>(&result)) {
//     Push(accepted->version);
//   }

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "wagtailbend/base/result.h"
#include "wagtailbend/store/platform.h"

namespace wagtailbend::config {

/// Identifies one accepted configuration.
struct ConfigVersion
{
  /// Starts at 1 and rises by one with each accepted change.
  uint64_t version = 0;
  /// Chosen by the operator; unique per change.
  std::string changeId;
  /// Name of the body object, see DigestOf.
  std::string digest;

  bool operator==(const ConfigVersion&) const = default;
};

/// One change that an operator wants accepted.
struct Change
{
  std::string changeId;
  /// Serialized google.protobuf.FileDescriptorSet.
  std::string body;
  /// Version that the change replaces; nullopt: the one found in force.
  std::optional<uint64_t> baseVersion{};

  bool operator==(const Change&) const = default;
};

struct Accepted
{
  ConfigVersion version;

  bool operator==(const Accepted&) const = default;
};

/// Another change was accepted first; this one never will be.
struct LostRace
{
  ConfigVersion winner;

  bool operator==(const LostRace&) const = default;
};

/// The change may have been accepted. Sending the same change id again
/// resolves it and is safe.
struct OutcomeUnknown
{
  std::string detail;

  bool operator==(const OutcomeUnknown&) const = default;
};

/// Error: this call accepted nothing. kPlatformUnavailable, or kInvalidRequest
/// for a bad change or a change id already used for another body.
using AcceptResult = std::variant<Accepted, LostRace, OutcomeUnknown, Error>;

/// Returns "xxh128-" and the 32 hexadecimal digits of the XXH3 128-bit hash.
/// It detects corruption and names bodies; it is no defence against forgery.
std::string
DigestOf(std::string_view aBody);

/// Blocks on the platform; thread-safe. The platform must outlive the store.
class ConfigStore
{
public:
  explicit ConfigStore(store::Platform& aPlatform);

  /// Validates the body, stores it, then replaces the head and records the
  /// change in one transaction. Idempotent by change id.
  AcceptResult Accept(const Change& aChange);

  /// Returns the accepted version, or nullopt before the first change.
  Result<std::optional<ConfigVersion>> ReadHead();

  /// Returns the body, verified against its digest. kNotFound if it is absent,
  /// kInternal if it is corrupted.
  Result<std::string> ReadBody(const std::string& aDigest);

  /// Returns all accepted changes, oldest first.
  Result<std::vector<ConfigVersion>> History();

private:
  struct Head
  {
    ConfigVersion config;
    /// Version of the row; nullopt: absent.
    std::optional<uint64_t> rowVersion;
  };

  Result<Head> ReadHeadRow();
  Result<std::optional<ConfigVersion>> ReadChange(const std::string& aChangeId);
  AcceptResult Commit(const ConfigVersion& aNext, const Head& aBase);
  std::optional<AcceptResult> ReadBack(const ConfigVersion& aNext,
                                       const Head& aBase);
  std::optional<Error> PutBody(const std::string& aDigest,
                               const std::string& aBody);

  store::Platform& m_platform;
};

} // namespace wagtailbend::config
