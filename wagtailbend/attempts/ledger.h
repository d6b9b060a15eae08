// Accounting of one running request's attempt budget. Every downstream attempt
// and everything below it is paid from the budget that came with the request,
// so the total over a call chain is bounded however deep the chain is.
//
//   AttemptLedger ledger(budget, CallsOf(schema, method));
//   std::optional<AttemptGrant> grant = ledger.StartCall(CostOf(callee));
//   // Send the attempt with grant->childBudget as `wb-attempts`.
//   ledger.CompleteInFull(*grant, attemptsLeft);

#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

#include "wagtailbend/schema/schema.h"

namespace wagtailbend::attempts {

/// What one call of a method costs.
struct CallCost
{
  /// Hash of the method's path. A collision only affects which reserve is
  /// released, never the bound.
  size_t method = 0;
  /// Attempts of one run without retries: the call and all below it. >= 1.
  uint32_t minimum = 1;
  /// Most attempts that one run may use, the call itself included.
  uint32_t maximum = 1;

  bool operator==(const CallCost&) const = default;
};

/// Thread-safe.
CallCost
CostOf(const schema::Method& aMethod);

/// Returns the costs of the calls that one run of aMethod makes, repeated per
/// call. Paths that the schema does not know are left out. Thread-safe.
std::vector<CallCost>
CallsOf(const schema::Schema& aSchema, const schema::Method& aMethod);

/// One attempt paid for: itself and a budget for the calls below it.
struct AttemptGrant
{
  uint32_t childBudget = 0;
  /// Attempts that were deducted and not yet settled.
  uint32_t held = 0;

  bool operator==(const AttemptGrant&) const = default;
};

/// Thread-safe. The lock belongs to one request.
class AttemptLedger
{
public:
  /// aBudget: attempts that the request's downstream calls may use in total.
  /// aCalls: calls still to come; their minimum is reserved for them.
  AttemptLedger(uint32_t aBudget, const std::vector<CallCost>& aCalls);

  /// Pays for the first attempt of a call. Returns nullopt if the remainder,
  /// less the reserve of other calls to come, does not cover the call's
  /// minimum. A call that was not declared draws on the surplus only.
  std::optional<AttemptGrant> StartCall(const CallCost& aCost);

  /// Pays for a retry or hedge of a call already started, from the surplus.
  /// Returns nullopt if the surplus does not cover the call's minimum.
  std::optional<AttemptGrant> StartRetry(const CallCost& aCost);

  /// Settles an attempt whose complete response arrived. aAttemptsLeft is the
  /// callee's `wb-attempts-left`; values above the grant are cut. A second
  /// call for the same grant returns nothing. Failed, timed out and cancelled
  /// attempts are not settled: what they were given counts as spent.
  void CompleteInFull(AttemptGrant& aGrant, uint32_t aAttemptsLeft);

  /// Takes back an attempt that was never sent, in full.
  void CancelUnsent(AttemptGrant& aGrant);

  /// Adds the budget of a second attempt of the same request at this daemon.
  void AddBudget(uint32_t aBudget);

  /// Ends the request: returns the unspent attempts, for `wb-attempts-left`,
  /// and refuses every later call.
  uint32_t Close();

  /// Attempts that are neither spent nor held by attempts in flight.
  uint32_t Remaining() const;

private:
  std::optional<AttemptGrant> Take(const CallCost& aCost);

  mutable std::mutex m_mutex;
  uint32_t m_remaining;
  /// Sum of the minimum of m_pending.
  uint64_t m_reserved = 0;
  std::vector<CallCost> m_pending;
  bool m_closed = false;
};

} // namespace wagtailbend::attempts
