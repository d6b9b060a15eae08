// Tracks the attempt budget of one running request. Every downstream attempt,
// and all attempts below it, are deducted from the budget that came with the
// request, so the total over a call chain is bounded regardless of its depth.
//
//   AttemptLedger ledger(budget, CallsOf(schema, method));
//   std::optional<AttemptGrant> grant = ledger.StartCall(CostOf(callee));
//   // Send the attempt with grant->childBudget as `wb-attempts`.
//   ledger.Settle(*grant, attemptsLeft);

#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

#include "wagtailbend/schema/schema.h"

namespace wagtailbend::attempts {

/// The number of attempts that one call of a method needs.
struct CallCost
{
  /// Hash of the method's path. A collision only affects which reservation is
  /// released, never the bound.
  size_t method = 0;
  /// Attempts of one run without retries: the call and all calls below it. >=
  /// 1.
  uint32_t minimum = 1;
  /// Maximum number of attempts that one run may use, including the call
  /// itself.
  uint32_t maximum = 1;

  bool operator==(const CallCost&) const = default;
};

/// Thread-safe.
CallCost
/// Returns the cost of one call of aMethod.
CostOf(const schema::Method& aMethod);

/// Returns the costs of the calls that one run of aMethod makes, one element
/// per call. Skips paths that are not in the schema. Thread-safe.
std::vector<CallCost>
CallsOf(const schema::Schema& aSchema, const schema::Method& aMethod);

/// One attempt that was deducted from a ledger, with a budget for the calls
/// below it.
struct AttemptGrant
{
  uint32_t childBudget = 0;
  /// Attempts that were deducted and are not settled yet.
  uint32_t held = 0;

  bool operator==(const AttemptGrant&) const = default;
};

/// Thread-safe. Each request has its own ledger and lock.
class AttemptLedger
{
public:
  /// aBudget: attempts that the request's downstream calls may use in total.
  /// aCalls: expected calls, whose minimum cost is reserved.
  AttemptLedger(uint32_t aBudget, const std::vector<CallCost>& aCalls);

  /// Deducts the first attempt of a call. Returns nullopt if the remaining
  /// budget, less the reservations of other expected calls, does not cover the
  /// call's minimum. A call that was not declared can only use unreserved
  /// attempts.
  std::optional<AttemptGrant> StartCall(const CallCost& aCost);

  /// Deducts a retry or hedge of a call that was already started from the
  /// unreserved attempts. Returns nullopt if they do not cover the call's
  /// minimum.
  std::optional<AttemptGrant> StartRetry(const CallCost& aCost);

  /// Settles an attempt whose complete response arrived, and returns its unused
  /// attempts to the ledger. aAttemptsLeft is the callee's `wb-attempts-left`;
  /// values above the grant are capped. A second call for the same grant has no
  /// effect. Failed, timed-out and cancelled attempts must not be settled:
  /// their whole grant counts as spent.
  void Settle(AttemptGrant& aGrant, uint32_t aAttemptsLeft);

  /// Returns the whole grant of an attempt that was never sent.
  void CancelUnsent(AttemptGrant& aGrant);

  /// Adds the budget of another attempt of the same request at this daemon.
  void AddBudget(uint32_t aBudget);

  /// Closes the ledger when the request ends. Returns the unspent attempts, for
  /// `wb-attempts-left`; every later call is refused.
  uint32_t Close();

  /// Returns the attempts that are neither spent nor granted to attempts in
  /// flight.
  uint32_t Remaining() const;

private:
  std::optional<AttemptGrant> Deduct(const CallCost& aCost);

  mutable std::mutex m_mutex;
  uint32_t m_remaining;
  /// Sum of the minimum cost over m_expectedCalls.
  uint64_t m_reserved = 0;
  std::vector<CallCost> m_expectedCalls;
  bool m_closed = false;
};

} // namespace wagtailbend::attempts
