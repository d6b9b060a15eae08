#include "wagtailbend/node/member_store.h"

#include <algorithm>
#include <utility>

#include "wagtailbend/mesh/convert.h"
#include "wagtailbend/net/socket_options.h"
#include "wagtailbend/observability/event_log.h"

namespace wagtailbend::node {
namespace {

constexpr const char* kTable = "wagtailbend_members";
// Interval between reads of all rows. Long, because each read is billed and
// later reads only find rows to delete: a starting daemon reads all rows after
// it has stored its own, then connects to its peers until they respond.
constexpr Duration kReadInterval = std::chrono::seconds(60);
// Delay after a failed call. It doubles up to the maximum, so that an outage
// costs few calls and all rows are stored within 2 s of its end.
constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(300);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(1200);
// A start time further ahead would supersede all later processes of its
// address.
constexpr uint64_t kMaxClockDifferenceMs = 24ULL * 60 * 60 * 1000;

/// Returns false for a row that another writer left.
bool
IsMemberRecord(const mesh::wire::MemberRecord& aRecord, const std::string& aKey)
{
  return aRecord.address() == aKey && net::ParseEndpoint(aKey) &&
         aRecord.started_ms() <= UnixMilliseconds() + kMaxClockDifferenceMs;
}

} // namespace

MemberStore::MemberStore(store::Platform& aPlatform,
                         std::string aLocalAddress,
                         OnMembers aOnMembers)
  : m_platform(aPlatform)
  , m_localAddress(std::move(aLocalAddress))
  , m_onMembers(std::move(aOnMembers))
{
}

MemberStore::~MemberStore()
{
  Stop();
}

void
MemberStore::Start()
{
  m_thread = std::thread([this] { Run(); });
}

void
MemberStore::Put(const mesh::Member& aMember, std::function<void()> aDone)
{
  {
    const std::lock_guard lock(m_mutex);
    m_pendingRecord = aMember;
    if (aDone) {
      m_storedCallbacks.push_back(std::move(aDone));
    }
  }
  m_wakeup.notify_all();
}

void
MemberStore::OnGeneration(uint64_t aGeneration)
{
  {
    const std::lock_guard lock(m_mutex);
    m_reportedGeneration = std::max(m_reportedGeneration.load(), aGeneration);
  }
  m_wakeup.notify_all();
}

uint64_t
MemberStore::KnownGeneration() const
{
  return std::max(m_reportedGeneration.load(), m_platform.Generation());
}

bool
MemberStore::MayRowBeUndone() const
{
  return m_hasStored &&
         (m_rowMissing || KnownGeneration() > m_storedGeneration);
}

bool
MemberStore::IsRowAsStored() const
{
  const auto found = m_rowVersions.find(m_localAddress);
  return found != m_rowVersions.end() && m_localRowVersion == found->second;
}

void
MemberStore::RemoveLocalRow()
{
  {
    const std::lock_guard lock(m_mutex);
    m_removeRequested = true;
  }
  m_wakeup.notify_all();
}

void
MemberStore::RemovePeerRows(const std::vector<std::string>& aAddresses)
{
  {
    const std::lock_guard lock(m_mutex);
    m_peerRowsToDelete.insert(
      m_peerRowsToDelete.end(), aAddresses.begin(), aAddresses.end());
  }
  m_wakeup.notify_all();
}

void
MemberStore::Stop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wakeup.notify_all();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void
MemberStore::Run()
{
  std::unique_lock lock(m_mutex);
  bool hasReadRows = false;
  Duration wait = kReadInterval;
  Duration retryDelay = kFirstRetryDelay;
  const auto nextRetryDelay = [&retryDelay] {
    return std::exchange(retryDelay, std::min(2 * retryDelay, kMaxRetryDelay));
  };
  const auto read = [this, &wait, &retryDelay, &nextRetryDelay] {
    if (ReadAllRows()) {
      wait = kReadInterval;
      retryDelay = kFirstRetryDelay;
    } else {
      wait = nextRetryDelay();
    }
  };
  while (!m_stopping) {
    const auto hasPendingWork = [this] {
      return m_removeRequested || m_pendingRecord.has_value() ||
             !m_peerRowsToDelete.empty() || MayRowBeUndone();
    };
    if (!hasPendingWork() && hasReadRows) {
      const bool woken = m_wakeup.wait_for(lock, wait, [this, &hasPendingWork] {
        return m_stopping || hasPendingWork();
      });
      if (!woken) {
        lock.unlock();
        read();
        m_rowMissing = wait == kReadInterval && !IsRowAsStored();
        lock.lock();
      }
      continue;
    }
    const bool isCheck = MayRowBeUndone();
    if (isCheck) {
      m_localRowVersionKnown = false;
      if (!m_pendingRecord) {
        m_pendingRecord = m_storedRecord;
      }
    }
    if (m_removeRequested) {
      const std::optional<mesh::Member> unwritten =
        std::exchange(m_pendingRecord, {});
      lock.unlock();
      FinishLocalRow(unwritten);
      return;
    }
    if (!m_peerRowsToDelete.empty()) {
      const auto addresses = std::exchange(m_peerRowsToDelete, {});
      lock.unlock();
      DeletePeerRows(addresses);
      lock.lock();
      continue;
    }
    const std::optional<mesh::Member> value =
      std::exchange(m_pendingRecord, {});
    auto callbacks = std::exchange(m_storedCallbacks, {});
    lock.unlock();
    const WriteOutcome outcome =
      value ? WriteLocalRow(*value) : WriteOutcome::kUnchanged;
    const bool stored = outcome != WriteOutcome::kFailed;
    if (stored) {
      if (isCheck && outcome == WriteOutcome::kWritten) {
        observability::Event("member_row_undone")
          .Add("generation", KnownGeneration())
          .Info();
        // Daemons that started meanwhile have not found this one.
        hasReadRows = false;
      }
      for (const auto& done : callbacks) {
        done();
      }
      if (!std::exchange(hasReadRows, true)) {
        // Reads the peers after storing the local row, so that of two daemons
        // that start together at least one sees the other.
        read();
      }
    }
    lock.lock();
    if (!stored) {
      if (!m_pendingRecord) {
        m_pendingRecord = value;
      }
      m_storedCallbacks.insert(
        m_storedCallbacks.begin(), callbacks.begin(), callbacks.end());
      m_wakeup.wait_for(lock, nextRetryDelay(), [this] {
        return m_stopping || m_removeRequested;
      });
    } else if (value) {
      retryDelay = kFirstRetryDelay;
    }
  }
}

bool
MemberStore::ReadLocalRow()
{
  if (m_localRowVersionKnown) {
    return true;
  }
  auto row = m_platform.ReadRow(kTable, m_localAddress);
  if (!IsOk(row)) {
    return false;
  }
  const auto& found = GetValue(row);
  m_localRowVersion =
    found ? std::optional<uint64_t>(found->version) : std::nullopt;
  m_localRowVersionKnown = true;
  m_readValue = found ? std::optional<std::string>(found->value) : std::nullopt;
  mesh::wire::MemberRecord record;
  if (!found || !record.ParseFromString(found->value)) {
    return true;
  }
  // After a restore the row may be older than what this process stored.
  const mesh::Member stored = mesh::FromProto(record);
  if (!m_hasStored) {
    m_storedRecord = stored;
  } else if (targets::IsLater(stored.leavingTarget,
                              m_storedRecord.leavingTarget)) {
    m_storedRecord.leavingTarget = stored.leavingTarget;
  }
  return true;
}

MemberStore::WriteOutcome
MemberStore::WriteLocalRow(mesh::Member aMember)
{
  const uint64_t generationBeforeRead = KnownGeneration();
  if (!ReadLocalRow()) {
    return WriteOutcome::kFailed;
  }
  if (targets::IsLater(m_storedRecord.leavingTarget, aMember.leavingTarget)) {
    aMember.leavingTarget = m_storedRecord.leavingTarget;
  }
  const std::string value = mesh::ToProto(aMember).SerializeAsString();
  const bool isUnchanged = m_readValue == value;
  const uint64_t generation =
    isUnchanged ? generationBeforeRead : KnownGeneration();
  if (!isUnchanged && !CommitLocalRow(value)) {
    return WriteOutcome::kFailed;
  }
  m_storedRecord = aMember;
  m_hasStored = true;
  m_storedGeneration = generation;
  m_rowMissing = false;
  return isUnchanged ? WriteOutcome::kUnchanged : WriteOutcome::kWritten;
}

void
MemberStore::FinishLocalRow(const std::optional<mesh::Member>& aUnwritten)
{
  if (!ReadLocalRow()) {
    return;
  }
  mesh::Member stopped = aUnwritten.value_or(m_storedRecord);
  if (stopped.leavingTarget.id.empty() &&
      m_storedRecord.leavingTarget.id.empty()) {
    if (m_localRowVersion) {
      CommitLocalRow(std::nullopt);
    }
    return;
  }
  stopped.accepting = false;
  stopped.stopTimeMs = UnixMilliseconds();
  ++stopped.revision;
  WriteLocalRow(stopped);
}

bool
MemberStore::CommitLocalRow(const std::optional<std::string>& aValue)
{
  store::TransactRequest request;
  request.conditions.push_back({ kTable, m_localAddress, m_localRowVersion });
  request.writes.push_back({ kTable, m_localAddress, aValue });
  m_readValue.reset();
  const store::TransactResult result = m_platform.Transact(request);
  if (const auto* committed = std::get_if<store::Committed>(&result)) {
    m_localRowVersion = aValue
                          ? std::optional<uint64_t>(committed->versions.front())
                          : std::nullopt;
    return true;
  }
  // After a conflict or an unknown outcome the row is read again before the
  // next attempt. The version condition prevents a delayed earlier write from
  // taking effect after a later one.
  m_localRowVersionKnown = std::holds_alternative<store::Refused>(result);
  return false;
}

void
MemberStore::DeletePeerRows(const std::vector<std::string>& aAddresses)
{
  for (const std::string& address : aAddresses) {
    const auto version = m_rowVersions.find(address);
    if (version == m_rowVersions.end()) {
      continue;
    }
    // Shows whether the store was restored since the version was read. After a
    // restore the same version may be that of a newer row.
    const auto row = m_platform.ReadRow(kTable, address);
    if (!IsOk(row) || KnownGeneration() != m_rowVersionsGeneration) {
      continue;
    }
    store::TransactRequest request;
    request.conditions.push_back({ kTable, address, version->second });
    request.writes.push_back({ kTable, address, std::nullopt });
    const store::TransactResult result = m_platform.Transact(request);
    observability::Event("member_row_deleted")
      .Add("member", address)
      .Add("done",
           std::holds_alternative<store::Committed>(result) ? "true" : "false")
      .Info();
  }
}

bool
MemberStore::ReadAllRows()
{
  const uint64_t generation = KnownGeneration();
  auto rows = m_platform.ListRows(kTable, "");
  if (const Error* error = GetError(rows)) {
    observability::Event("members_unread").Add("reason", error->detail).Info();
    return false;
  }
  std::vector<mesh::Member> members;
  m_rowVersions.clear();
  m_rowVersionsGeneration = generation;
  for (const store::Row& row : GetValue(rows)) {
    m_rowVersions[row.key] = row.version;
    mesh::wire::MemberRecord record;
    if (!record.ParseFromString(row.value) ||
        !IsMemberRecord(record, row.key)) {
      observability::Event("member_unreadable").Add("key", row.key).Warn();
      continue;
    }
    members.push_back(mesh::FromProto(record));
  }
  m_onMembers(members);
  return true;
}

} // namespace wagtailbend::node
