// Message handling of Swim; the timers are in swim.cc.

#include <algorithm>
#include <utility>

#include "wagtailbend/membership/gossip_codec.h"
#include "wagtailbend/membership/rendezvous.h"
#include "wagtailbend/membership/swim.h"

namespace wagtailbend::membership {
namespace {

using internal::NewsQueue;
using internal::Record;

// A daemon that meets a later process of its name this soon after its own start
// assumes that the clock stepped back between the two starts. An older process
// would have met the later one after a longer time.
constexpr Duration kJoinGrace = std::chrono::seconds(10);
// Each update is sent this many times per doubling of the members.
constexpr uint32_t kSendsPerDoubling = 2;
// UDP and IP headers, counted against the byte budget.
constexpr size_t kHeaderBytes = 28;
// Tag and length of an embedded message below 16 KiB.
constexpr size_t kFieldOverhead = 3;
// Drain news is repeated on probes and acks for this long, beside the ordinary
// number of sends: while 100 of 138 daemons restarted, one daemon was missed by
// all random sends and learned of a drain only after 28.6 s.
constexpr Duration kDrainRepeat = std::chrono::seconds(10);
constexpr int kMaxRepeatedDrains = 4;
constexpr size_t kMaxSessions = 3;
constexpr size_t kMaxRelays = 1000;
constexpr std::string_view kMemberKey = "m/";
constexpr std::string_view kQuarantineKey = "q/";
constexpr std::string_view kConfigKey = "c/";

std::string
MemberKey(const std::string& aName)
{
  return std::string(kMemberKey) + aName;
}

// Drain news has a bound of 3 s, also while many daemons restart.
bool
IsUrgent(const Member& aMember)
{
  return aMember.state == MemberState::kDraining ||
         aMember.state == MemberState::kLeft;
}

size_t
RoomLeft(const gossip::Envelope& aEnvelope)
{
  const size_t used = aEnvelope.ByteSizeLong() + kChecksumBytes;
  return used < kMaxDatagramBytes ? kMaxDatagramBytes - used : 0;
}

bool
HasMember(const gossip::Envelope& aEnvelope, std::string_view aName)
{
  return std::any_of(
    aEnvelope.updates().begin(),
    aEnvelope.updates().end(),
    [&](const gossip::Member& aM) { return aM.id().name() == aName; });
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
  return std::exchange(m_out, {});
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
    OfferConfig(FromProto(aEnvelope.config()));
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
      MergeOwn(*member, aNow);
    } else {
      Apply(*member, aNow);
    }
  }
}

void
Swim::MergeOwn(const Member& aMember, TimePoint aNow)
{
  if (!Supersedes(aMember, m_self)) {
    return;
  }
  if (aMember.id == m_self.id && aMember.generation == m_self.generation) {
    m_self.number = aMember.number + 1;
  } else if (aNow - m_startedAt < kJoinGrace) {
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
  AddSubject(ack, FromProto(aPing.sender()));
  AddRecentDrains(ack, aNow);
  Fill(ack, aNow);
  Emit(aFrom, ack);
}

void
Swim::HandlePingReq(const std::string& aFrom,
                    const gossip::Envelope& aRequest,
                    TimePoint aNow)
{
  if (aRequest.target_address().empty() || m_relays.size() >= kMaxRelays) {
    return;
  }
  m_relays[++m_sequence] = { aFrom,
                             aRequest.sequence(),
                             aNow + m_config.probePeriod };
  gossip::Envelope ping = MakeEnvelope(gossip::KIND_PING);
  ping.set_sequence(m_sequence);
  *ping.mutable_target() = aRequest.target();
  Fill(ping, aNow);
  Emit(aRequest.target_address(), ping);
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
  const auto relay = m_relays.find(aAck.sequence());
  if (relay == m_relays.end()) {
    return;
  }
  gossip::Envelope ack = MakeEnvelope(gossip::KIND_ACK);
  ack.set_sequence(relay->second.sequence);
  *ack.mutable_target() = aAck.target();
  Fill(ack, aNow);
  Emit(relay->second.to, ack);
  m_relays.erase(relay);
}

void
Swim::HandleSync(const std::string& aFrom,
                 const gossip::Envelope& aSync,
                 TimePoint aNow)
{
  const uint64_t hash = StateHash();
  const bool busy =
    std::any_of(m_sessions.begin(), m_sessions.end(), [&](const Session& aS) {
      return aS.to == aFrom;
    });
  // Without budget the request is dropped; the sender asks again. Replies to
  // 138 daemons that started together exceeded the byte budget of the seeds.
  if (hash == aSync.state_hash() || m_tokens < 0) {
    return;
  }
  if (!busy && m_sessions.size() < kMaxSessions) {
    m_sessions.push_back({ .to = aFrom, .cursor = {} });
  }
  if (!aSync.is_reply()) {
    gossip::Envelope reply = MakeEnvelope(gossip::KIND_SYNC);
    reply.set_state_hash(hash);
    reply.set_is_reply(true);
    AddSubject(reply, FromProto(aSync.sender()));
    Fill(reply, aNow);
    Emit(aFrom, reply);
  }
}

bool
Swim::FillPiece(Session& aSession, gossip::Envelope& aPiece, TimePoint aNow)
{
  size_t room = RoomLeft(aPiece);
  const auto add = [&](auto aWire, auto* aField) {
    const size_t size = aWire.ByteSizeLong() + kFieldOverhead;
    if (size > room) {
      return false;
    }
    room -= size;
    *aField->Add() = std::move(aWire);
    return true;
  };
  if (aSession.cursor.empty()) {
    add(ToProto(m_self), aPiece.mutable_updates());
  }
  const auto& records = m_table.Records();
  for (auto record = records.upper_bound(aSession.cursor);
       record != records.end();
       ++record) {
    if (record->second.relay &&
        !add(ToProto(record->second.member), aPiece.mutable_updates())) {
      return false;
    }
    aSession.cursor = record->first;
  }
  // Entries that do not fit the last piece spread with the next exchange.
  for (const auto& [hash, entry] : m_quarantine) {
    if (!add(ToProto(entry, aNow), aPiece.mutable_quarantine())) {
      break;
    }
  }
  return true;
}

void
Swim::Learn(const Member& aMember, TimePoint aNow)
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
      m_recentDrains[aMember.id.name] = aNow + kDrainRepeat;
    }
    if (record->relay) {
      m_news.Put(MemberKey(aMember.id.name), IsUrgent(aMember));
    }
  }
}

