#include "wagtailbend/membership/gossip_codec.h"

#include <algorithm>

#include "wagtailbend/membership/rendezvous.h"

namespace wagtailbend::membership {
namespace {

constexpr size_t kMaxTextBytes = 128;
// Limit for numbers and generations. Numbers increase by one per refutation and
// generations are Unix milliseconds, so a larger value is invalid. It could
// also leave a refutation no higher number to use.
constexpr uint64_t kMaxMemberNumber = uint64_t{ 1 } << 62U;
constexpr uint32_t kMaxQuarantineMs = 24U * 3600U * 1000U;

bool
HaveValidLength(std::initializer_list<const std::string*> aTexts)
{
  return std::all_of(
    aTexts.begin(), aTexts.end(), [](const std::string* aText) {
      return aText->size() <= kMaxTextBytes;
    });
}

std::string
ComputeChecksum(std::string_view aMessage)
{
  const uint64_t hash = Hash64(aMessage);
  std::string bytes(kChecksumBytes, '\0');
  for (size_t i = 0; i < kChecksumBytes; ++i) {
    bytes[i] = static_cast<char>((hash >> (8 * i)) & 0xffU);
  }
  return bytes;
}

bool
IsValid(const gossip::Member& aMember)
{
  return !aMember.id().name().empty() && !aMember.gossip_address().empty() &&
         aMember.state() >= gossip::MEMBER_STATE_ALIVE &&
         aMember.state() <= gossip::MEMBER_STATE_LEFT &&
         aMember.number() < kMaxMemberNumber &&
         aMember.generation() < kMaxMemberNumber &&
         HaveValidLength({ &aMember.id().name(),
                           &aMember.gossip_address(),
                           &aMember.peer_address(),
                           &aMember.http_address(),
                           &aMember.failure_domain(),
                           &aMember.region(),
                           &aMember.service(),
                           &aMember.successor().name() });
}

} // namespace

peer::DaemonId
ToProto(const DaemonId& aId)
{
  peer::DaemonId id;
  id.set_name(aId.name);
  id.set_incarnation(aId.incarnation);
  return id;
}

DaemonId
FromProto(const peer::DaemonId& aId)
{
  return { aId.name(), aId.incarnation() };
}

gossip::Member
ToProto(const Member& aMember)
{
  gossip::Member member;
  *member.mutable_id() = ToProto(aMember.id);
  member.set_generation(aMember.generation);
  member.set_number(aMember.number);
  member.set_state(
    static_cast<gossip::MemberState>(static_cast<int>(aMember.state) + 1));
  member.set_gossip_address(aMember.gossipAddress);
  member.set_peer_address(aMember.peerAddress);
  member.set_http_address(aMember.httpAddress);
  member.set_failure_domain(aMember.failureDomain);
  member.set_region(aMember.region);
  member.set_service(aMember.service.value_or(""));
  member.set_slots(aMember.slots);
  member.set_cold(aMember.cold);
  if (aMember.successor) {
    *member.mutable_successor() = ToProto(*aMember.successor);
  }
  return member;
}

std::optional<Member>
FromProto(const gossip::Member& aMember)
{
  if (!IsValid(aMember)) {
    return std::nullopt;
  }
  Member member;
  member.id = FromProto(aMember.id());
  member.generation = aMember.generation();
  member.number = aMember.number();
  member.state = static_cast<MemberState>(aMember.state() - 1);
  member.gossipAddress = aMember.gossip_address();
  member.peerAddress = aMember.peer_address();
  member.httpAddress = aMember.http_address();
  member.failureDomain = aMember.failure_domain();
  member.region = aMember.region();
  if (!aMember.service().empty()) {
    member.service = aMember.service();
  }
  member.slots = aMember.slots();
  member.cold = aMember.cold();
  if (aMember.has_successor()) {
    member.successor = FromProto(aMember.successor());
  }
  return member;
}

peer::ConfigVersion
ToProto(const ConfigVersion& aConfig)
{
  peer::ConfigVersion config;
  config.set_version(aConfig.version);
  config.set_change_id(aConfig.changeId);
  config.set_digest(aConfig.digest);
  return config;
}

ConfigVersion
FromProto(const peer::ConfigVersion& aConfig)
{
  return { aConfig.version(), aConfig.change_id(), aConfig.digest() };
}

gossip::QuarantineEntry
ToProto(const QuarantineEntry& aEntry, TimePoint aNow)
{
  gossip::QuarantineEntry entry;
  entry.set_body(aEntry.body);
  const int64_t remainingMs = ToMilliseconds(aEntry.expiresAt - aNow);
  entry.set_expires_in_ms(static_cast<uint32_t>(
    std::clamp<int64_t>(remainingMs, 0, int64_t{ kMaxQuarantineMs })));
  return entry;
}

std::optional<QuarantineEntry>
FromProto(const gossip::QuarantineEntry& aEntry, TimePoint aNow)
{
  if (aEntry.body().empty() || aEntry.body().size() > kMaxQuarantineBytes ||
      aEntry.expires_in_ms() == 0) {
    return std::nullopt;
  }
  const uint32_t remainingMs =
    std::min(aEntry.expires_in_ms(), kMaxQuarantineMs);
  return QuarantineEntry{ aEntry.body(),
                          aNow + std::chrono::milliseconds(remainingMs) };
}

std::string
EncodeEnvelope(const gossip::Envelope& aEnvelope)
{
  std::string bytes(kChecksumBytes, '\0');
  aEnvelope.AppendToString(&bytes);
  const std::string checksum =
    ComputeChecksum(std::string_view(bytes).substr(kChecksumBytes));
  bytes.replace(0, kChecksumBytes, checksum);
  return bytes;
}

Result<gossip::Envelope>
DecodeEnvelope(std::string_view aBytes)
{
  gossip::Envelope envelope;
  if (aBytes.size() > kMaxDatagramBytes || aBytes.size() < kChecksumBytes ||
      aBytes.substr(0, kChecksumBytes) !=
        ComputeChecksum(aBytes.substr(kChecksumBytes)) ||
      !envelope.ParseFromArray(
        aBytes.data() + kChecksumBytes,
        static_cast<int>(aBytes.size() - kChecksumBytes))) {
    return Error{ ErrorKind::kInvalidRequest, "malformed gossip datagram" };
  }
  if (envelope.kind() < gossip::KIND_PING ||
      envelope.kind() > gossip::KIND_SYNC || envelope.sender().name().empty() ||
      !HaveValidLength({ &envelope.sender().name(),
                         &envelope.target().name(),
                         &envelope.target_address(),
                         &envelope.config().change_id(),
                         &envelope.config().digest() })) {
    return Error{ ErrorKind::kInvalidRequest,
                  "gossip datagram has a missing or invalid field" };
  }
  return envelope;
}

} // namespace wagtailbend::membership
