// What the local target says about itself in its responses.
//
//   TargetCondition condition;
//   if (condition.OnResponse(notice, sentAt, now)) {
//     Apply(condition.State());
//   }
//
// Responses arrive in another order than the target wrote them, so that one
// without a limit may be older than one that names it.

#pragma once

#include <optional>

#include "wagtailbend/base/time.h"

namespace wagtailbend::targets {

/// Statements of one response.
struct TargetNotice
{
  /// Requests per second that the target accepts from all callers together;
  /// empty: it names no limit.
  std::optional<double> requestsPerSecond;
  /// The response names a limit that is not a number >= 0.
  bool isLimitUnreadable = false;
  /// The target is leaving.
  bool leaving = false;

  bool operator==(const TargetNotice&) const = default;
};

/// Derives the current limit of one run of the target, and whether it is
/// leaving. Not thread-safe.
class TargetCondition
{
public:
  /// Forgets everything, for a new run of the target.
  void Reset() { *this = {}; }

  /// aSentAt: when the request was sent. Returns true if the state changed.
  /// A limit ends with a response without one to a request that was sent after
  /// the limit was last named. A run that is leaving never stops leaving.
  bool OnResponse(const TargetNotice& aNotice,
                  TimePoint aSentAt,
                  TimePoint aNow);

  const TargetNotice& State() const { return m_state; }
  /// Returns true after the first response.
  bool IsKnown() const { return m_isKnown; }

private:
  TargetNotice m_state;
  bool m_isKnown = false;
  TimePoint m_limitNamedAt{};
};

} // namespace wagtailbend::targets
