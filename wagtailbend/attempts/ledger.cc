#include "wagtailbend/attempts/ledger.h"

#include <algorithm>
#include <functional>

namespace wagtailbend::attempts {

CallCost
CostOf(const schema::Method& aMethod)
{
  return CallCost{ std::hash<std::string_view>{}(aMethod.path),
                   std::max(1U, aMethod.minimumAttempts),
                   std::max(aMethod.minimumAttempts, aMethod.attemptBudget) };
}

std::vector<CallCost>
CallsOf(const schema::Schema& aSchema, const schema::Method& aMethod)
{
  std::vector<CallCost> costs;
  costs.reserve(aMethod.calls.size());
  for (const std::string& path : aMethod.calls) {
    const schema::Method* callee = aSchema.FindMethod(path);
    if (callee == nullptr) {
      continue;
    }
    costs.push_back(CostOf(*callee));
  }
  return costs;
}

AttemptLedger::AttemptLedger(uint32_t aBudget,
                             const std::vector<CallCost>& aCalls)
  : m_remaining(aBudget)
  , m_expectedCalls(aCalls)
{
  for (const CallCost& call : m_expectedCalls) {
    m_reserved += call.minimum;
  }
}

std::optional<AttemptGrant>
AttemptLedger::StartCall(const CallCost& aCost)
{
  const std::lock_guard lock(m_mutex);
  const auto expected = std::find_if(
    m_expectedCalls.begin(),
    m_expectedCalls.end(),
    [&](const CallCost& aPending) { return aPending.method == aCost.method; });
  if (expected != m_expectedCalls.end()) {
    m_reserved -= expected->minimum;
    *expected = m_expectedCalls.back();
    m_expectedCalls.pop_back();
  }
  return Deduct(aCost);
}

std::optional<AttemptGrant>
AttemptLedger::StartRetry(const CallCost& aCost)
{
  const std::lock_guard lock(m_mutex);
  return Deduct(aCost);
}

std::optional<AttemptGrant>
AttemptLedger::Deduct(const CallCost& aCost)
{
  const uint64_t needed = m_reserved + aCost.minimum;
  if (m_closed || m_remaining < needed) {
    return std::nullopt;
  }
  uint32_t childBudget = aCost.minimum - 1;
  // Surplus attempts are passed down the chain, where a retry repeats the least
  // work. Half of the surplus stays here if that covers a retry of this call; a
  // smaller share could not be used. A callee without downstream calls has no
  // use for a surplus.
  if (aCost.minimum > 1) {
    const auto surplus = static_cast<uint32_t>(m_remaining - needed);
    const uint32_t retained = surplus / 2 >= aCost.minimum ? surplus / 2 : 0;
    const uint32_t maxChildBudget = std::max(aCost.minimum, aCost.maximum) - 1;
    childBudget = std::min(childBudget + surplus - retained, maxChildBudget);
  }
  m_remaining -= 1 + childBudget;
  return AttemptGrant{ childBudget, 1 + childBudget };
}

void
AttemptLedger::Settle(AttemptGrant& aGrant, uint32_t aAttemptsLeft)
{
  const std::lock_guard lock(m_mutex);
  if (aGrant.held > 0) {
    m_remaining += std::min(aAttemptsLeft, aGrant.childBudget);
  }
  aGrant.held = 0;
}

void
AttemptLedger::CancelUnsent(AttemptGrant& aGrant)
{
  const std::lock_guard lock(m_mutex);
  m_remaining += aGrant.held;
  aGrant.held = 0;
}

void
AttemptLedger::AddBudget(uint32_t aBudget)
{
  const std::lock_guard lock(m_mutex);
  m_remaining += aBudget;
}

uint32_t
AttemptLedger::Close()
{
  const std::lock_guard lock(m_mutex);
  const uint32_t unspent = m_closed ? 0 : m_remaining;
  m_closed = true;
  m_remaining = 0;
  return unspent;
}

uint32_t
AttemptLedger::Remaining() const
{
  const std::lock_guard lock(m_mutex);
  return m_remaining;
}

} // namespace wagtailbend::attempts
