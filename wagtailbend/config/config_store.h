// Stores configuration changes on the platform and reads the accepted ones.
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
  /// Starts at 1 and increases by one with each accepted change.
  uint64_t version = 0;
  /// Chosen by the operator; unique for each change.
  std::string changeId;
  /// Key of the body object, see ComputeDigest.
  std::string digest;

  bool operator==(const ConfigVersion&) const = default;
};

/// A configuration change that an operator submits.
struct Change
{
  std::string changeId;
  /// Serialized google.protobuf.FileDescriptorSet.
  std::string body;
  /// Version that the change replaces. nullopt: the current head.
  std::optional<uint64_t> baseVersion{};

  bool operator==(const Change&) const = default;
};

struct Accepted
{
  ConfigVersion version;

  bool operator==(const Accepted&) const = default;
};

/// Another change was accepted first; this one will never be applied.
struct LostRace
{
  ConfigVersion winner;

  bool operator==(const LostRace&) const = default;
};

/// The change may have been accepted. Submitting it again with the same change
/// id is safe and determines the outcome.
struct OutcomeUnknown
{
  std::string detail;

  bool operator==(const OutcomeUnknown&) const = default;
};

/// Error: this call did not apply the change. kPlatformUnavailable, or
/// kInvalidRequest for an invalid change or a change id that was already used
/// with another body.
using AcceptResult = std::variant<Accepted, LostRace, OutcomeUnknown, Error>;

/// Returns "xxh128-" and the 32 hexadecimal digits of the XXH3 128-bit hash.
/// It identifies bodies and detects corruption; it does not protect against
/// forgery.
std::string
ComputeDigest(std::string_view aBody);

/// Thread-safe. Calls block until the platform responds. The platform must
/// outlive the store.
class ConfigStore
{
public:
  explicit ConfigStore(store::Platform& aPlatform);

  /// Validates the body and stores it, then replaces the head and records the
  /// change in one transaction. The change id is the idempotency key.
  AcceptResult Accept(const Change& aChange);

  /// Returns the accepted version, or nullopt before the first change.
  Result<std::optional<ConfigVersion>> ReadHead();

  /// Returns the body after verifying its digest. Error kinds: kNotFound if it
  /// does not exist, kInternal if it is corrupted.
  Result<std::string> ReadBody(const std::string& aDigest);

  /// Returns all accepted changes, oldest first.
  Result<std::vector<ConfigVersion>> History();

private:
  struct Head
  {
    ConfigVersion config;
    /// Version of the row. nullopt: there is no row.
    std::optional<uint64_t> rowVersion;
  };

  Result<Head> ReadHeadRow();
  Result<std::optional<ConfigVersion>> ReadChange(const std::string& aChangeId);
  AcceptResult Commit(const ConfigVersion& aNext, const Head& aBase);
  std::optional<AcceptResult> ReadOutcome(const ConfigVersion& aNext,
                                          const Head& aBase);
  std::optional<Error> PutBody(const std::string& aDigest,
                               const std::string& aBody);

  store::Platform& m_platform;
};

} // namespace wagtailbend::config
