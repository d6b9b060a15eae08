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
  const Slot slot = FindOrInsert(aTicket, aAddressed, aNow);
  if (slot.states == nullptr) {
    return slot.refusal;
  }
  switch (slot.states->Get(aTicket.index)) {
    case ExecutorState::kNone:
      slot.states->Set(aTicket.index, ExecutorState::kAccepted);
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
  States* states = Find(aTicket);
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
  States* states = Find(aTicket);
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
  const Slot slot = FindOrInsert(aTicket, aAddressed, aNow);
  if (slot.states == nullptr) {
    return slot.refusal;
  }
  if (slot.states->Get(aTicket.index) == ExecutorState::kStarted) {
    return GrantDecision::kDuplicate;
  }
  // Also recorded for a grant that has not arrived: it may still be on its way.
  slot.states->Set(aTicket.index, ExecutorState::kTombstone);
  return GrantDecision::kNotStarted;
}

ExecutorState
ExecutorTable::StateOf(const Ticket& aTicket) const
{
  const States* states = Find(aTicket);
  return states == nullptr ? ExecutorState::kNone : states->Get(aTicket.index);
}

void
ExecutorTable::Evict(TimePoint aNow)
{
  while (!m_order.empty() &&
         aNow - m_order.front().at >= m_limits.recordRetention) {
    EvictOldest();
  }
}

const ExecutorTable::States*
ExecutorTable::Find(const Ticket& aTicket) const
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
ExecutorTable::Find(const Ticket& aTicket)
{
  return const_cast<States*>(std::as_const(*this).Find(aTicket));
}

ExecutorTable::Slot
ExecutorTable::FindOrInsert(const Ticket& aTicket,
                            const DaemonId& aAddressed,
                            TimePoint aNow)
{
  if (aAddressed != m_self) {
    return { GrantDecision::kStaleIncarnation };
  }
  if (aTicket.index >= kTicketsPerBlock) {
    return { GrantDecision::kUnknown };
  }
  if (States* states = Find(aTicket)) {
    return { GrantDecision::kAccepted, states };
  }
  auto found = m_homeIndexes.find(aTicket.home);
  if (found == m_homeIndexes.end()) {
    if (m_homes.size() >= m_limits.maxHomes) {
      // Homes are never evicted, so every later grant is refused as well.
      return { GrantDecision::kNotStarted };
    }
    const auto index = static_cast<uint32_t>(m_homes.size());
    found = m_homeIndexes.emplace(aTicket.home, index).first;
    m_homes.emplace_back();
  }
  if (aTicket.block < m_homes[found->second].firstSafeBlock) {
    return { GrantDecision::kUnknown };
  }
  if (m_order.size() >= m_limits.maxBlocks) {
    EvictOldest();
  }
  if (aTicket.block < m_homes[found->second].firstSafeBlock) {
    return { GrantDecision::kUnknown };
  }
  m_order.push_back({ found->second, aTicket.block, aNow });
  return { GrantDecision::kAccepted,
           &m_homes[found->second].blocks[aTicket.block] };
}

void
ExecutorTable::EvictOldest()
{
  const Recorded oldest = m_order.front();
  m_order.pop_front();
  Home& home = m_homes[oldest.homeIndex];
  home.blocks.erase(oldest.block);
  home.firstSafeBlock = std::max(home.firstSafeBlock, oldest.block + 1);
}

} // namespace wagtailbend::orders
