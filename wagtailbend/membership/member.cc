#include "wagtailbend/membership/member.h"

#include <tuple>

namespace wagtailbend::membership {

bool
Supersedes(const Member& aLeft, const Member& aRight)
{
  return std::tie(
           aLeft.generation, aLeft.id.incarnation, aLeft.number, aLeft.state) >
         std::tie(aRight.generation,
                  aRight.id.incarnation,
                  aRight.number,
                  aRight.state);
}

bool
IsLive(const Member& aMember)
{
  return aMember.state < MemberState::kDead;
}

std::string_view
MemberStateName(MemberState aState)
{
  switch (aState) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDraining:
      return "draining";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "unknown";
}

} // namespace wagtailbend::membership
