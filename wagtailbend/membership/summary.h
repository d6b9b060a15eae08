// Summaries that failure domains exchange instead of lists of targets.
//
//   if (IsExchanger(self, members)) {
//     Send(ExchangeContacts(self, summaries.Latest(other)), BuildSummary(...));
//   }
//   summaries.Merge(received, now);

#pragma once

#include <map>
#include <span>
#include <string>
#include <vector>

#include "wagtailbend/base/time.h"
#include "wagtailbend/membership/member.h"

namespace wagtailbend::gossip {
class DomainSummary;
}

namespace wagtailbend::membership {

/// Contact addresses per service in a summary.
inline constexpr size_t kContactsPerService = 4;
/// Daemons of a failure domain that exchange summaries.
inline constexpr size_t kExchangersPerDomain = 2;
/// Contacts in each other failure domain to which a summary is sent.
inline constexpr size_t kExchangeContacts = 2;
/// A summary that was not replaced for this long is dropped.
inline constexpr Duration kSummaryLifetime = std::chrono::seconds(10);

/// A daemon with a target of a service.
struct Contact
{
  DaemonId id;
  std::string peerAddress;

  bool operator==(const Contact&) const = default;
};

struct ServiceSummary
{
  uint32_t liveTargets = 0;
  uint32_t slots = 0;
  /// Mean load of the targets, 0 to 1.
  double load = 0;
  std::vector<Contact> contacts;

  bool operator==(const ServiceSummary&) const = default;
};

struct DomainSummary
{
  std::string failureDomain;
  std::string region;
  DaemonId sender;
  /// Raised by the sender for each summary.
  uint64_t freshness = 0;
  std::map<std::string, ServiceSummary> services;
  ConfigVersion config;
  std::vector<QuarantineEntry> quarantine;

  bool operator==(const DomainSummary&) const = default;
};

/// Builds the summary of aSelf's failure domain from aMembers. Draining members
/// do not count as live targets. aLoads holds the mean load per service.
/// Contacts rotate with aFreshness, so that all daemons serve as contacts in
/// turn. The caller adds configuration version and quarantine entries.
/// Thread-safe.
DomainSummary
BuildSummary(const Member& aSelf,
             uint64_t aFreshness,
             std::span<const Member> aMembers,
             const std::map<std::string, double>& aLoads);

/// Returns true if aSelf is one of the kExchangersPerDomain daemons that
/// exchange summaries, by rendezvous among the live members. Two daemons that
/// see different members may both exchange; this is harmless. Thread-safe.
bool
IsExchanger(const Member& aSelf, std::span<const Member> aMembers);

/// Returns at most kExchangeContacts peer addresses out of the contacts in
/// aSummary, by rendezvous with aSelf and the summary's freshness. Thread-safe.
std::vector<std::string>
ExchangeContacts(const Member& aSelf, const DomainSummary& aSummary);

/// Thread-safe.
gossip::DomainSummary
ToProto(const DomainSummary& aSummary, TimePoint aNow);
/// Drops invalid quarantine entries and surplus contacts. Thread-safe.
DomainSummary
FromProto(const gossip::DomainSummary& aSummary, TimePoint aNow);

/// The newest summary of each other failure domain. Not thread-safe.
class SummaryTable
{
public:
  /// Stores aSummary unless its sender's freshness counter is not above the
  /// last one merged. Returns true if it was stored.
  bool Merge(const DomainSummary& aSummary, TimePoint aNow);

  /// Drops summaries older than kSummaryLifetime. Returns true if any was.
  bool Expire(TimePoint aNow);

  /// Returns the newest summary of a failure domain, or nullptr. The pointer is
  /// valid until the next call of Merge or Expire.
  const DomainSummary* Latest(const std::string& aFailureDomain) const;
  std::vector<DomainSummary> All() const;

private:
  struct Stored
  {
    DomainSummary summary;
    TimePoint receivedAt;
  };
  struct Sender
  {
    uint64_t freshness = 0;
    TimePoint receivedAt;
  };

  std::map<std::string, Stored> m_domains;
  /// Kept longer than summaries, so that a late duplicate is not taken for new.
  std::map<std::string, Sender> m_senders;
};

} // namespace wagtailbend::membership
