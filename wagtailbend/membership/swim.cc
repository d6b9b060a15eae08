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

// A longer pause between two ticks means that this process was frozen; what
// timed out meanwhile says nothing about the others.
constexpr Duration kStall = seconds(1);
// A daemon that knows nobody retries its seeds at this interval.
constexpr Duration kLonelyRetry = milliseconds(500);
// How long the death of an unknown daemon is remembered.
constexpr Duration kLearnedRetention = seconds(60);
// The suspicion lasts this many probe periods per doubling of the members, so
// that a refutation has time to spread.
constexpr int kSuspicionPeriods = 1;
// A full-state piece waits until this many bytes are in the budget.
constexpr double kPieceReserve = 2.0 * kMaxDatagramBytes;

// Draws aCount distinct items; the order is random.
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
  , m_nextNews(aNow)
  , m_nextSync(aNow + aConfig.syncInterval)
  , m_nextRetry(aNow)
  , m_tokens(aConfig.burstBytes)
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
  AbsorbStall(aNow);
  ExpireSuspects(aNow);
  std::erase_if(m_relays,
                [&](const auto& aR) { return aR.second.expiresAt <= aNow; });
  std::erase_if(m_quarantine,
                [&](const auto& aE) { return aE.second.expiresAt <= aNow; });
  RunProbe(aNow, aRng);
  if (aNow >= m_nextNews) {
    m_nextNews = aNow + m_config.newsInterval;
    SendNews(aNow, aRng);
  }
  if (aNow >= m_nextSync) {
    m_nextSync = aNow + m_config.syncInterval;
    m_table.Expire(aNow - m_config.deadRetention, aNow - kLearnedRetention);
    StartSync(aNow, aRng);
  }
  if (aNow >= m_nextRetry) {
    m_nextRetry = aNow + (m_table.Live().empty() ? kLonelyRetry
                                                 : m_config.deadRetryInterval);
    RetryDead(aNow, aRng);
  }
  SendPieces(aNow);
  return std::exchange(m_out, {});
}

void
Swim::AbsorbStall(TimePoint aNow)
{
  const Duration gap = aNow - std::exchange(m_lastTick, aNow);
  m_tokens = std::min(m_config.burstBytes,
                      m_tokens + m_config.bytesPerSecond *
                                   std::chrono::duration<double>(gap).count());
  if (gap > kStall) {
    m_table.Postpone(gap);
    m_probe.reset();
    m_sessions.clear();
  }
}

void
Swim::RunProbe(TimePoint aNow, Rng& aRng)
{
  if (m_probe && aNow >= m_probe->endBy) {
    FailProbe(aNow);
  }
  if (m_probe && aNow >= m_probe->repeatAt) {
    m_probe->repeatAt = aNow + m_config.ackTimeout;
    RepeatProbe(aNow, aRng);
  }
  if (!m_probe && aNow >= m_nextProbe) {
    m_nextProbe = aNow + m_config.probePeriod;
    StartProbe(aNow, aRng);
  }
}

const std::string&
Swim::NextProbeTarget(Rng& aRng)
{
  static const std::string kNobody;
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
  if (m_table.Live().empty()) {
    return kNobody;
  }
  m_probeOrder = m_table.Live();
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
              .repeatAt = aNow + m_config.ackTimeout,
              .endBy = aNow + m_config.probeTimeout };
  SendPing(member, aNow);
}

void
Swim::SendPing(const Member& aTarget, TimePoint aNow)
{
  gossip::Envelope ping = MakeEnvelope(gossip::KIND_PING);
  ping.set_sequence(m_probe->sequence);
  *ping.mutable_target() = ToProto(aTarget.id);
  AddSubject(ping, aTarget.id);
  AddRecentDrains(ping, aNow);
  Fill(ping, aNow);
  Emit(aTarget.gossipAddress, ping);
}

void
Swim::RepeatProbe(TimePoint aNow, Rng& aRng)
{
  const internal::Record* target = m_table.Find(m_probe->target.name);
  if (!target || target->member.id != m_probe->target) {
    m_probe.reset();
    return;
  }
  SendPing(target->member, aNow);
  std::vector<std::string> others = m_table.Live();
  std::erase(others, m_probe->target.name);
  for (const std::string& name :
       Sample(std::move(others), m_config.indirectProbes, aRng)) {
    gossip::Envelope request = MakeEnvelope(gossip::KIND_PING_REQ);
    request.set_sequence(m_probe->sequence);
    *request.mutable_target() = ToProto(m_probe->target);
    request.set_target_address(target->member.gossipAddress);
    Fill(request, aNow);
    Emit(m_table.Find(name)->member.gossipAddress, request);
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
  const Duration timeout =
    std::max<Duration>(m_config.minSuspicion,
                       m_config.probePeriod * kSuspicionPeriods * LogSize());
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
Swim::SendNews(TimePoint aNow, Rng& aRng)
{
  if (m_news.IsEmpty() || m_tokens < 0) {
    return;
  }
  for (const std::string& name :
       Sample(m_table.Live(), m_config.newsFanout, aRng)) {
    gossip::Envelope news = MakeEnvelope(gossip::KIND_NEWS);
    Fill(news, aNow);
    Emit(m_table.Find(name)->member.gossipAddress, news);
  }
}

void
Swim::StartSync(TimePoint aNow, Rng& aRng)
{
  for (const std::string& name : Sample(m_table.Live(), 1, aRng)) {
    gossip::Envelope sync = MakeEnvelope(gossip::KIND_SYNC);
    sync.set_state_hash(StateHash());
    Fill(sync, aNow);
    Emit(m_table.Find(name)->member.gossipAddress, sync);
  }
}

void
Swim::RetryDead(TimePoint aNow, Rng& aRng)
{
  std::vector<std::string> names = m_table.DeadNames();
  std::vector<std::string> seeds = m_seeds;
  for (const std::string& name : m_table.Live()) {
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
    AddSubject(sync, dead.id);
    to = dead.gossipAddress;
  } else {
    to = seeds[choice - names.size()];
  }
  Fill(sync, aNow);
  Emit(to, sync);
}

void
Swim::SendPieces(TimePoint aNow)
{
  for (Session& session : m_sessions) {
    if (m_tokens < kPieceReserve) {
      return;
    }
    gossip::Envelope piece = MakeEnvelope(gossip::KIND_NEWS);
    const bool done = FillPiece(session, piece, aNow);
    Emit(session.to, piece);
    if (done) {
      session.to.clear();
    }
  }
  std::erase_if(m_sessions, [](const Session& aS) { return aS.to.empty(); });
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
Swim::LogSize() const
{
  return static_cast<uint32_t>(std::bit_width(m_table.Live().size() + 1));
}

} // namespace wagtailbend::membership
