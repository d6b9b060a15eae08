// Table of the peer daemons in the failure domain, as known to this daemon.

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wagtailbend/membership/member.h"

namespace wagtailbend::membership::internal {

struct Record
{
  Member member;
  TimePoint changedAt;
  /// Start of the suspicion. Set for suspects, and for draining daemons that
  /// did not respond to a probe.
  std::optional<TimePoint> suspectSince;
  /// False for a dead or left daemon that was unknown here before. Its record
  /// is not propagated, so that expired names do not circulate forever.
  bool propagate = true;
};

class MemberTable
{
public:
  /// Stores aMember if it supersedes the known record. Returns the new record,
  /// or nullptr if nothing changed.
  const Record* Apply(const Member& aMember, TimePoint aNow);
  const Record* Find(const std::string& aName) const;
  Record* Find(const std::string& aName);
  const std::map<std::string, Record>& Records() const { return m_records; }
  /// Returns the names of the live daemons. Valid until the next change.
  const std::vector<std::string>& LiveNames() const { return m_liveNames; }
  /// Returns the names of dead daemons whose records are propagated; they may
  /// rejoin.
  std::vector<std::string> DeadNames() const;
  /// Removes dead and left daemons whose records changed before aBefore.
  /// Records that are not propagated are removed if they changed before
  /// aUnpropagatedBefore.
  void Expire(TimePoint aBefore, TimePoint aUnpropagatedBefore);
  /// Extends all running suspicions by aPause.
  void ExtendSuspicions(Duration aPause);
  /// Returns a hash that is equal for tables with the same live daemons.
  uint64_t Hash() const { return m_hash; }

private:
  void RebuildLiveMembers();

  std::map<std::string, Record> m_records;
  std::vector<std::string> m_liveNames;
  uint64_t m_hash = 0;
};

/// Returns a hash of a member's name, generation, incarnation and number. The
/// state is left out, so that a suspicion does not change the hash.
uint64_t
RecordHash(const Member& aMember);

} // namespace wagtailbend::membership::internal