void
Swim::AnnounceSelf()
{
  ++m_revision;
  m_news.Put(MemberKey(m_self.id.name), IsUrgent(m_self));
}

void
Swim::OfferConfig(const ConfigVersion& aConfig)
{
  if (aConfig.version > m_configVersion.version) {
    m_configVersion = aConfig;
    ++m_revision;
    m_news.Put(std::string(kConfigKey));
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
    m_news.Put(std::string(kQuarantineKey) + ToHex(hash));
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
Swim::AddSubject(gossip::Envelope& aEnvelope, const DaemonId& aId) const
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
  std::erase_if(m_recentDrains,
                [&](const auto& aDrain) { return aDrain.second <= aNow; });
  int added = 0;
  for (const auto& [name, until] : m_recentDrains) {
    const Record* record = m_table.Find(name);
    if (!record || !IsUrgent(record->member) || HasMember(aEnvelope, name)) {
      continue;
    }
    if (++added > kMaxRepeatedDrains) {
      break;
    }
    *aEnvelope.add_updates() = ToProto(record->member);
  }
}

void
Swim::Fill(gossip::Envelope& aEnvelope, TimePoint aNow)
{
  size_t room =
    std::min(RoomLeft(aEnvelope), static_cast<size_t>(std::max(m_tokens, 0.0)));
  const auto add = [&](auto aWire, auto* aField) {
    const size_t size = aWire.ByteSizeLong() + kFieldOverhead;
    if (size > room) {
      return NewsQueue::Visit::kNoRoom;
    }
    room -= size;
    *aField->Add() = std::move(aWire);
    return NewsQueue::Visit::kSent;
  };
  m_news.Take(kSendsPerDoubling * LogSize(), [&](const std::string& aKey) {
    const std::string rest = aKey.substr(kMemberKey.size());
    if (aKey.starts_with(kQuarantineKey)) {
      const auto entry = m_quarantine.find(ParseHex(rest).value_or(0));
      return entry == m_quarantine.end() ? NewsQueue::Visit::kGone
                                         : add(ToProto(entry->second, aNow),
                                               aEnvelope.mutable_quarantine());
    }
    // The configuration version is in every datagram, a subject was added.
    if (aKey == kConfigKey || HasMember(aEnvelope, rest)) {
      return NewsQueue::Visit::kSent;
    }
    if (rest == m_self.id.name) {
      return add(ToProto(m_self), aEnvelope.mutable_updates());
    }
    const Record* record = m_table.Find(rest);
    return record ? add(ToProto(record->member), aEnvelope.mutable_updates())
                  : NewsQueue::Visit::kGone;
  });
}

void
Swim::Emit(const std::string& aTo, const gossip::Envelope& aEnvelope)
{
  m_out.push_back({ aTo, EncodeEnvelope(aEnvelope) });
  m_tokens -= static_cast<double>(m_out.back().bytes.size() + kHeaderBytes);
}

} // namespace wagtailbend::membership
