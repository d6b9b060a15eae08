#include "wagtailbend/quarantine/quarantine_list.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <tuple>
#include <utility>

#include <xxhash.h>

namespace wagtailbend::quarantine {
namespace {

// Low bits of a crash id, which are random.
constexpr int kRandomBits = 24;
constexpr uint64_t kRandomMask = (uint64_t{ 1 } << kRandomBits) - 1;
constexpr uint64_t kMaxCrashTime = UINT64_MAX >> kRandomBits;

struct RankedEntry
{
  uint64_t latestCrashId = 0;
  uint64_t fingerprint = 0;

  bool operator<(const RankedEntry& aOther) const
  {
    return std::tie(latestCrashId, fingerprint) <
           std::tie(aOther.latestCrashId, aOther.fingerprint);
  }
};

// Keeps the largest loss ids, so that the result of a merge does not depend on
// the order. Returns true if aEntry changed.
bool
InsertLoss(SuspectEntry& aEntry, uint64_t aLossId)
{
  auto& crashIds = aEntry.crashIds;
  if (aLossId <= crashIds.front() ||
      std::ranges::count(crashIds, aLossId) > 0) {
    return false;
  }
  crashIds.front() = aLossId;
  std::ranges::sort(crashIds);
  return true;
}

} // namespace

uint64_t
FingerprintOf(std::string_view aMethod, std::string_view aPayload)
{
  const uint64_t seed = XXH64(aMethod.data(), aMethod.size(), 0);
  return XXH64(aPayload.data(), aPayload.size(), seed);
}

const DaemonId*
SelectTrialDaemon(uint64_t aFingerprint, std::span<const DaemonId> aLive)
{
  const DaemonId* best = nullptr;
  uint64_t bestScore = 0;
  for (const DaemonId& daemon : aLive) {
    const uint64_t score = XXH64(daemon.name.data(),
                                 daemon.name.size(),
                                 aFingerprint ^ daemon.incarnation);
    const bool tie = best != nullptr && score == bestScore;
    if (best == nullptr || score > bestScore ||
        (tie && daemon.name.compare(best->name) > 0)) {
      best = &daemon;
      bestScore = score;
    }
  }
  return best;
}

QuarantineList::QuarantineList(DaemonId aSelf, QuarantineLimits aLimits)
  : m_self(std::move(aSelf))
  , m_limits(aLimits)
{
}

QuarantineDecision
QuarantineList::Check(uint64_t aFingerprint,
                      std::span<const DaemonId> aLive,
                      TimePoint aNow) const
{
  const Record* record = Find(aFingerprint, aNow);
  if (record == nullptr) {
    return { QuarantineAction::kPass, {} };
  }
  if (record->entry.IsQuarantined()) {
    return { QuarantineAction::kQuarantined, {} };
  }
  if (record->entry.cleared) {
    return { QuarantineAction::kPass, {} };
  }
  const DaemonId* selected = SelectTrialDaemon(aFingerprint, aLive);
  if (selected == nullptr) {
    return { QuarantineAction::kQuarantined, {} };
  }
  if (*selected == m_self) {
    return { QuarantineAction::kTrialHere, m_self };
  }
  return { QuarantineAction::kTrialElsewhere, *selected };
}

bool
QuarantineList::BeginTrial(uint64_t aFingerprint,
                           std::span<const DaemonId> aLive,
                           TimePoint aNow)
{
  if (m_trials.size() >= m_limits.maxConcurrentTrials ||
      Check(aFingerprint, aLive, aNow).kind != QuarantineAction::kTrialHere) {
    return false;
  }
  return m_trials.insert(aFingerprint).second;
}

std::optional<SuspectEntry>
QuarantineList::EndTrial(uint64_t aFingerprint, bool aSurvived, TimePoint aNow)
{
  if (m_trials.erase(aFingerprint) == 0) {
    return std::nullopt;
  }
  const auto found = m_records.find(aFingerprint);
  if (!aSurvived || found == m_records.end() ||
      found->second.expiresAt <= aNow) {
    return std::nullopt;
  }
  found->second.entry.cleared = true;
  found->second.changedAt = aNow;
  SuspectEntry entry = found->second.entry;
  entry.remaining = found->second.expiresAt - aNow;
  return entry;
}

std::vector<SuspectEntry>
QuarantineList::OnTargetCrashed(std::span<const uint64_t> aInFlight,
                                TimePoint aNow,
                                Rng& aRng)
{
  m_trials.clear();
  std::vector<uint64_t> distinct(aInFlight.begin(), aInFlight.end());
  std::ranges::sort(distinct);
  distinct.erase(std::unique(distinct.begin(), distinct.end()), distinct.end());
  std::vector<SuspectEntry> entries;
  entries.reserve(distinct.size());
  for (const uint64_t fingerprint : distinct) {
    entries.push_back(AddLoss(fingerprint, aNow, aRng));
  }
  Trim();
  return entries;
}

SuspectEntry
QuarantineList::OnTrialConnectionLost(uint64_t aFingerprint,
                                      TimePoint aNow,
                                      Rng& aRng)
{
  const SuspectEntry entry = AddLoss(aFingerprint, aNow, aRng);
  Trim();
  return entry;
}

std::optional<SuspectEntry>
QuarantineList::OnDaemonLost(uint64_t aFingerprint,
                             TimePoint aStartedAt,
                             TimePoint aNow,
                             Rng& aRng)
{
  const Record* record = Find(aFingerprint, aNow);
  if (record != nullptr &&
      (record->entry.cleared ||
       record->expiresAt - m_limits.lifetime >= aStartedAt)) {
    return std::nullopt;
  }
  const SuspectEntry entry = AddLoss(aFingerprint, aNow, aRng);
  Trim();
  return entry;
}

TimePoint
QuarantineList::EarliestResponseTime(TimePoint aLostAt) const
{
  return aLostAt + m_limits.gossipPropagationTime;
}

void
QuarantineList::Merge(std::span<const SuspectEntry> aEntries, TimePoint aNow)
{
  for (const SuspectEntry& entry : aEntries) {
    if (entry.remaining <= Duration::zero()) {
      continue;
    }
    Record& record = FindOrInsert(entry.fingerprint, aNow);
    bool changed = false;
    for (const uint64_t loss : entry.crashIds) {
      changed = InsertLoss(record.entry, loss) || changed;
      m_lastCrashTime = std::max(m_lastCrashTime, loss >> kRandomBits);
    }
    if (changed || (entry.cleared && !record.entry.cleared)) {
      record.changedAt = aNow;
    }
    record.entry.cleared |= entry.cleared;
    // Only new crashes extend the expiry. Otherwise gossip of known crashes
    // between daemons would keep the entry alive forever.
    if (changed) {
      const Duration remaining = std::min(entry.remaining, m_limits.lifetime);
      record.expiresAt = std::max(record.expiresAt, aNow + remaining);
    }
  }
  Trim();
}

template<typename Predicate>
std::vector<SuspectEntry>
QuarantineList::Select(TimePoint aNow, Predicate aPredicate) const
{
  std::vector<SuspectEntry> entries;
  for (const auto& [fingerprint, record] : m_records) {
    if (record.expiresAt <= aNow || !aPredicate(record)) {
      continue;
    }
    entries.push_back(record.entry);
    entries.back().remaining = record.expiresAt - aNow;
  }
  return entries;
}

std::vector<SuspectEntry>
QuarantineList::Export(size_t aMax, TimePoint aNow) const
{
  std::vector<SuspectEntry> entries =
    Select(aNow, [](const Record&) { return true; });
  std::ranges::sort(
    entries, [](const SuspectEntry& aLeft, const SuspectEntry& aRight) {
      return std::tuple(aRight.IsQuarantined(), aRight.remaining) <
             std::tuple(aLeft.IsQuarantined(), aLeft.remaining);
    });
  entries.resize(std::min(entries.size(), aMax));
  return entries;
}

std::vector<SuspectEntry>
QuarantineList::ExportSince(TimePoint aSince, TimePoint aNow) const
{
  return Select(aNow, [aSince](const Record& aRecord) {
    return aRecord.changedAt > aSince;
  });
}

std::vector<SuspectEntry>
QuarantineList::ExportDiffering(const ListDigests& aDigests,
                                TimePoint aNow) const
{
  const ListDigests own = Digests(aNow);
  return Select(aNow, [&own, &aDigests](const Record& aRecord) {
    const size_t bucket = aRecord.entry.fingerprint % own.size();
    return own[bucket] != aDigests[bucket];
  });
}

ListDigests
QuarantineList::Digests(TimePoint aNow) const
{
  ListDigests digests{};
  for (const auto& [fingerprint, record] : m_records) {
    if (record.expiresAt <= aNow) {
      continue;
    }
    const auto& ids = record.entry.crashIds;
    digests[fingerprint % digests.size()] ^=
      XXH64(ids.data(),
            sizeof(ids),
            fingerprint + static_cast<uint64_t>(record.entry.cleared));
  }
  return digests;
}

uint64_t
QuarantineList::Digest(TimePoint aNow) const
{
  const ListDigests digests = Digests(aNow);
  return std::accumulate(
           digests.begin(), digests.end(), uint64_t{ 0 }, std::bit_xor<>()) |
         1;
}

void
QuarantineList::Expire(TimePoint aNow)
{
  std::erase_if(m_records, [aNow](const auto& aItem) {
    return aItem.second.expiresAt <= aNow;
  });
}

const QuarantineList::Record*
QuarantineList::Find(uint64_t aFingerprint, TimePoint aNow) const
{
  const auto found = m_records.find(aFingerprint);
  if (found == m_records.end() || found->second.expiresAt <= aNow) {
    return nullptr;
  }
  return &found->second;
}

QuarantineList::Record&
QuarantineList::FindOrInsert(uint64_t aFingerprint, TimePoint aNow)
{
  const auto found = m_records.find(aFingerprint);
  if (found != m_records.end()) {
    if (found->second.expiresAt <= aNow) {
      found->second = Record{ { aFingerprint }, aNow, aNow };
    }
    return found->second;
  }
  return m_records.emplace(aFingerprint, Record{ { aFingerprint }, aNow, aNow })
    .first->second;
}

uint64_t
QuarantineList::NextCrashId(Rng& aRng)
{
  m_lastCrashTime = std::min(m_lastCrashTime + 1, kMaxCrashTime);
  return (m_lastCrashTime << kRandomBits) | (aRng() & kRandomMask);
}

void
QuarantineList::Trim()
{
  std::vector<RankedEntry> quarantined;
  std::vector<RankedEntry> suspects;
  for (const auto& [fingerprint, record] : m_records) {
    (record.entry.IsQuarantined() ? quarantined : suspects)
      .push_back({ record.entry.crashIds.back(), fingerprint });
  }
  const auto evictAbove = [this](std::vector<RankedEntry>& aEntries,
                                 size_t aLimit) {
    if (aEntries.size() <= aLimit) {
      return;
    }
    const auto firstKept =
      aEntries.begin() + static_cast<ptrdiff_t>(aEntries.size() - aLimit);
    std::nth_element(aEntries.begin(), firstKept, aEntries.end());
    for (auto evicted = aEntries.begin(); evicted != firstKept; ++evicted) {
      m_records.erase(evicted->fingerprint);
    }
  };
  const size_t quarantinedLimit = m_limits.maxEntries * 3 / 4;
  evictAbove(quarantined, quarantinedLimit);
  evictAbove(suspects,
             m_limits.maxEntries -
               std::min(quarantined.size(), quarantinedLimit));
}

SuspectEntry
QuarantineList::AddLoss(uint64_t aFingerprint, TimePoint aNow, Rng& aRng)
{
  Record& record = FindOrInsert(aFingerprint, aNow);
  InsertLoss(record.entry, NextCrashId(aRng));
  record.changedAt = aNow;
  record.expiresAt = aNow + m_limits.lifetime;
  SuspectEntry entry = record.entry;
  entry.remaining = m_limits.lifetime;
  return entry;
}

} // namespace wagtailbend::quarantine
