// The other daemons of the failure domain as this daemon knows them.

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
  /// Start of the suspicion; set for suspects, and for draining daemons that
  /// failed a probe.
  std::optional<TimePoint> suspectSince;
  /// False for the death of a daemon that was unknown here: it is not passed
  /// on, so that forgotten names do not circulate for ever.
  bool relay = true;
};

class MemberTable
{
public:
  /// Stores aMember if it is newer than what is known. Returns the record if
  /// something changed, else nullptr.
  const Record* Apply(const Member& aMember, TimePoint aNow);
  const Record* Find(const std::string& aName) const;
  Record* Find(const std::string& aName);
  const std::map<std::string, Record>& Records() const { return m_records; }
  /// Names of the live daemons. Valid until the next change.
  const std::vector<std::string>& Live() const { return m_live; }
  /// Addresses of dead daemons that may come back.
  std::vector<std::string> DeadNames() const;
  /// Drops the dead and left daemons that changed before aBefore; a death of a
  /// daemon that was unknown here already if it is older than aLearnedBefore.
  void Expire(TimePoint aBefore, TimePoint aLearnedBefore);
  /// Moves all suspicions by aGap.
  void Postpone(Duration aGap);
  /// Equal on daemons that know the same live daemons.
  uint64_t Hash() const { return m_hash; }

private:
  void Refresh();

  std::map<std::string, Record> m_records;
  std::vector<std::string> m_live;
  uint64_t m_hash = 0;
};

/// Hash of the identity of one member's record, without suspicions.
uint64_t
RecordHash(const Member& aMember);

} // namespace wagtailbend::membership::internal
