#include "wagtailbend/membership/summary.h"

#include <algorithm>

#include <fmt/format.h>

#include "wagtailbend/membership/gossip_codec.h"
#include "wagtailbend/membership/rendezvous.h"

namespace wagtailbend::membership {
namespace {

// Contacts change only once in this many summaries, so that connections are
// reused.
constexpr uint64_t kSummariesPerContactRotation = 30;
constexpr Duration kSenderRetention = std::chrono::hours(1);

std::vector<std::string>
SelectNames(const std::string& aKey,
            const std::vector<std::string>& aNames,
            size_t aCount)
{
  std::vector<std::string> selected;
  selected.reserve(aCount);
  for (const size_t index : SelectByRendezvous(aKey, aNames, aCount)) {
    selected.push_back(aNames[index]);
  }
  return selected;
}

std::vector<Contact>
SelectContacts(const std::string& aKey, const std::vector<Contact>& aContacts)
{
  std::vector<std::string> names;
  names.reserve(aContacts.size());
  for (const Contact& contact : aContacts) {
    names.push_back(contact.peerAddress);
  }
  std::vector<Contact> selected;
  for (const size_t index :
       SelectByRendezvous(aKey, names, kContactsPerService)) {
    selected.push_back(aContacts[index]);
  }
  return selected;
}

} // namespace

DomainSummary
BuildSummary(const Member& aSelf,
             uint64_t aFreshness,
             std::span<const Member> aMembers,
             const std::map<std::string, double>& aLoads)
{
  DomainSummary summary;
  summary.failureDomain = aSelf.failureDomain;
  summary.region = aSelf.region;
  summary.sender = aSelf.id;
  summary.freshness = aFreshness;
  for (const Member& member : aMembers) {
    if (!member.service || !IsLive(member) ||
        member.state == MemberState::kDraining ||
        member.failureDomain != aSelf.failureDomain) {
      continue;
    }
    ServiceSummary& service = summary.services[*member.service];
    ++service.liveTargets;
    service.slots += member.slots;
    service.contacts.push_back({ member.id, member.peerAddress });
  }
  for (auto& [name, service] : summary.services) {
    const auto load = aLoads.find(name);
    service.load = load == aLoads.end() ? 0 : load->second;
    service.contacts = SelectContacts(
      fmt::format("{}/{}", name, aFreshness / kSummariesPerContactRotation),
      service.contacts);
  }
  return summary;
}

bool
IsExchanger(const Member& aSelf, std::span<const Member> aMembers)
{
  std::vector<std::string> names;
  for (const Member& member : aMembers) {
    if (IsLive(member) && member.failureDomain == aSelf.failureDomain &&
        member.state != MemberState::kDraining) {
      names.push_back(member.id.name);
    }
  }
  const std::vector<std::string> selected =
    SelectNames("exchange/" + aSelf.failureDomain, names, kExchangersPerDomain);
  return std::find(selected.begin(), selected.end(), aSelf.id.name) !=
         selected.end();
}

std::vector<std::string>
ExchangeContacts(const Member& aSelf, const DomainSummary& aSummary)
{
  std::vector<std::string> contacts;
  for (const auto& [name, service] : aSummary.services) {
    for (const Contact& contact : service.contacts) {
      contacts.push_back(contact.peerAddress);
    }
  }
  std::sort(contacts.begin(), contacts.end());
  contacts.erase(std::unique(contacts.begin(), contacts.end()), contacts.end());
  return SelectNames(fmt::format("{}/{}", aSelf.id.name, aSummary.freshness),
                     contacts,
                     kExchangeContacts);
}

gossip::DomainSummary
ToProto(const DomainSummary& aSummary, TimePoint aNow)
{
  gossip::DomainSummary message;
  message.set_failure_domain(aSummary.failureDomain);
  message.set_region(aSummary.region);
  *message.mutable_sender() = ToProto(aSummary.sender);
  message.set_freshness(aSummary.freshness);
  *message.mutable_config() = ToProto(aSummary.config);
  for (const auto& [name, service] : aSummary.services) {
    gossip::ServiceSummary* entry = message.add_services();
    entry->set_service(name);
    entry->set_live_targets(service.liveTargets);
    entry->set_slots(service.slots);
    entry->set_load(service.load);
    for (const Contact& contact : service.contacts) {
      gossip::Contact* added = entry->add_contacts();
      *added->mutable_id() = ToProto(contact.id);
      added->set_peer_address(contact.peerAddress);
    }
  }
  for (const QuarantineEntry& entry : aSummary.quarantine) {
    *message.add_quarantine() = ToProto(entry, aNow);
  }
  return message;
}

DomainSummary
FromProto(const gossip::DomainSummary& aSummary, TimePoint aNow)
{
  DomainSummary summary;
  summary.failureDomain = aSummary.failure_domain();
  summary.region = aSummary.region();
  summary.sender = FromProto(aSummary.sender());
  summary.freshness = aSummary.freshness();
  summary.config = FromProto(aSummary.config());
  for (const gossip::ServiceSummary& entry : aSummary.services()) {
    ServiceSummary& service = summary.services[entry.service()];
    service = { entry.live_targets(), entry.slots(), entry.load(), {} };
    for (const gossip::Contact& contact : entry.contacts()) {
      if (service.contacts.size() < kContactsPerService) {
        service.contacts.push_back(
          { FromProto(contact.id()), contact.peer_address() });
      }
    }
  }
  for (const gossip::QuarantineEntry& message : aSummary.quarantine()) {
    if (const auto entry = FromProto(message, aNow)) {
      summary.quarantine.push_back(*entry);
    }
  }
  return summary;
}

bool
SummaryTable::Merge(const DomainSummary& aSummary, TimePoint aNow)
{
  const std::string id = aSummary.sender.ToString();
  const auto sender = m_senders.find(id);
  if (sender != m_senders.end() &&
      aSummary.freshness <= sender->second.freshness) {
    return false;
  }
  m_senders[id] = { aSummary.freshness, aNow };
  m_domains[aSummary.failureDomain] = { aSummary, aNow };
  return true;
}

bool
SummaryTable::Expire(TimePoint aNow)
{
  std::erase_if(m_senders, [&](const auto& aEntry) {
    return aNow - aEntry.second.receivedAt >= kSenderRetention;
  });
  return std::erase_if(m_domains, [&](const auto& aEntry) {
           return aNow - aEntry.second.receivedAt >= kSummaryLifetime;
         }) > 0;
}

const DomainSummary*
SummaryTable::Latest(const std::string& aFailureDomain) const
{
  const auto domain = m_domains.find(aFailureDomain);
  return domain == m_domains.end() ? nullptr : &domain->second.summary;
}

std::vector<DomainSummary>
SummaryTable::All() const
{
  std::vector<DomainSummary> summaries;
  summaries.reserve(m_domains.size());
  for (const auto& [name, stored] : m_domains) {
    summaries.push_back(stored.summary);
  }
  return summaries;
}

} // namespace wagtailbend::membership
