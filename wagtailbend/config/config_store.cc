#include "wagtailbend/config/config_store.h"

#include <fmt/format.h>
#include <xxhash.h>

#include "wagtailbend/base/ids.h"
#include "wagtailbend/peer.pb.h"
#include "wagtailbend/schema/schema.h"

namespace wagtailbend::config {
namespace {

using store::PutResult;
using store::TransactResult;

const std::string kTable = "config";
const std::string kHeadKey = "head";
const std::string kHistoryKeyPrefix = "history/";

// Attempts at a transaction or upload while its outcome is unknown. Retries are
// safe: conditions let a transaction commit at most once, and the key of a body
// is its digest.
constexpr int kMaxAttempts = 3;

std::string
ChangeKey(const std::string& aChangeId)
{
  return "change/" + aChangeId;
}

// Zero-padded, so that keys sort in the order of versions.
std::string
HistoryKey(uint64_t aVersion)
{
  return fmt::format("{}{:020}", kHistoryKeyPrefix, aVersion);
}

std::string
Encode(const ConfigVersion& aVersion)
{
  peer::ConfigVersion message;
  message.set_version(aVersion.version);
  message.set_change_id(aVersion.changeId);
  message.set_digest(aVersion.digest);
  return message.SerializeAsString();
}

Result<ConfigVersion>
Decode(const store::Row& aRow)
{
  peer::ConfigVersion message;
  if (!message.ParseFromString(aRow.value)) {
    return Error{ ErrorKind::kInternal,
                  fmt::format("row config/{} is not a valid ConfigVersion",
                              aRow.key) };
  }
  return ConfigVersion{ message.version(),
                        message.change_id(),
                        message.digest() };
}

// Returns the outcome of a change whose id is already recorded: accepted if the
// recorded body is the same, otherwise an error.
AcceptResult
ResolveRecordedChange(const ConfigVersion& aRecorded,
                      const std::string& aDigest)
{
  if (aRecorded.digest == aDigest) {
    return Accepted{ aRecorded };
  }
  return Error{ ErrorKind::kInvalidRequest,
                fmt::format("change id \"{}\": already used for version {} "
                            "with another body",
                            aRecorded.changeId,
                            aRecorded.version) };
}

} // namespace

std::string
ComputeDigest(std::string_view aBody)
{
  const XXH128_hash_t hash = XXH3_128bits(aBody.data(), aBody.size());
  return "xxh128-" + ToHex(hash.high64) + ToHex(hash.low64);
}

ConfigStore::ConfigStore(store::Platform& aPlatform)
  : m_platform(aPlatform)
{
}

Result<ConfigStore::Head>
ConfigStore::ReadHeadRow()
{
  auto row = m_platform.ReadRow(kTable, kHeadKey);
  if (const Error* error = GetError(row)) {
    return *error;
  }
  if (!GetValue(row)) {
    return Head{};
  }
  auto config = Decode(*GetValue(row));
  if (const Error* error = GetError(config)) {
    return *error;
  }
  return Head{ TakeValue(std::move(config)), GetValue(row)->version };
}

Result<std::optional<ConfigVersion>>
ConfigStore::ReadHead()
{
  auto head = ReadHeadRow();
  if (const Error* error = GetError(head)) {
    return *error;
  }
  return GetValue(head).rowVersion ? std::optional(GetValue(head).config)
                                   : std::nullopt;
}

Result<std::optional<ConfigVersion>>
ConfigStore::ReadChange(const std::string& aChangeId)
{
  auto row = m_platform.ReadRow(kTable, ChangeKey(aChangeId));
  if (const Error* error = GetError(row)) {
    return *error;
  }
  if (!GetValue(row)) {
    return std::optional<ConfigVersion>();
  }
  auto change = Decode(*GetValue(row));
  if (const Error* error = GetError(change)) {
    return *error;
  }
  return std::optional(TakeValue(std::move(change)));
}

AcceptResult
ConfigStore::Accept(const Change& aChange)
{
  if (aChange.changeId.empty()) {
    return Error{ ErrorKind::kInvalidRequest, "change id: must not be empty" };
  }
  if (const auto schema = schema::ParseSchema(aChange.body); !IsOk(schema)) {
    return *GetError(schema);
  }
  const std::string digest = ComputeDigest(aChange.body);
  const auto head = ReadHeadRow();
  if (const Error* error = GetError(head)) {
    return *error;
  }
  const Head& base = GetValue(head);
  if (base.config.changeId == aChange.changeId) {
    return ResolveRecordedChange(base.config, digest);
  }
  if (aChange.baseVersion && *aChange.baseVersion != base.config.version) {
    // This change may have been accepted earlier and replaced since.
    const auto change = ReadChange(aChange.changeId);
    if (const Error* error = GetError(change)) {
      return *error;
    }
    return GetValue(change) ? ResolveRecordedChange(*GetValue(change), digest)
                            : AcceptResult(LostRace{ base.config });
  }
  if (const auto error = PutBody(digest, aChange.body)) {
    return *error;
  }
  return Commit({ base.config.version + 1, aChange.changeId, digest }, base);
}

std::optional<Error>
ConfigStore::PutBody(const std::string& aDigest, const std::string& aBody)
{
  std::string detail;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const PutResult result = m_platform.PutObject(aDigest, aBody);
    if (std::holds_alternative<Done>(result)) {
      return std::nullopt;
    }
    if (const auto* refused = std::get_if<store::Refused>(&result)) {
      return refused->error;
    }
    detail = std::get<store::Unknown>(result).detail;
  }
  // The head still refers to the previous body, so an object that may have been
  // stored has no effect.
  return Error{ ErrorKind::kPlatformUnavailable, detail };
}

