#include "wagtailbend/membership/swim.h"

#include <algorithm>
#include <bit>
#include <utility>

#include "wagtailbend/membership/gossip_codec.h"
#include "wagtailbend/membership/rendezvous.h"

namespace wagtailbend::membership {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A longer pause between two ticks means that this process was paused. Timeouts
// that passed during the pause say nothing about the peers.
constexpr Duration kMaxTickGap = seconds(1);
// Interval at which a daemon without known live peers retries its seeds.
constexpr Duration kSeedRetryInterval = milliseconds(500);
// How long the record of a dead or left daemon that was unknown here is kept.
constexpr Duration kUnpropagatedRetention = seconds(60);
// The suspicion timeout grows by this many probe periods each time the number
// of members doubles, so that a refutation has time to propagate.
constexpr int kSuspicionPeriodsPerDoubling = 1;
// A chunk of a full-state exchange is sent only if the budget holds this many
// bytes.
constexpr double kChunkReserveBytes = 2.0 * kMaxDatagramBytes;

// Returns aCount distinct items, or all if there are fewer, in random order.
std::vector<std::string>
Sample(std::vector<std::string> aItems, size_t aCount, Rng& aRng)
{
  const size_t count = std::min(aCount, aItems.size());
  for (size_t i = 0; i < count; ++i) {
    std::swap(aItems[i], aItems[i + UniformBelow(aRng, aItems.size() - i)]);
  }
  aItems.resize(count);
  return aItems;
}

} // namespace

Swim::Swim(SwimConfig aConfig,
           Member aSelf,
           std::vector<std::string> aSeeds,
           TimePoint aNow)
  : m_config(aConfig)
  , m_self(std::move(aSelf))
  , m_seeds(std::move(aSeeds))
  , m_startedAt(aNow)
  , m_lastTick(aNow)
  , m_nextProbe(aNow)
  , m_nextUpdates(aNow)
  , m_nextSync(aNow + aConfig.syncInterval)
  , m_nextRetry(aNow)
  , m_byteBudget(aConfig.burstBytes)
{
  std::erase(m_seeds, m_self.gossipAddress);
  AnnounceSelf();
}

std::vector<Datagram>
Swim::Tick(TimePoint aNow, Rng& aRng)
{
  if (m_superseded) {
    return {};
  }
  HandlePause(aNow);
  ExpireSuspects(aNow);
  std::erase_if(m_relayedPings, [&](const auto& aRelayed) {
    return aRelayed.second.expiresAt <= aNow;
  });
  std::erase_if(m_quarantine, [&](const auto& aEntry) {
    return aEntry.second.expiresAt <= aNow;
  });
  RunProbe(aNow, aRng);
  if (aNow >= m_nextUpdates) {
    m_nextUpdates = aNow + m_config.updateInterval;
    SendUpdates(aNow, aRng);
  }
  if (aNow >= m_nextSync) {
    m_nextSync = aNow + m_config.syncInterval;
    m_table.Expire(aNow - m_config.deadRetention,
                   aNow - kUnpropagatedRetention);
    StartSync(aNow, aRng);
  }
  if (aNow >= m_nextRetry) {
    m_nextRetry =
      aNow + (m_table.LiveNames().empty() ? kSeedRetryInterval
                                          : m_config.deadRetryInterval);
    ContactUnreachable(aNow, aRng);
  }
  SendSyncChunks(aNow);
  return std::exchange(m_outgoing, {});
}

void
Swim::HandlePause(TimePoint aNow)
{
  const Duration pause = aNow - std::exchange(m_lastTick, aNow);
  m_byteBudget =
    std::min(m_config.burstBytes,
             m_byteBudget + m_config.bytesPerSecond *
                              std::chrono::duration<double>(pause).count());
  if (pause > kMaxTickGap) {
    m_table.ExtendSuspicions(pause);
    m_probe.reset();
    m_syncSessions.clear();
  }
}

void
Swim::RunProbe(TimePoint aNow, Rng& aRng)
{
  if (m_probe && aNow >= m_probe->deadline) {
    FailProbe(aNow);
  }
  if (m_probe && aNow >= m_probe->retryAt) {
    m_probe->retryAt = aNow + m_config.ackTimeout;
    RetryProbe(aNow, aRng);
  }
  if (!m_probe && aNow >= m_nextProbe) {
    m_nextProbe = aNow + m_config.probePeriod;
    StartProbe(aNow, aRng);
  }
}

