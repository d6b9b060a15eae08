#include "wagtailbend/orders/executor_table.h"

#include <algorithm>
#include <utility>

namespace wagtailbend::orders {

ExecutorTable::ExecutorTable(DaemonId aSelf, ExecutorLimits aLimits)
  : m_self(std::move(aSelf))
  , m_limits(aLimits)
{
}

GrantDecision
ExecutorTable::OnGrant(const Ticket& aTicket,
                       const DaemonId& aAddressed,
                       TimePoint aNow)
{
  const StateLookup lookup = FindOrInsertStates(aTicket, aAddressed, aNow);
  if (lookup.states == nullptr) {
    return lookup.rejection;
  }
  switch (lookup.states->Get(aTicket.index)) {
    case ExecutorState::kNone:
      lookup.states->Set(aTicket.index, ExecutorState::kAccepted);
      return GrantDecision::kAccepted;
    case ExecutorState::kTombstone:
      return GrantDecision::kNotStarted;
    case ExecutorState::kAccepted:
    case ExecutorState::kStarted:
      break;
  }
  return GrantDecision::kDuplicate;
}

bool
ExecutorTable::Start(const Ticket& aTicket)
{
  States* states = FindStates(aTicket);
  if (states == nullptr ||
      states->Get(aTicket.index) != ExecutorState::kAccepted) {
    return false;
  }
  states->Set(aTicket.index, ExecutorState::kStarted);
  return true;
}

bool
ExecutorTable::RejectBeforeStart(const Ticket& aTicket)
{
  States* states = FindStates(aTicket);
  if (states == nullptr) {
    return false;
  }
  if (states->Get(aTicket.index) == ExecutorState::kAccepted) {
    states->Set(aTicket.index, ExecutorState::kTombstone);
  }
  return states->Get(aTicket.index) == ExecutorState::kTombstone;
}

GrantDecision
ExecutorTable::ConfirmNotStarted(const Ticket& aTicket,
                                 const DaemonId& aAddressed,
                                 TimePoint aNow)
{
  const StateLookup lookup = FindOrInsertStates(aTicket, aAddressed, aNow);
  if (lookup.states == nullptr) {
    return lookup.rejection;
  }
  if (lookup.states->Get(aTicket.index) == ExecutorState::kStarted) {
    return GrantDecision::kDuplicate;
  }
  // Recorded even without a grant, because a delayed grant may still arrive.
  lookup.states->Set(aTicket.index, ExecutorState::kTombstone);
  return GrantDecision::kNotStarted;
}

ExecutorState
ExecutorTable::StateOf(const Ticket& aTicket) const
{
  const States* states = FindStates(aTicket);
  return states == nullptr ? ExecutorState::kNone : states->Get(aTicket.index);
}

void
ExecutorTable::Evict(TimePoint aNow)
{
  while (!m_recordsByAge.empty() &&
         aNow - m_recordsByAge.front().recordedAt >= m_limits.recordRetention) {
    EvictOldest();
  }
}

const ExecutorTable::States*
ExecutorTable::FindStates(const Ticket& aTicket) const
{
  const auto home = m_homeIndexes.find(aTicket.home);
  if (home == m_homeIndexes.end() || aTicket.index >= kTicketsPerBlock) {
    return nullptr;
  }
  const auto& blocks = m_homes[home->second].blocks;
  const auto block = blocks.find(aTicket.block);
  return block == blocks.end() ? nullptr : &block->second;
}

ExecutorTable::States*
ExecutorTable::FindStates(const Ticket& aTicket)
{
  return const_cast<States*>(std::as_const(*this).FindStates(aTicket));
}

ExecutorTable::StateLookup
ExecutorTable::FindOrInsertStates(const Ticket& aTicket,
                                  const DaemonId& aAddressed,
                                  TimePoint aNow)
{
  if (aAddressed != m_self) {
    return { GrantDecision::kStaleIncarnation };
  }
  if (aTicket.index >= kTicketsPerBlock) {
    return { GrantDecision::kUnknown };
  }
  if (States* states = FindStates(aTicket)) {
    return { GrantDecision::kAccepted, states };
  }
  auto found = m_homeIndexes.find(aTicket.home);
  if (found == m_homeIndexes.end()) {
    if (m_homes.size() >= m_limits.maxHomes) {
      // Homes are never evicted, so all later grants are rejected as well and
      // kNotStarted stays true.
      return { GrantDecision::kNotStarted };
    }
    const auto index = static_cast<uint32_t>(m_homes.size());
    found = m_homeIndexes.emplace(aTicket.home, index).first;
    m_homes.emplace_back();
  }
  if (aTicket.block < m_homes[found->second].evictionWatermark) {
    return { GrantDecision::kUnknown };
  }
  if (m_recordsByAge.size() >= m_limits.maxBlocks) {
    EvictOldest();
  }
  if (aTicket.block < m_homes[found->second].evictionWatermark) {
    return { GrantDecision::kUnknown };
  }
  m_recordsByAge.push_back({ found->second, aTicket.block, aNow });
  return { GrantDecision::kAccepted,
           &m_homes[found->second].blocks[aTicket.block] };
}

void
ExecutorTable::EvictOldest()
{
  const BlockRecord oldest = m_recordsByAge.front();
  m_recordsByAge.pop_front();
  Home& home = m_homes[oldest.homeIndex];
  home.blocks.erase(oldest.block);
  home.evictionWatermark = std::max(home.evictionWatermark, oldest.block + 1);
}

} // namespace wagtailbend::orders
