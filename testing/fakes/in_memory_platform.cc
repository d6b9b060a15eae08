#include "testing/fakes/in_memory_platform.h"

#include <algorithm>
#include <numeric>
#include <thread>

#include "wagtailbend/store/codec.h"

namespace wagtailbend::testing_fakes {
namespace {

using namespace wagtailbend::store;

constexpr std::array<const char*, 4> kFaultKindNames = { "none",
                                                         "down",
                                                         "reply-lost",
                                                         "request-lost" };
constexpr std::array<const char*, kOperationCount>
  kOperationNames = { "transact", "read", "list", "put", "get" };

template<typename Enum, size_t kSize>
std::optional<Enum>
FromName(const std::array<const char*, kSize>& aNames, const std::string& aName)
{
  for (size_t i = 0; i < kSize; ++i) {
    if (aName == aNames[i]) {
      return static_cast<Enum>(i);
    }
  }
  return std::nullopt;
}

Error
Unavailable()
{
  return { ErrorKind::kPlatformUnavailable, "platform: injected fault" };
}

Error
Invalid(std::string aReason)
{
  return { ErrorKind::kInvalidRequest, std::move(aReason) };
}

// A read whose request or reply is lost fails like one to a platform that is
// down.
bool
FailsRead(FaultKind aKind)
{
  return aKind != FaultKind::kNone;
}

} // namespace

std::string
FaultKindName(FaultKind aKind)
{
  return kFaultKindNames[static_cast<size_t>(aKind)];
}

std::optional<FaultKind>
FaultKindFromName(const std::string& aName)
{
  return FromName<FaultKind>(kFaultKindNames, aName);
}

std::string
OperationName(Operation aOperation)
{
  return kOperationNames[static_cast<size_t>(aOperation)];
}

std::optional<Operation>
OperationFromName(const std::string& aName)
{
  return FromName<Operation>(kOperationNames, aName);
}

InMemoryPlatform::InMemoryPlatform(Sleep aSleep)
  : m_sleep(aSleep ? std::move(aSleep) : [](Duration aDelay) {
    std::this_thread::sleep_for(aDelay);
  })
{
}

void
InMemoryPlatform::SetFaults(Faults aFaults)
{
  const std::lock_guard lock(m_mutex);
  m_faults = std::move(aFaults);
  m_faults.everyNth = std::max(m_faults.everyNth, 1U);
  m_matching = 0;
  m_concerned = 0;
}

uint64_t
InMemoryPlatform::Count(Operation aOperation) const
{
  const std::lock_guard lock(m_mutex);
  return m_counts[static_cast<size_t>(aOperation)];
}

uint64_t
InMemoryPlatform::TotalCount() const
{
  const std::lock_guard lock(m_mutex);
  return std::accumulate(m_counts.begin(), m_counts.end(), uint64_t{ 0 });
}

FaultKind
InMemoryPlatform::Begin(Operation aOperation)
{
  Duration delay{};
  FaultKind kind = FaultKind::kNone;
  {
    const std::lock_guard lock(m_mutex);
    ++m_counts[static_cast<size_t>(aOperation)];
    m_seenGeneration = m_generation;
    if (!m_faults.operations.empty() &&
        !m_faults.operations.contains(aOperation)) {
      return FaultKind::kNone;
    }
    ++m_matching;
    if (m_matching <= m_faults.skip ||
        (m_matching - m_faults.skip) % m_faults.everyNth != 0 ||
        (m_faults.limit != 0 && m_concerned >= m_faults.limit)) {
      return FaultKind::kNone;
    }
    ++m_concerned;
    delay = m_faults.delay;
    kind = m_faults.kind;
  }
  if (delay > Duration::zero()) {
    m_sleep(delay);
  }
  return kind;
}

TransactResult
InMemoryPlatform::Apply(const TransactRequest& aRequest)
{
  const std::lock_guard lock(m_mutex);
  Conflict conflict;
  for (const auto& condition : aRequest.conditions) {
    const auto found = m_rows.find({ condition.table, condition.key });
    const bool present = found != m_rows.end();
    const bool holds = condition.version
                         ? present && found->second.version == condition.version
                         : !present;
    if (holds) {
      continue;
    }
    conflict.rows.push_back(
      { condition.table,
        condition.key,
        present ? std::optional(found->second) : std::nullopt });
  }
  if (!conflict.rows.empty()) {
    return conflict;
  }
  Committed committed;
  for (const auto& write : aRequest.writes) {
    committed.versions.push_back(++m_lastVersion);
    const std::pair rowKey(write.table, write.key);
    if (write.value) {
      m_rows[rowKey] = { write.key, m_lastVersion, *write.value };
    } else {
      m_rows.erase(rowKey);
    }
  }
  return committed;
}

TransactResult
InMemoryPlatform::Transact(const TransactRequest& aRequest)
{
  const FaultKind fault = Begin(Operation::kTransact);
  if (fault == FaultKind::kDown) {
    return Refused{ Unavailable() };
  }
  if (std::string reason = CheckRequest(aRequest); !reason.empty()) {
    return Refused{ Invalid(std::move(reason)) };
  }
  if (fault == FaultKind::kRequestLost) {
    return Unknown{ Unavailable().detail };
  }
  TransactResult result = Apply(aRequest);
  if (fault == FaultKind::kReplyLost) {
    return Unknown{ Unavailable().detail };
  }
  return result;
}

Result<std::optional<Row>>
InMemoryPlatform::ReadRow(const std::string& aTable, const std::string& aKey)
{
  if (FailsRead(Begin(Operation::kReadRow))) {
    return Unavailable();
  }
  if (std::string reason = CheckNames(aTable, aKey); !reason.empty()) {
    return Invalid(std::move(reason));
  }
  const std::lock_guard lock(m_mutex);
  const auto found = m_rows.find({ aTable, aKey });
  return found == m_rows.end() ? std::nullopt : std::optional(found->second);
}

Result<std::vector<Row>>
InMemoryPlatform::ListRows(const std::string& aTable,
                           const std::string& aPrefix)
{
  if (FailsRead(Begin(Operation::kListRows))) {
    return Unavailable();
  }
  if (std::string reason = CheckNames(aTable, "k" + aPrefix); !reason.empty()) {
    return Invalid(std::move(reason));
  }
  const std::lock_guard lock(m_mutex);
  std::vector<Row> rows;
  for (auto it = m_rows.lower_bound({ aTable, aPrefix }); it != m_rows.end();
       ++it) {
    if (it->first.first != aTable || !it->first.second.starts_with(aPrefix)) {
      break;
    }
    rows.push_back(it->second);
  }
  return rows;
}

PutResult
InMemoryPlatform::PutObject(const std::string& aKey, const std::string& aBytes)
{
  const FaultKind fault = Begin(Operation::kPutObject);
  if (fault == FaultKind::kDown) {
    return Refused{ Unavailable() };
  }
  if (std::string reason = CheckNames("objects", aKey); !reason.empty()) {
    return Refused{ Invalid(std::move(reason)) };
  }
  if (fault == FaultKind::kRequestLost) {
    return Unknown{ Unavailable().detail };
  }
  {
    const std::lock_guard lock(m_mutex);
    m_objects[aKey] = aBytes;
  }
  if (fault == FaultKind::kReplyLost) {
    return Unknown{ Unavailable().detail };
  }
  return Done{};
}

Result<std::optional<std::string>>
InMemoryPlatform::GetObject(const std::string& aKey)
{
  if (FailsRead(Begin(Operation::kGetObject))) {
    return Unavailable();
  }
  if (std::string reason = CheckNames("objects", aKey); !reason.empty()) {
    return Invalid(std::move(reason));
  }
  const std::lock_guard lock(m_mutex);
  const auto found = m_objects.find(aKey);
  return found == m_objects.end() ? std::nullopt : std::optional(found->second);
}

uint64_t
InMemoryPlatform::Generation() const
{
  const std::lock_guard lock(m_mutex);
  return m_seenGeneration;
}

void
InMemoryPlatform::TakeBackup()
{
  const std::lock_guard lock(m_mutex);
  m_backupRows = m_rows;
  m_backupVersion = m_lastVersion;
}

void
InMemoryPlatform::Restore()
{
  const std::lock_guard lock(m_mutex);
  m_rows = m_backupRows;
  m_lastVersion = m_backupVersion;
  ++m_generation;
}

} // namespace wagtailbend::testing_fakes