const std::string&
Swim::NextProbeTarget(Rng& aRng)
{
  static const std::string kNoTarget;
  for (const auto& [name, record] : m_table.Records()) {
    if (record.suspectSince && record.member.state == MemberState::kDraining) {
      return name;
    }
  }
  while (!m_probeOrder.empty()) {
    const internal::Record* record = m_table.Find(m_probeOrder.back());
    m_probeOrder.pop_back();
    if (record && IsLive(record->member)) {
      return record->member.id.name;
    }
  }
  if (m_table.LiveNames().empty()) {
    return kNoTarget;
  }
  m_probeOrder = m_table.LiveNames();
  std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), aRng);
  const std::string last = m_probeOrder.back();
  m_probeOrder.pop_back();
  return m_table.Find(last)->member.id.name;
}

void
Swim::StartProbe(TimePoint aNow, Rng& aRng)
{
  const internal::Record* record = m_table.Find(NextProbeTarget(aRng));
  if (!record) {
    return;
  }
  const Member& member = record->member;
  m_probe = { .target = member.id,
              .sequence = ++m_sequence,
              .retryAt = aNow + m_config.ackTimeout,
              .deadline = aNow + m_config.probeTimeout };
  SendPing(member, aNow);
}

void
Swim::SendPing(const Member& aTarget, TimePoint aNow)
{
  gossip::Envelope ping = MakeEnvelope(gossip::KIND_PING);
  ping.set_sequence(m_probe->sequence);
  *ping.mutable_target() = ToProto(aTarget.id);
  AddRefutableRecord(ping, aTarget.id);
  AddRecentDrains(ping, aNow);
  AddPendingUpdates(ping, aNow);
  QueueDatagram(aTarget.gossipAddress, ping);
}

void
Swim::RetryProbe(TimePoint aNow, Rng& aRng)
{
  const internal::Record* target = m_table.Find(m_probe->target.name);
  if (!target || target->member.id != m_probe->target) {
    m_probe.reset();
    return;
  }
  SendPing(target->member, aNow);
  std::vector<std::string> peers = m_table.LiveNames();
  std::erase(peers, m_probe->target.name);
  for (const std::string& name :
       Sample(std::move(peers), m_config.indirectProbes, aRng)) {
    gossip::Envelope request = MakeEnvelope(gossip::KIND_PING_REQ);
    request.set_sequence(m_probe->sequence);
    *request.mutable_target() = ToProto(m_probe->target);
    request.set_target_address(target->member.gossipAddress);
    AddPendingUpdates(request, aNow);
    QueueDatagram(m_table.Find(name)->member.gossipAddress, request);
  }
}

void
Swim::FailProbe(TimePoint aNow)
{
  const DaemonId target = std::exchange(m_probe, std::nullopt)->target;
  internal::Record* record = m_table.Find(target.name);
  if (!record || record->member.id != target || record->suspectSince) {
    return;
  }
  if (record->member.state == MemberState::kDraining) {
    record->suspectSince = aNow;
  } else if (record->member.state == MemberState::kAlive) {
    Member suspect = record->member;
    suspect.state = MemberState::kSuspect;
    Apply(suspect, aNow);
  }
}

void
Swim::ExpireSuspects(TimePoint aNow)
{
  const Duration timeout = std::max<Duration>(
    m_config.minSuspicion,
    m_config.probePeriod * kSuspicionPeriodsPerDoubling * LogMemberCount());
  std::vector<Member> dead;
  for (const auto& [name, record] : m_table.Records()) {
    if (record.suspectSince && aNow - *record.suspectSince >= timeout) {
      dead.push_back(record.member);
    }
  }
  for (Member& member : dead) {
    member.state = MemberState::kDead;
    Apply(member, aNow);
  }
}

