#include "wagtailbend/daemon/membership_controller.h"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>

#include "wagtailbend/membership/gossip_codec.h"
#include "wagtailbend/membership/rendezvous.h"
#include "wagtailbend/observability/event_log.h"

namespace wagtailbend::daemon {
namespace {

using membership::Member;
using membership::MemberState;

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
constexpr char kTable[] = "daemons";
constexpr Duration kRowInterval = std::chrono::minutes(10);
// While the row is not written, or no other member is known.
constexpr Duration kRowRetry = std::chrono::seconds(1);
// Enough to find a live daemon; more would amount to a list of all daemons.
constexpr size_t kMaxStrangers = 8;
constexpr size_t kMaxForeignGossip = 64;

std::string
RowKey(const std::string& aFailureDomain, const std::string& aName)
{
  return aFailureDomain + "/" + aName;
}

std::optional<Member>
ParseRow(const store::Row& aRow)
{
  gossip::Member wire;
  if (!wire.ParseFromString(aRow.value)) {
    return std::nullopt;
  }
  return membership::FromProto(wire);
}

} // namespace

MembershipController::MembershipController(asio::io_context& aControl,
                                           asio::thread_pool& aBlockingPool,
                                           MembershipOptions aOptions,
                                           MembershipHooks aHooks)
  : m_control(aControl)
  , m_blockingPool(aBlockingPool)
  , m_platform(std::move(aOptions.platform))
  , m_hooks(std::move(aHooks))
  , m_swim({},
           std::move(aOptions.self),
           std::move(aOptions.seeds),
           MonotonicNow())
  , m_rng(MakeSeededRng())
  , m_timer(aControl)
  , m_members(m_swim.Members())
{
}

std::optional<Error>
MembershipController::Start()
{
  auto transport = membership::UdpTransport::Open(
    m_control,
    m_swim.Self().gossipAddress,
    [this](std::string_view aFrom, std::string_view aBytes) {
      Receive(aFrom, aBytes);
    });
  if (const Error* error = GetError(transport)) {
    return Error{ ErrorKind::kInternal, error->detail };
  }
  m_transport = TakeValue(std::move(transport));
  asio::post(m_control, [this] { Tick(); });
  return std::nullopt;
}

void
MembershipController::Tick()
{
  TimePoint now = MonotonicNow();
  Send(m_swim.Tick(now, m_rng));
  NoteChanges();
  RefreshRow(now);
  m_timer.expires_after(kTickInterval);
  m_timer.async_wait([this](const std::error_code& aCode) {
    if (!aCode) {
      Tick();
    }
  });
}

void
MembershipController::Receive(std::string_view aFrom, std::string_view aBytes)
{
  Inspect(aFrom, aBytes);
  Send(m_swim.HandleMessage(aFrom, aBytes, MonotonicNow()));
  NoteChanges();
}

// Swim ignores members of other failure domains; here they become contacts.
void
MembershipController::Inspect(std::string_view aFrom, std::string_view aBytes)
{
  const Result<gossip::Envelope> decoded = membership::DecodeEnvelope(aBytes);
  if (!IsOk(decoded)) {
    return;
  }
  const gossip::Envelope& envelope = GetValue(decoded);
  for (const gossip::Member& wire : envelope.updates()) {
    if (wire.failure_domain() == Self().failureDomain) {
      continue;
    }
    auto member = membership::FromProto(wire);
    if (!member || member->state == MemberState::kDead ||
        member->state == MemberState::kLeft) {
      continue;
    }
    AddStranger(member->failureDomain, member->peerAddress);
    if (member->gossipAddress == aFrom &&
        m_foreignGossip.size() < kMaxForeignGossip) {
      m_foreignGossip[member->gossipAddress] = member->failureDomain;
    }
  }
  uint64_t version = envelope.config().version();
  // Reported again and again until it is in force, because a fetch may fail.
  if (version <= m_versionInForce) {
    return;
  }
  std::string peer = PeerAddressOf(membership::FromProto(envelope.sender()));
  if (!peer.empty()) {
    m_hooks.versionHeard(peer, version);
  }
}

void
MembershipController::Send(const std::vector<membership::Datagram>& aDatagrams)
{
  for (const membership::Datagram& datagram : aDatagrams) {
    auto foreign = m_foreignGossip.find(datagram.destination);
    // A daemon elsewhere answers with its whole failure domain, which is of no
    // use while summaries arrive.
    if (foreign != m_foreignGossip.end() &&
        m_knownDomains.contains(foreign->second)) {
      continue;
    }
    m_transport->Send(datagram);
  }
}

void
MembershipController::NoteChanges()
{
  if (m_swim.Revision() == m_revision) {
    return;
  }
  m_revision = m_swim.Revision();
  std::vector<Member> before = std::exchange(m_members, m_swim.Members());
  LogMembers(before);
  m_hooks.changed();
  if (m_swim.IsSuperseded()) {
    m_hooks.superseded();
  }
}

void
MembershipController::LogMembers(const std::vector<Member>& aBefore) const
{
  for (const Member& member : m_members) {
    auto known =
      std::find_if(aBefore.begin(), aBefore.end(), [&](const Member& aOther) {
        return aOther.id == member.id;
      });
    if (known != aBefore.end() && known->state == member.state &&
        known->service == member.service) {
      continue;
    }
    observability::Event("member")
      .Add("daemon", member.id.ToString())
      .Add("state", membership::MemberStateName(member.state))
      .Add("service", member.service.value_or(""))
      .Info();
  }
}

void
MembershipController::SetTarget(const TargetState& aTarget)
{
  if (aTarget == m_target || m_leaving) {
    return;
  }
  bool drained = std::exchange(m_target, aTarget).draining;
  if (aTarget.draining && !drained) {
    m_swim.StartDraining();
  }
  if (!aTarget.draining && drained) {
    m_swim.StopDraining();
  }
  const Member& self = m_swim.Self();
  if (self.service != aTarget.service || self.slots != aTarget.slots ||
      self.cold != aTarget.cold) {
    m_swim.SetTarget(aTarget.service, aTarget.slots, aTarget.cold);
  }
  NoteChanges();
}

void
MembershipController::Leave(std::optional<DaemonId> aSuccessor)
{
  m_leaving = true;
  m_swim.Leave(std::move(aSuccessor));
  if (m_rowWritten) {
    WriteRow(std::nullopt);
  }
  NoteChanges();
}

void
MembershipController::AnnounceConfig(const membership::ConfigVersion& aConfig)
{
  m_versionInForce = std::max(m_versionInForce, aConfig.version);
  m_swim.AnnounceConfig(aConfig);
}

void
MembershipController::AddQuarantine(const membership::QuarantineEntry& aEntry)
{
  m_swim.AddQuarantine(aEntry);
}

bool
MembershipController::IsSelected(const std::string& aTask, size_t aCount) const
{
  std::vector<std::string> names;
  for (const Member& member : m_members) {
    if (IsLive(member) && member.state != MemberState::kDraining) {
      names.push_back(member.id.name);
    }
  }
  for (size_t index : membership::SelectByRendezvous(
         aTask + "/" + Self().failureDomain, names, aCount)) {
    if (names[index] == Self().id.name) {
      return true;
    }
  }
  return false;
}

std::string
MembershipController::PeerAddressOf(const DaemonId& aId) const
{
  for (const Member& member : m_members) {
    if (member.id == aId) {
      return member.peerAddress;
    }
  }
  return "";
}

std::vector<std::string>
MembershipController::Strangers(const std::string& aFailureDomain) const
{
  auto found = m_strangers.find(aFailureDomain);
  return found == m_strangers.end() ? std::vector<std::string>{}
                                    : found->second;
}

void
MembershipController::AddStranger(const std::string& aFailureDomain,
                                  const std::string& aPeerAddress)
{
  if (aFailureDomain.empty() || aPeerAddress.empty() ||
      aFailureDomain == Self().failureDomain) {
    return;
  }
  std::vector<std::string>& known = m_strangers[aFailureDomain];
  std::erase(known, aPeerAddress);
  known.push_back(aPeerAddress);
  if (known.size() > kMaxStrangers) {
    known.erase(known.begin());
  }
}

void
MembershipController::RefreshRow(TimePoint aNow)
{
  if (!m_platform || m_leaving || aNow < m_nextRow) {
    return;
  }
  bool settled = m_rowWritten && m_members.size() > 1;
  m_nextRow = aNow + (settled ? kRowInterval : kRowRetry);
  WriteRow(membership::ToProto(m_swim.Self()).SerializeAsString());
  ReadRows(Self().failureDomain);
}

void
MembershipController::WriteRow(std::optional<std::string> aValue)
{
  if (std::exchange(m_writing, true)) {
    return;
  }
  store::TransactRequest request{
    .conditions = {},
    .writes = { { kTable,
                  RowKey(Self().failureDomain, Self().id.name),
                  std::move(aValue) } }
  };
  asio::post(m_blockingPool, [this, request = std::move(request)] {
    auto result = m_platform->Transact(request);
    bool written = std::holds_alternative<store::Committed>(result);
    asio::post(m_control, [this, written] {
      m_writing = false;
      m_rowWritten = m_rowWritten || written;
    });
  });
}

void
MembershipController::ReadRows(const std::string& aFailureDomain)
{
  if (!m_platform || !m_reading.insert(aFailureDomain).second) {
    return;
  }
  asio::post(m_blockingPool, [this, aFailureDomain] {
    auto rows = m_platform->ListRows(kTable, RowKey(aFailureDomain, ""));
    asio::post(m_control, [this, aFailureDomain, rows = std::move(rows)] {
      m_reading.erase(aFailureDomain);
      if (!IsOk(rows)) {
        return;
      }
      for (const store::Row& row : GetValue(rows)) {
        auto member = ParseRow(row);
        if (!member) {
          continue;
        }
        if (member->failureDomain == Self().failureDomain) {
          m_swim.AddMember(*member, MonotonicNow());
        } else {
          AddStranger(member->failureDomain, member->peerAddress);
        }
      }
      NoteChanges();
    });
  });
}

} // namespace wagtailbend::daemon