AcceptResult
ConfigStore::Commit(const ConfigVersion& aNext, const Head& aBase)
{
  const std::string value = Encode(aNext);
  const store::TransactRequest request{
    { { kTable, kHeadKey, aBase.rowVersion },
      { kTable, ChangeKey(aNext.changeId), std::nullopt } },
    { { kTable, kHeadKey, value },
      { kTable, HistoryKey(aNext.version), value },
      { kTable, ChangeKey(aNext.changeId), value } }
  };
  std::string unknownDetail;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const TransactResult result = m_platform.Transact(request);
    if (std::holds_alternative<store::Committed>(result)) {
      return Accepted{ aNext };
    }
    if (const auto* refused = std::get_if<store::Refused>(&result)) {
      // A refused retry does not prove that the earlier attempt failed.
      return unknownDetail.empty() ? AcceptResult(refused->error)
                                   : OutcomeUnknown{ unknownDetail };
    }
    if (const auto* lost = std::get_if<store::Unknown>(&result)) {
      unknownDetail = lost->detail.empty() ? "no reply" : lost->detail;
    }
    if (const auto outcome = ReadOutcome(aNext, aBase)) {
      return *outcome;
    }
  }
  return OutcomeUnknown{ unknownDetail };
}

// Determines the outcome from the rows, or returns nullopt while the
// transaction may still be applied. The head must be read first: once it
// differs from aBase, the transaction either was applied before that read or
// never will be, so the change row that is read afterwards is conclusive. In
// the opposite order the transaction could be applied between the two reads.
std::optional<AcceptResult>
ConfigStore::ReadOutcome(const ConfigVersion& aNext, const Head& aBase)
{
  const auto head = ReadHeadRow();
  if (const Error* error = GetError(head)) {
    return OutcomeUnknown{ error->detail };
  }
  const auto change = ReadChange(aNext.changeId);
  if (const Error* error = GetError(change)) {
    return OutcomeUnknown{ error->detail };
  }
  if (GetValue(change)) {
    return ResolveRecordedChange(*GetValue(change), aNext.digest);
  }
  if (GetValue(head).rowVersion != aBase.rowVersion) {
    return LostRace{ GetValue(head).config };
  }
  return std::nullopt;
}

Result<std::string>
ConfigStore::ReadBody(const std::string& aDigest)
{
  auto object = m_platform.GetObject(aDigest);
  if (const Error* error = GetError(object)) {
    return *error;
  }
  if (!GetValue(object)) {
    return Error{ ErrorKind::kNotFound, "body " + aDigest + ": not found" };
  }
  if (ComputeDigest(*GetValue(object)) != aDigest) {
    return Error{ ErrorKind::kInternal,
                  "body " + aDigest + ": content does not match the digest" };
  }
  return *TakeValue(std::move(object));
}

Result<std::vector<ConfigVersion>>
ConfigStore::History()
{
  auto rows = m_platform.ListRows(kTable, kHistoryKeyPrefix);
  if (const Error* error = GetError(rows)) {
    return *error;
  }
  std::vector<ConfigVersion> history;
  for (const auto& row : GetValue(rows)) {
    auto version = Decode(row);
    if (const Error* error = GetError(version)) {
      return *error;
    }
    history.push_back(TakeValue(std::move(version)));
  }
  return history;
}

} // namespace wagtailbend::config