void
Swim::SendUpdates(TimePoint aNow, Rng& aRng)
{
  if (m_updates.IsEmpty() || m_byteBudget < 0) {
    return;
  }
  for (const std::string& name :
       Sample(m_table.LiveNames(), m_config.updateFanout, aRng)) {
    gossip::Envelope updates = MakeEnvelope(gossip::KIND_NEWS);
    AddPendingUpdates(updates, aNow);
    QueueDatagram(m_table.Find(name)->member.gossipAddress, updates);
  }
}

void
Swim::StartSync(TimePoint aNow, Rng& aRng)
{
  for (const std::string& name : Sample(m_table.LiveNames(), 1, aRng)) {
    gossip::Envelope sync = MakeEnvelope(gossip::KIND_SYNC);
    sync.set_state_hash(StateHash());
    AddPendingUpdates(sync, aNow);
    QueueDatagram(m_table.Find(name)->member.gossipAddress, sync);
  }
}

void
Swim::ContactUnreachable(TimePoint aNow, Rng& aRng)
{
  std::vector<std::string> names = m_table.DeadNames();
  std::vector<std::string> seeds = m_seeds;
  for (const std::string& name : m_table.LiveNames()) {
    std::erase(seeds, m_table.Find(name)->member.gossipAddress);
  }
  if (names.empty() && seeds.empty()) {
    return;
  }
  const size_t choice = UniformBelow(aRng, names.size() + seeds.size());
  gossip::Envelope sync = MakeEnvelope(gossip::KIND_SYNC);
  sync.set_state_hash(StateHash());
  std::string to;
  if (choice < names.size()) {
    const Member& dead = m_table.Find(names[choice])->member;
    AddRefutableRecord(sync, dead.id);
    to = dead.gossipAddress;
  } else {
    to = seeds[choice - names.size()];
  }
  AddPendingUpdates(sync, aNow);
  QueueDatagram(to, sync);
}

void
Swim::SendSyncChunks(TimePoint aNow)
{
  for (SyncSession& session : m_syncSessions) {
    if (m_byteBudget < kChunkReserveBytes) {
      return;
    }
    gossip::Envelope chunk = MakeEnvelope(gossip::KIND_NEWS);
    const bool done = FillSyncChunk(session, chunk, aNow);
    QueueDatagram(session.to, chunk);
    if (done) {
      session.to.clear();
    }
  }
  std::erase_if(m_syncSessions, [](const SyncSession& aSession) {
    return aSession.to.empty();
  });
}

void
Swim::SetTarget(std::optional<std::string> aService,
                uint32_t aSlots,
                bool aCold)
{
  m_self.service = std::move(aService);
  m_self.slots = aSlots;
  m_self.cold = aCold;
  ++m_self.number;
  AnnounceSelf();
}

void
Swim::StartDraining()
{
  if (m_self.state == MemberState::kAlive) {
    m_self.state = MemberState::kDraining;
    ++m_self.number;
    AnnounceSelf();
  }
}

void
Swim::StopDraining()
{
  if (m_self.state == MemberState::kDraining) {
    m_self.state = MemberState::kAlive;
    ++m_self.number;
    AnnounceSelf();
  }
}

void
Swim::Leave(std::optional<DaemonId> aSuccessor)
{
  m_self.state = MemberState::kLeft;
  m_self.successor = std::move(aSuccessor);
  ++m_self.number;
  AnnounceSelf();
}

std::vector<Member>
Swim::Members() const
{
  std::vector<Member> members{ m_self };
  for (const auto& [name, record] : m_table.Records()) {
    members.push_back(record.member);
  }
  return members;
}

std::vector<QuarantineEntry>
Swim::Quarantine(TimePoint aNow) const
{
  std::vector<QuarantineEntry> entries;
  for (const auto& [hash, entry] : m_quarantine) {
    if (entry.expiresAt > aNow) {
      entries.push_back(entry);
    }
  }
  return entries;
}

uint64_t
Swim::StateHash() const
{
  uint64_t hash = m_table.Hash();
  if (IsLive(m_self)) {
    hash ^= internal::RecordHash(m_self);
  }
  for (const auto& [key, entry] : m_quarantine) {
    hash ^= key;
  }
  return hash;
}

uint32_t
Swim::LogMemberCount() const
{
  return static_cast<uint32_t>(std::bit_width(m_table.LiveNames().size() + 1));
}

} // namespace wagtailbend::membership
