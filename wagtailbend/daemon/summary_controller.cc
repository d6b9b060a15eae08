#include "wagtailbend/daemon/summary_controller.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <asio/post.hpp>

#include "wagtailbend/daemon/peer_call.h"
#include "wagtailbend/gossip.pb.h"
#include "wagtailbend/membership/rendezvous.h"

namespace wagtailbend::daemon {
namespace {

using membership::DomainSummary;
using membership::Member;

constexpr Duration kInterval = std::chrono::seconds(1);
// A daemon that only asks does so every this many intervals: the summaries of
// four failure domains take about 46 KB at full size, before compression.
constexpr uint64_t kAskRounds = 3;
constexpr Duration kCallTimeout = std::chrono::milliseconds(900);
constexpr size_t kMaxLinks = 32;

} // namespace

SummaryController::SummaryController(asio::io_context& aControl,
                                     std::shared_ptr<ControlQueue> aQueue,
                                     ChannelPool& aChannels,
                                     MembershipController& aMembership,
                                     SummaryHooks aHooks)
  : m_control(aControl)
  , m_queue(std::move(aQueue))
  , m_channels(aChannels)
  , m_membership(aMembership)
  , m_hooks(std::move(aHooks))
  , m_timer(aControl)
  , m_freshness(UnixMilliseconds())
{
}

void
SummaryController::Start()
{
  asio::post(m_control, [this] { Tick(); });
}

void
SummaryController::Tick()
{
  TimePoint now = MonotonicNow();
  if (m_table.Expire(now)) {
    NoteDomains();
  }
  if (IsExchanger(m_membership.Self(), m_membership.Members())) {
    Exchange();
  } else if (m_round % kAskRounds == 0 || m_table.All().empty()) {
    AskExchanger();
  }
  ++m_round;
  m_timer.expires_after(kInterval);
  m_timer.async_wait([this](const std::error_code& aCode) {
    if (!aCode) {
      Tick();
    }
  });
}

void
SummaryController::Exchange()
{
  if (m_links.size() > kMaxLinks) {
    m_links.clear();
  }
  for (const std::string& domain : m_hooks.domains()) {
    if (domain == m_membership.Self().failureDomain) {
      continue;
    }
    for (const std::string& address : ContactsOf(domain)) {
      Call(address, domain);
    }
  }
}

// Contacts that a summary names, else daemons found by other means.
std::vector<std::string>
SummaryController::ContactsOf(const std::string& aDomain)
{
  if (const DomainSummary* latest = m_table.Latest(aDomain)) {
    auto contacts = ExchangeContacts(m_membership.Self(), *latest);
    if (!contacts.empty()) {
      return contacts;
    }
  }
  std::vector<std::string> strangers = m_membership.Strangers(aDomain);
  if (strangers.empty()) {
    m_membership.ReadRows(aDomain);
  }
  // Another two of them each round, because some may be gone.
  if (!strangers.empty()) {
    std::rotate(strangers.begin(),
                strangers.begin() +
                  static_cast<ptrdiff_t>(m_round % strangers.size()),
                strangers.end());
  }
  if (strangers.size() > membership::kExchangeContacts) {
    strangers.resize(membership::kExchangeContacts);
  }
  return strangers;
}

void
SummaryController::AskExchanger()
{
  std::vector<std::string> addresses;
  for (const Member& member : m_membership.Members()) {
    if (member.id != m_membership.Self().id &&
        IsExchanger(member, m_membership.Members())) {
      addresses.push_back(member.peerAddress);
    }
  }
  if (!addresses.empty()) {
    Call(addresses[m_round % addresses.size()],
         m_membership.Self().failureDomain);
  }
}

void
SummaryController::Call(const std::string& aAddress, const std::string& aDomain)
{
  auto& link = m_links[aAddress];
  if (!link) {
    link = m_channels.Link(aAddress);
  }
  const Member& self = m_membership.Self();
  peer::ExchangeSummaryRequest request;
  request.set_failure_domain(self.failureDomain);
  request.set_peer_address(self.peerAddress);
  if (aDomain != self.failureDomain) {
    request.set_summary(OwnSummary(MonotonicNow()));
  }
  CallPeer<peer::ExchangeSummaryReply>(
    *link,
    &peer::Peer::StubInterface::async_interface::ExchangeSummary,
    std::move(request),
    kCallTimeout,
    [this, queue = m_queue, aAddress](
      const grpc::Status& aStatus, const peer::ExchangeSummaryReply& aReply) {
      if (aStatus.ok()) {
        queue->Post(
          [this, aAddress, reply = aReply] { TakeReply(aAddress, reply); });
      }
    });
}

void
SummaryController::TakeReply(const std::string& aAddress,
                             const peer::ExchangeSummaryReply& aReply)
{
  for (const std::string& bytes : aReply.summaries()) {
    Merge(bytes, aAddress);
  }
  NoteDomains();
}

void
SummaryController::Merge(const std::string& aBytes, const std::string& aSource)
{
  gossip::DomainSummary wire;
  if (!wire.ParseFromString(aBytes) || wire.failure_domain().empty() ||
      wire.failure_domain() == m_membership.Self().failureDomain) {
    return;
  }
  TimePoint now = MonotonicNow();
  DomainSummary summary = membership::FromProto(wire, now);
  if (!m_table.Merge(summary, now)) {
    return;
  }
  for (const membership::QuarantineEntry& entry : summary.quarantine) {
    m_membership.AddQuarantine(entry);
  }
  if (summary.config.version > m_hooks.config().version) {
    m_hooks.versionHeard(aSource, summary.config.version);
  }
}

void
SummaryController::NoteDomains()
{
  std::set<std::string> domains;
  for (const DomainSummary& summary : m_table.All()) {
    domains.insert(summary.failureDomain);
  }
  m_membership.SetKnownDomains(std::move(domains));
  m_hooks.changed();
}

std::string
SummaryController::OwnSummary(TimePoint aNow)
{
  DomainSummary summary = BuildSummary(m_membership.Self(),
                                       ++m_freshness,
                                       m_membership.Members(),
                                       m_hooks.loads());
  summary.config = m_hooks.config();
  summary.quarantine = m_membership.Quarantine(aNow);
  return membership::ToProto(summary, aNow).SerializeAsString();
}

void
SummaryController::Answer(const peer::ExchangeSummaryRequest& aRequest,
                          peer::ExchangeSummaryReply& aReply)
{
  TimePoint now = MonotonicNow();
  if (aRequest.failure_domain() != m_membership.Self().failureDomain) {
    m_membership.AddStranger(aRequest.failure_domain(),
                             aRequest.peer_address());
    aReply.add_summaries(OwnSummary(now));
    Merge(aRequest.summary(), aRequest.peer_address());
    NoteDomains();
    return;
  }
  for (const DomainSummary& summary : m_table.All()) {
    aReply.add_summaries(membership::ToProto(summary, now).SerializeAsString());
  }
}

} // namespace wagtailbend::daemon
