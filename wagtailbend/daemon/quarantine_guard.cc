#include "wagtailbend/daemon/quarantine_guard.h"

#include <cstring>
#include <optional>
#include <utility>

namespace wagtailbend::daemon {
namespace {

using quarantine::QuarantineDecision;
using quarantine::SuspectEntry;

constexpr size_t kMaxExport = 4096;
// Fingerprint, crash ids and the cleared flag, in the byte order of the
// machines, which are all little endian.
constexpr size_t kBodyBytes = 8 + 8 * quarantine::kMaxCrashes + 1;

membership::QuarantineEntry
EncodeEntry(const SuspectEntry& aEntry, TimePoint aNow)
{
  std::string body(kBodyBytes, '\0');
  std::memcpy(body.data(), &aEntry.fingerprint, 8);
  std::memcpy(
    body.data() + 8, aEntry.crashIds.data(), 8 * quarantine::kMaxCrashes);
  body.back() = aEntry.cleared ? '\1' : '\0';
  return { std::move(body), aNow + aEntry.remaining };
}

std::optional<SuspectEntry>
DecodeEntry(const membership::QuarantineEntry& aWire, TimePoint aNow)
{
  if (aWire.body.size() != kBodyBytes || aWire.expiresAt <= aNow) {
    return std::nullopt;
  }
  SuspectEntry entry;
  std::memcpy(&entry.fingerprint, aWire.body.data(), 8);
  std::memcpy(
    entry.crashIds.data(), aWire.body.data() + 8, 8 * quarantine::kMaxCrashes);
  entry.cleared = aWire.body.back() != '\0';
  entry.remaining = aWire.expiresAt - aNow;
  return entry;
}

} // namespace

uint64_t
FingerprintOf(const filters::RequestContext& aContext)
{
  char payload[sizeof(aContext.payloadHash)];
  std::memcpy(payload, &aContext.payloadHash, sizeof(payload));
  return quarantine::FingerprintOf(aContext.method->path,
                                   { payload, sizeof(payload) });
}

QuarantineGuard::QuarantineGuard(DaemonId aSelf, OnLost aOnLost)
  : m_list(std::move(aSelf))
  , m_onLost(std::move(aOnLost))
  , m_rng(MakeSeededRng())
  , m_listed(std::make_shared<const Listed>())
{
}

bool
QuarantineGuard::IsListed(uint64_t aFingerprint) const
{
  auto listed = m_listed.load(std::memory_order_acquire);
  return !listed->empty() && listed->contains(aFingerprint);
}

std::span<const DaemonId>
QuarantineGuard::Live(const std::string& aService) const
{
  auto found = m_live.find(aService);
  return found == m_live.end() ? std::span<const DaemonId>{}
                               : std::span<const DaemonId>(found->second);
}

QuarantineDecision
QuarantineGuard::Check(uint64_t aFingerprint,
                       const std::string& aService,
                       TimePoint aNow) const
{
  if (!IsListed(aFingerprint)) {
    return {};
  }
  std::lock_guard lock(m_mutex);
  return m_list.Check(aFingerprint, Live(aService), aNow);
}

bool
QuarantineGuard::BeginTrial(uint64_t aFingerprint,
                            const std::string& aService,
                            TimePoint aNow)
{
  std::lock_guard lock(m_mutex);
  return m_list.BeginTrial(aFingerprint, Live(aService), aNow);
}

void
QuarantineGuard::EndTrial(uint64_t aFingerprint, bool aSurvived, TimePoint aNow)
{
  std::lock_guard lock(m_mutex);
  if (auto entry = m_list.EndTrial(aFingerprint, aSurvived, aNow)) {
    m_news.push_back(*entry);
    Publish(aNow);
  }
}

void
QuarantineGuard::TrialConnectionLost(uint64_t aFingerprint, TimePoint aNow)
{
  std::lock_guard lock(m_mutex);
  m_news.push_back(m_list.OnTrialConnectionLost(aFingerprint, aNow, m_rng));
  Publish(aNow);
}

QuarantineGuard::Shard&
QuarantineGuard::ShardOf(uint64_t aFingerprint)
{
  return m_shards[aFingerprint % m_shards.size()];
}

void
QuarantineGuard::OnHandedOver(uint64_t aFingerprint)
{
  Shard& shard = ShardOf(aFingerprint);
  std::lock_guard lock(shard.mutex);
  shard.running.insert(aFingerprint);
}

void
QuarantineGuard::OnReturned(uint64_t aFingerprint, bool aLost)
{
  // Reported before any request that was lost leaves the set.
  if (aLost) {
    m_onLost(InFlight(), MonotonicNow());
  }
  Shard& shard = ShardOf(aFingerprint);
  std::lock_guard lock(shard.mutex);
  auto found = shard.running.find(aFingerprint);
  if (found != shard.running.end()) {
    shard.running.erase(found);
  }
}

std::vector<uint64_t>
QuarantineGuard::InFlight() const
{
  Listed running;
  for (const Shard& shard : m_shards) {
    std::lock_guard lock(shard.mutex);
    running.insert(shard.running.begin(), shard.running.end());
  }
  return { running.begin(), running.end() };
}

void
QuarantineGuard::TargetLost(const std::vector<uint64_t>& aInFlight,
                            TimePoint aNow)
{
  std::lock_guard lock(m_mutex);
  for (const SuspectEntry& entry :
       m_list.OnTargetCrashed(aInFlight, aNow, m_rng)) {
    m_news.push_back(entry);
  }
  Publish(aNow);
}

TimePoint
QuarantineGuard::EarliestResponseTime(TimePoint aLostAt) const
{
  return m_list.EarliestResponseTime(aLostAt);
}

void
QuarantineGuard::Update(
  const std::vector<membership::QuarantineEntry>& aEntries,
  std::map<std::string, std::vector<DaemonId>> aLive,
  TimePoint aNow)
{
  std::vector<SuspectEntry> entries;
  for (const membership::QuarantineEntry& wire : aEntries) {
    if (auto entry = DecodeEntry(wire, aNow)) {
      entries.push_back(*entry);
    }
  }
  std::lock_guard lock(m_mutex);
  m_live = std::move(aLive);
  if (!entries.empty()) {
    m_list.Merge(entries, aNow);
    Publish(aNow);
  }
}

std::vector<membership::QuarantineEntry>
QuarantineGuard::TakeNews(TimePoint aNow)
{
  std::vector<SuspectEntry> news;
  {
    std::lock_guard lock(m_mutex);
    news = std::exchange(m_news, {});
  }
  std::vector<membership::QuarantineEntry> entries;
  entries.reserve(news.size());
  for (const SuspectEntry& entry : news) {
    entries.push_back(EncodeEntry(entry, aNow));
  }
  return entries;
}

void
QuarantineGuard::Expire(TimePoint aNow)
{
  std::lock_guard lock(m_mutex);
  if (m_list.Size() > 0) {
    m_list.Expire(aNow);
    Publish(aNow);
  }
}

std::pair<size_t, size_t>
QuarantineGuard::Counts(TimePoint aNow) const
{
  std::lock_guard lock(m_mutex);
  size_t quarantined = 0;
  const auto entries = m_list.Export(kMaxExport, aNow);
  for (const SuspectEntry& entry : entries) {
    quarantined += entry.IsQuarantined() ? 1 : 0;
  }
  return { entries.size(), quarantined };
}

// Precondition: m_mutex is held.
void
QuarantineGuard::Publish(TimePoint aNow)
{
  auto listed = std::make_shared<Listed>();
  for (const SuspectEntry& entry : m_list.Export(kMaxExport, aNow)) {
    if (!entry.cleared || entry.IsQuarantined()) {
      listed->insert(entry.fingerprint);
    }
  }
  m_listed.store(std::move(listed), std::memory_order_release);
}

} // namespace wagtailbend::daemon
