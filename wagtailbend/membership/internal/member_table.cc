#include "wagtailbend/membership/internal/member_table.h"

#include <array>

#include "wagtailbend/membership/rendezvous.h"

namespace wagtailbend::membership::internal {

uint64_t
RecordHash(const Member& aMember)
{
  const std::array<uint64_t, 3> numbers{ aMember.generation,
                                         aMember.id.incarnation,
                                         aMember.number };
  return Hash64(
    { reinterpret_cast<const char*>(numbers.data()), sizeof(numbers) },
    Hash64(aMember.id.name));
}

const Record*
MemberTable::Apply(const Member& aMember, TimePoint aNow)
{
  Record* known = Find(aMember.id.name);
  if (known && !Supersedes(aMember, known->member)) {
    return nullptr;
  }
  const bool propagate =
    known ? known->propagate || IsLive(aMember) : IsLive(aMember);
  Record& record = m_records[aMember.id.name];
  record = { aMember, aNow, std::nullopt, propagate };
  if (aMember.state == MemberState::kSuspect) {
    record.suspectSince = aNow;
  }
  RebuildLiveMembers();
  return &record;
}

const Record*
MemberTable::Find(const std::string& aName) const
{
  const auto record = m_records.find(aName);
  return record == m_records.end() ? nullptr : &record->second;
}

Record*
MemberTable::Find(const std::string& aName)
{
  const auto record = m_records.find(aName);
  return record == m_records.end() ? nullptr : &record->second;
}

std::vector<std::string>
MemberTable::DeadNames() const
{
  std::vector<std::string> names;
  for (const auto& [name, record] : m_records) {
    if (record.member.state == MemberState::kDead && record.propagate) {
      names.push_back(name);
    }
  }
  return names;
}

void
MemberTable::Expire(TimePoint aBefore, TimePoint aUnpropagatedBefore)
{
  std::erase_if(m_records, [&](const auto& aEntry) {
    const Record& record = aEntry.second;
    return !IsLive(record.member) &&
           record.changedAt <
             (record.propagate ? aBefore : aUnpropagatedBefore);
  });
}

void
MemberTable::ExtendSuspicions(Duration aPause)
{
  for (auto& [name, record] : m_records) {
    if (record.suspectSince) {
      *record.suspectSince += aPause;
    }
  }
}

void
MemberTable::RebuildLiveMembers()
{
  m_liveNames.clear();
  m_hash = 0;
  for (const auto& [name, record] : m_records) {
    if (IsLive(record.member)) {
      m_liveNames.push_back(name);
      m_hash ^= RecordHash(record.member);
    }
  }
}

} // namespace wagtailbend::membership::internal
