#include "wagtailbend/daemon/routing_controller.h"

#include <algorithm>
#include <array>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace wagtailbend::daemon {
namespace {

using membership::Member;
using membership::MemberState;
using routing::Candidate;

constexpr Duration kRefusedFor = std::chrono::seconds(1);

} // namespace

// A suspect is a candidate only of a service that no other member serves.
void
RoutingController::AddMembers(const RoutingView& aView,
                              Candidates& aCandidates) const
{
  std::set<std::string> served;
  for (const Member& member : aView.members) {
    if (member.service && member.state == MemberState::kAlive) {
      served.insert(*member.service);
    }
  }
  for (const Member& member : aView.members) {
    if (!member.service || !IsLive(member) || member.id == m_self ||
        m_refusedUntil.contains(member.peerAddress) ||
        (member.state == MemberState::kSuspect &&
         served.contains(*member.service))) {
      continue;
    }
    Candidate candidate{ .id = member.id, .peerAddress = member.peerAddress };
    candidate.slots = std::max(1U, member.slots);
    candidate.draining = member.state == MemberState::kDraining;
    candidate.cold = member.cold;
    aCandidates[*member.service].push_back(std::move(candidate));
  }
}

void
RoutingController::AddContacts(const RoutingView& aView,
                               Candidates& aCandidates) const
{
  if (!aView.schema) {
    return;
  }
  const auto region = [&](const std::string& aDomain) {
    return std::string(aView.schema->RegionOf(aDomain));
  };
  const std::string& domain = aView.self.failureDomain;
  for (const membership::DomainSummary& summary : aView.summaries) {
    const auto locality = routing::LocalityOf(domain,
                                              region(domain),
                                              summary.failureDomain,
                                              region(summary.failureDomain));
    for (const auto& [name, service] : summary.services) {
      for (const membership::Contact& contact : service.contacts) {
        if (m_refusedUntil.contains(contact.peerAddress)) {
          continue;
        }
        Candidate candidate{ .id = contact.id,
                             .peerAddress = contact.peerAddress,
                             .locality = locality };
        // A contact stands for its share of the targets behind it.
        candidate.slots = std::max<uint32_t>(
          1, service.slots / static_cast<uint32_t>(service.contacts.size()));
        aCandidates[name].push_back(std::move(candidate));
      }
    }
  }
}

void
RoutingController::AddDestinations(const std::string& aService,
                                   const std::vector<Candidate>& aCandidates,
                                   RoutingSnapshot& aSnapshot)
{
  const auto& balancer = m_balancers.at(aService);
  for (const Candidate& candidate : aCandidates) {
    if (candidate.isLocal) {
      aSnapshot.ownTarget->balancer = balancer;
      aSnapshot.ownTarget->target = balancer->Find(candidate.id);
      continue;
    }
    if (!candidate.draining) {
      aSnapshot.peers[aService].push_back(
        Destination{ candidate.id,
                     m_channels.Link(candidate.peerAddress),
                     false,
                     balancer,
                     balancer->Find(candidate.id) });
    }
  }
}

void
RoutingController::Fill(const RoutingView& aView,
                        RoutingSnapshot& aSnapshot,
                        TimePoint aNow)
{
  Candidates candidates;
  AddMembers(aView, candidates);
  AddContacts(aView, candidates);
  if (aView.target.Target() && !aView.target.Draining()) {
    const Announcement& target = *aView.target.Target();
    aSnapshot.ownService = target.service;
    aSnapshot.ownTarget =
      Destination{ m_self, m_channels.Link(target.address), true, {}, {} };
    Candidate own{ .id = m_self, .peerAddress = aView.self.peerAddress };
    own.slots = std::max(1U, target.slots);
    own.cold = target.cold;
    own.isLocal = true;
    candidates[target.service].push_back(std::move(own));
  }
  for (const auto& [service, list] : candidates) {
    auto& balancer = m_balancers[service];
    if (!balancer) {
      balancer = std::make_shared<routing::Balancer>();
    }
  }
  for (const auto& [service, balancer] : m_balancers) {
    const std::vector<Candidate>& list = candidates[service];
    balancer->Update(list, aNow);
    AddDestinations(service, list, aSnapshot);
  }
  for (const membership::DomainSummary& summary : aView.summaries) {
    for (const auto& [service, values] : summary.services) {
      for (const membership::Contact& contact : values.contacts) {
        Hint(service, contact.id, values.load, aNow);
      }
    }
  }
  aSnapshot.balancers = m_balancers;
}

void
RoutingController::Evaluate(TimePoint aNow)
{
  for (const auto& [service, balancer] : m_balancers) {
    balancer->Evaluate(aNow);
  }
}

bool
RoutingController::Refused(const std::string& aPeerAddress, TimePoint aNow)
{
  return m_refusedUntil.insert_or_assign(aPeerAddress, aNow + kRefusedFor)
    .second;
}

bool
RoutingController::Expire(TimePoint aNow)
{
  return std::erase_if(m_refusedUntil, [aNow](const auto& aEntry) {
           return aEntry.second <= aNow;
         }) > 0;
}

void
RoutingController::Hint(const std::string& aService,
                        const DaemonId& aDaemon,
                        double aLoad,
                        TimePoint aNow)
{
  auto found = m_balancers.find(aService);
  if (found != m_balancers.end()) {
    found->second->RecordReportedLoad(aDaemon, aLoad, aNow);
  }
}

void
RoutingController::AddStatus(std::vector<std::string>& aLines,
                             TimePoint aNow) const
{
  static constexpr std::array<const char*, routing::kLocalityCount>
    kLocalities = { "own-domain", "own-region", "other-region" };
  for (const auto& [service, balancer] : m_balancers) {
    for (const auto& target : balancer->Targets()) {
      const routing::TargetStats& stats = *target->stats;
      aLines.push_back(fmt::format(
        "target service={} daemon={} locality={} own={} draining={} ejected={} "
        "in_flight={} latency_us={:.0f} samples={} errors={} load={:.2f}",
        service,
        target->candidate.id.ToString(),
        kLocalities[static_cast<size_t>(target->candidate.locality)],
        target->candidate.isLocal,
        target->candidate.draining,
        target->ejected,
        stats.InFlight(),
        stats.LatencyNs() / 1000,
        stats.Samples(),
        stats.Errors(),
        stats.ReportedLoad(aNow)));
    }
  }
}

} // namespace wagtailbend::daemon
