// Message handling of Swim. The timers are in swim.cc.

#include <algorithm>
#include <utility>

#include "wagtailbend/membership/gossip_codec.h"
#include "wagtailbend/membership/rendezvous.h"
#include "wagtailbend/membership/swim.h"

namespace wagtailbend::membership {
namespace {

using internal::Record;
using internal::UpdateQueue;

// A daemon that learns of a later process with its name within this time after
// its own start assumes that the clock stepped back between the two starts. A
// process that really is older would learn of the later one after a longer
// time.
constexpr Duration kClockStepGracePeriod = std::chrono::seconds(10);
// The number of times that each update is sent grows by this much each time the
// number of members doubles.
constexpr uint32_t kSendsPerDoubling = 2;
// Size of the UDP and IP headers, which count against the byte budget.
constexpr size_t kUdpIpHeaderBytes = 28;
// Size of the tag and length of an embedded message below 16 KiB.
constexpr size_t kFieldOverheadBytes = 3;
// Probes and acks repeat drain updates for this long, in addition to the
// regular sends: while 100 of 138 daemons restarted, all random sends missed
// one daemon, which learned of a drain only after 28.6 s.
constexpr Duration kDrainRetransmitPeriod = std::chrono::seconds(10);
constexpr int kMaxDrainRetransmits = 4;
constexpr size_t kMaxSyncSessions = 3;
constexpr size_t kMaxRelayedPings = 1000;
constexpr std::string_view kMemberKey = "m/";
constexpr std::string_view kQuarantineKey = "q/";
constexpr std::string_view kConfigKey = "c/";

std::string
MemberKey(const std::string& aName)
{
  return std::string(kMemberKey) + aName;
}

// Drain and leave updates must reach all daemons within 3 s, even while many
// daemons restart.
bool
IsUrgent(const Member& aMember)
{
  return aMember.state == MemberState::kDraining ||
         aMember.state == MemberState::kLeft;
}

size_t
RemainingBytes(const gossip::Envelope& aEnvelope)
{
  const size_t used = aEnvelope.ByteSizeLong() + kChecksumBytes;
  return used < kMaxDatagramBytes ? kMaxDatagramBytes - used : 0;
}

bool
HasMember(const gossip::Envelope& aEnvelope, std::string_view aName)
{
  return std::any_of(aEnvelope.updates().begin(),
                     aEnvelope.updates().end(),
                     [&](const gossip::Member& aUpdate) {
                       return aUpdate.id().name() == aName;
                     });
}

} // namespace

std::vector<Datagram>
Swim::HandleMessage(std::string_view aFrom,
                    std::string_view aMessage,
                    TimePoint aNow)
{
  const Result<gossip::Envelope> decoded = DecodeEnvelope(aMessage);
  const auto* envelope = std::get_if<gossip::Envelope>(&decoded);
  if (!envelope) {
    ++m_malformed;
    return {};
  }
  if (m_superseded || FromProto(envelope->sender()) == m_self.id) {
    return {};
  }
  HandleEnvelope(std::string(aFrom), *envelope, aNow);
  return std::exchange(m_outgoing, {});
}

void
Swim::HandleEnvelope(const std::string& aFrom,
                     const gossip::Envelope& aEnvelope,
                     TimePoint aNow)
{
  Merge(aEnvelope, aNow);
  Record* sender = m_table.Find(aEnvelope.sender().name());
  if (sender && sender->member.state == MemberState::kDraining &&
      sender->member.id == FromProto(aEnvelope.sender())) {
    sender->suspectSince.reset();
  }
  if (m_superseded) {
    return;
  }
  switch (aEnvelope.kind()) {
    case gossip::KIND_PING:
      return HandlePing(aFrom, aEnvelope, aNow);
    case gossip::KIND_PING_REQ:
      return HandlePingReq(aFrom, aEnvelope, aNow);
    case gossip::KIND_ACK:
      return HandleAck(aEnvelope, aNow);
    case gossip::KIND_SYNC:
      return HandleSync(aFrom, aEnvelope, aNow);
    default:
      return;
  }
}

void
Swim::Merge(const gossip::Envelope& aEnvelope, TimePoint aNow)
{
  if (aEnvelope.has_config()) {
    AnnounceConfig(FromProto(aEnvelope.config()));
  }
  for (const gossip::QuarantineEntry& wire : aEnvelope.quarantine()) {
    if (const auto entry = FromProto(wire, aNow)) {
      StoreQuarantine(*entry);
    }
  }
  for (const gossip::Member& wire : aEnvelope.updates()) {
    const std::optional<Member> member = FromProto(wire);
    if (!member || member->failureDomain != m_self.failureDomain) {
      continue;
    }
    if (member->id.name == m_self.id.name) {
      MergeLocalRecord(*member, aNow);
    } else {
      Apply(*member, aNow);
    }
  }
}

void
Swim::MergeLocalRecord(const Member& aMember, TimePoint aNow)
{
  if (!Supersedes(aMember, m_self)) {
    return;
  }
  if (aMember.id == m_self.id && aMember.generation == m_self.generation) {
    m_self.number = aMember.number + 1;
  } else if (aNow - m_startedAt < kClockStepGracePeriod) {
    m_self.generation = aMember.generation + 1;
  } else {
    m_superseded = true;
    ++m_revision;
    return;
  }
  AnnounceSelf();
}

void
Swim::HandlePing(const std::string& aFrom,
                 const gossip::Envelope& aPing,
                 TimePoint aNow)
{
  gossip::Envelope ack = MakeEnvelope(gossip::KIND_ACK);
  ack.set_sequence(aPing.sequence());
  *ack.mutable_target() = ToProto(m_self.id);
  AddRefutableRecord(ack, FromProto(aPing.sender()));
  AddRecentDrains(ack, aNow);
  AddPendingUpdates(ack, aNow);
  QueueDatagram(aFrom, ack);
}

void
Swim::HandlePingReq(const std::string& aFrom,
                    const gossip::Envelope& aRequest,
                    TimePoint aNow)
{
  if (aRequest.target_address().empty() ||
      m_relayedPings.size() >= kMaxRelayedPings) {
    return;
  }
  m_relayedPings[++m_sequence] = { aFrom,
                                   aRequest.sequence(),
                                   aNow + m_config.probePeriod };
  gossip::Envelope ping = MakeEnvelope(gossip::KIND_PING);
  ping.set_sequence(m_sequence);
  *ping.mutable_target() = aRequest.target();
  AddPendingUpdates(ping, aNow);
  QueueDatagram(aRequest.target_address(), ping);
}

void
Swim::HandleAck(const gossip::Envelope& aAck, TimePoint aNow)
{
  if (m_probe && m_probe->sequence == aAck.sequence()) {
    if (FromProto(aAck.target()) == m_probe->target) {
      if (Record* record = m_table.Find(m_probe->target.name);
          record && record->member.state == MemberState::kDraining) {
        record->suspectSince.reset();
      }
      m_probe.reset();
    }
    return;
  }
  const auto relayed = m_relayedPings.find(aAck.sequence());
  if (relayed == m_relayedPings.end()) {
    return;
  }
  gossip::Envelope ack = MakeEnvelope(gossip::KIND_ACK);
  ack.set_sequence(relayed->second.sequence);
  *ack.mutable_target() = aAck.target();
  AddPendingUpdates(ack, aNow);
  QueueDatagram(relayed->second.to, ack);
  m_relayedPings.erase(relayed);
}

void
Swim::HandleSync(const std::string& aFrom,
                 const gossip::Envelope& aSync,
                 TimePoint aNow)
{
  const uint64_t hash = StateHash();
  const bool busy = std::any_of(
    m_syncSessions.begin(),
    m_syncSessions.end(),
    [&](const SyncSession& aSession) { return aSession.to == aFrom; });
  // Without budget the request is dropped and the sender retries later:
  // responses to 138 daemons that started together exceeded the byte budget of
  // the seeds.
  if (hash == aSync.state_hash() || m_byteBudget < 0) {
    return;
  }
  if (!busy && m_syncSessions.size() < kMaxSyncSessions) {
    m_syncSessions.push_back({ .to = aFrom, .cursor = {} });
  }
  if (!aSync.is_reply()) {
    gossip::Envelope response = MakeEnvelope(gossip::KIND_SYNC);
    response.set_state_hash(hash);
    response.set_is_reply(true);
    AddRefutableRecord(response, FromProto(aSync.sender()));
    AddPendingUpdates(response, aNow);
    QueueDatagram(aFrom, response);
  }
}

bool
Swim::FillSyncChunk(SyncSession& aSession,
                    gossip::Envelope& aChunk,
                    TimePoint aNow)
{
  size_t remainingBytes = RemainingBytes(aChunk);
  const auto tryAdd = [&](auto aWire, auto* aField) {
    const size_t size = aWire.ByteSizeLong() + kFieldOverheadBytes;
    if (size > remainingBytes) {
      return false;
    }
    remainingBytes -= size;
    *aField->Add() = std::move(aWire);
    return true;
  };
  if (aSession.cursor.empty()) {
    tryAdd(ToProto(m_self), aChunk.mutable_updates());
  }
  const auto& records = m_table.Records();
  for (auto record = records.upper_bound(aSession.cursor);
       record != records.end();
       ++record) {
    if (record->second.propagate &&
        !tryAdd(ToProto(record->second.member), aChunk.mutable_updates())) {
      return false;
    }
    aSession.cursor = record->first;
  }
  // Entries that do not fit in the last chunk are sent in a later exchange.
  for (const auto& [hash, entry] : m_quarantine) {
    if (!tryAdd(ToProto(entry, aNow), aChunk.mutable_quarantine())) {
      break;
    }
  }
  return true;
}

void
Swim::AddMember(const Member& aMember, TimePoint aNow)
{
  if (aMember.failureDomain == m_self.failureDomain &&
      aMember.id.name != m_self.id.name && m_table.Apply(aMember, aNow)) {
    ++m_revision;
  }
}

void
Swim::Apply(const Member& aMember, TimePoint aNow)
{
  if (const Record* record = m_table.Apply(aMember, aNow)) {
    ++m_revision;
    if (IsUrgent(aMember)) {
      m_drainRetransmits[aMember.id.name] = aNow + kDrainRetransmitPeriod;
    }
    if (record->propagate) {
      m_updates.Put(MemberKey(aMember.id.name), IsUrgent(aMember));
    }
  }
}

void
Swim::AnnounceSelf()
{
  ++m_revision;
  m_updates.Put(MemberKey(m_self.id.name), IsUrgent(m_self));
}

void
Swim::AnnounceConfig(const ConfigVersion& aConfig)
{
  if (aConfig.version > m_configVersion.version) {
    m_configVersion = aConfig;
    ++m_revision;
    m_updates.Put(std::string(kConfigKey));
  }
}

void
Swim::AddQuarantine(const QuarantineEntry& aEntry)
{
  if (!aEntry.body.empty() && aEntry.body.size() <= kMaxQuarantineBytes) {
    StoreQuarantine(aEntry);
  }
}

void
Swim::StoreQuarantine(const QuarantineEntry& aEntry)
{
  const uint64_t hash = Hash64(aEntry.body);
  if (m_quarantine.size() < kMaxQuarantine &&
      m_quarantine.try_emplace(hash, aEntry).second) {
    ++m_revision;
    m_updates.Put(std::string(kQuarantineKey) + ToHex(hash));
  }
}

gossip::Envelope
Swim::MakeEnvelope(int aKind) const
{
  gossip::Envelope envelope;
  envelope.set_kind(static_cast<gossip::Kind>(aKind));
  *envelope.mutable_sender() = ToProto(m_self.id);
  if (m_configVersion.version > 0) {
    *envelope.mutable_config() = ToProto(m_configVersion);
  }
  return envelope;
}

void
Swim::AddRefutableRecord(gossip::Envelope& aEnvelope, const DaemonId& aId) const
{
  const Record* record = m_table.Find(aId.name);
  if (!record) {
    return;
  }
  const Member& member = record->member;
  if (member.id != aId || member.state == MemberState::kSuspect ||
      !IsLive(member)) {
    *aEnvelope.add_updates() = ToProto(member);
  }
}

void
Swim::AddRecentDrains(gossip::Envelope& aEnvelope, TimePoint aNow)
{
  std::erase_if(m_drainRetransmits,
                [&](const auto& aDrain) { return aDrain.second <= aNow; });
  int added = 0;
  for (const auto& [name, expiresAt] : m_drainRetransmits) {
    const Record* record = m_table.Find(name);
    if (!record || !IsUrgent(record->member) || HasMember(aEnvelope, name)) {
      continue;
    }
    if (++added > kMaxDrainRetransmits) {
      break;
    }
    *aEnvelope.add_updates() = ToProto(record->member);
  }
}

void
Swim::AddPendingUpdates(gossip::Envelope& aEnvelope, TimePoint aNow)
{
  size_t remainingBytes =
    std::min(RemainingBytes(aEnvelope),
             static_cast<size_t>(std::max(m_byteBudget, 0.0)));
  const auto tryAdd = [&](auto aWire, auto* aField) {
    const size_t size = aWire.ByteSizeLong() + kFieldOverheadBytes;
    if (size > remainingBytes) {
      return UpdateQueue::SendResult::kDoesNotFit;
    }
    remainingBytes -= size;
    *aField->Add() = std::move(aWire);
    return UpdateQueue::SendResult::kSent;
  };
  m_updates.SendKeys(
    kSendsPerDoubling * LogMemberCount(), [&](const std::string& aKey) {
      const std::string id = aKey.substr(kMemberKey.size());
      if (aKey.starts_with(kQuarantineKey)) {
        const auto entry = m_quarantine.find(ParseHex(id).value_or(0));
        return entry == m_quarantine.end()
                 ? UpdateQueue::SendResult::kRemoved
                 : tryAdd(ToProto(entry->second, aNow),
                          aEnvelope.mutable_quarantine());
      }
      // Every datagram already holds the configuration version, and the record
      // may have been added before.
      if (aKey == kConfigKey || HasMember(aEnvelope, id)) {
        return UpdateQueue::SendResult::kSent;
      }
      if (id == m_self.id.name) {
        return tryAdd(ToProto(m_self), aEnvelope.mutable_updates());
      }
      const Record* record = m_table.Find(id);
      return record
               ? tryAdd(ToProto(record->member), aEnvelope.mutable_updates())
               : UpdateQueue::SendResult::kRemoved;
    });
}

void
Swim::QueueDatagram(const std::string& aTo, const gossip::Envelope& aEnvelope)
{
  m_outgoing.push_back({ aTo, EncodeEnvelope(aEnvelope) });
  m_byteBudget -=
    static_cast<double>(m_outgoing.back().bytes.size() + kUdpIpHeaderBytes);
}

} // namespace wagtailbend::membership
