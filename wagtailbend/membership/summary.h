// Summaries of failure domains, exchanged between them instead of full lists of
// targets.
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

/// Maximum number of contacts per service in a summary.
inline constexpr size_t kContactsPerService = 4;
/// Number of daemons per failure domain that exchange summaries.
inline constexpr size_t kExchangersPerDomain = 2;
/// Number of contacts in each peer failure domain to which a summary is sent.
inline constexpr size_t kExchangeContacts = 2;
/// A summary that is not replaced within this time is removed.
inline constexpr Duration kSummaryLifetime = std::chrono::seconds(10);

/// A daemon whose local target provides a service.
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
  /// Mean load of the targets, from 0 to 1.
  double load = 0;
  std::vector<Contact> contacts;

  bool operator==(const ServiceSummary&) const = default;
};

struct DomainSummary
{
  std::string failureDomain;
  std::string region;
  DaemonId sender;
  /// Counter that the sender increments for each summary.
  uint64_t freshness = 0;
  std::map<std::string, ServiceSummary> services;
  ConfigVersion config;
  std::vector<QuarantineEntry> quarantine;

  bool operator==(const DomainSummary&) const = default;
};

/// Builds the summary of aSelf's failure domain from aMembers. Draining members
/// do not count as live targets. aLoads holds the mean load per service. The
/// contacts rotate with aFreshness, so that all daemons serve as contacts in
/// turn. The caller adds the configuration version and the quarantine entries.
/// Thread-safe.
DomainSummary
BuildSummary(const Member& aSelf,
             uint64_t aFreshness,
             std::span<const Member> aMembers,
             const std::map<std::string, double>& aLoads);

/// Returns true if rendezvous hashing over the live members that are not
/// draining selects aSelf as one of the kExchangersPerDomain daemons that
/// exchange summaries. Daemons with different views of the membership may
/// select additional ones, which is harmless. Thread-safe.
bool
IsExchanger(const Member& aSelf, std::span<const Member> aMembers);

/// Returns at most kExchangeContacts peer addresses from the contacts in
/// aSummary, selected by rendezvous hashing with aSelf and the summary's
/// freshness as the key. Thread-safe.
std::vector<std::string>
ExchangeContacts(const Member& aSelf, const DomainSummary& aSummary);

/// Thread-safe.
gossip::DomainSummary
ToProto(const DomainSummary& aSummary, TimePoint aNow);
/// Skips invalid quarantine entries and contacts beyond kContactsPerService.
/// Thread-safe.
DomainSummary
FromProto(const gossip::DomainSummary& aSummary, TimePoint aNow);

/// Holds the newest summary of each peer failure domain. Not thread-safe.
class SummaryTable
{
public:
  /// Stores aSummary if its freshness is higher than the last one merged from
  /// the same sender. Returns true if it was stored.
  bool Merge(const DomainSummary& aSummary, TimePoint aNow);

  /// Removes summaries received at least kSummaryLifetime ago. Returns true if
  /// any was removed.
  bool Expire(TimePoint aNow);

  /// Returns the newest summary of a failure domain, or nullptr. The pointer is
  /// valid until the next call of Merge or Expire.
  const DomainSummary* Latest(const std::string& aFailureDomain) const;
  std::vector<DomainSummary> All() const;

private:
  struct StoredSummary
  {
    DomainSummary summary;
    TimePoint receivedAt;
  };
  struct SenderState
  {
    uint64_t freshness = 0;
    TimePoint receivedAt;
  };

  std::map<std::string, StoredSummary> m_domains;
  /// Kept longer than the summaries, so that a late duplicate of an expired
  /// summary is not stored as a new one.
  std::map<std::string, SenderState> m_senders;
};

} // namespace wagtailbend::membership
