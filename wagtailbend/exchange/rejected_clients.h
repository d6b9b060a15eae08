// Tracks rejected clients in order to recognize their retries.
//
//   clients.RecordRejection(fingerprint, firstArrival, retryAfter, now);
//   if (auto firstArrival = clients.TakeFirstArrival(fingerprint, now)) { ... }
//
// In a surge, rejected clients are sent a Retry-After time. A client that
// retries at that time takes precedence over new ones instead of being rejected
// again, and its latency objective counts from the first arrival.

#pragma once

#include <cstdint>
#include <optional>
#include <queue>
#include <unordered_map>

#include "wagtailbend/base/time.h"

namespace wagtailbend::exchange {

/// Returns the rank of a retry after a rejection that can still meet its
/// objective: in the lower half of the ranks, which is admitted first.
constexpr uint32_t
RankAfterRejection(uint32_t aRank)
{
  return aRank / 2;
}

/// Not thread-safe.
class RejectedClients
{
public:
  /// aFirstArrival: first arrival of the client's request. aRetryAfter:
  /// the Retry-After time sent to the client.
  void RecordRejection(uint64_t aFingerprint,
                       TimePoint aFirstArrival,
                       Duration aRetryAfter,
                       TimePoint aNow);
  /// Removes the client's entry and returns its first arrival; nullopt
  /// if there is none.
  std::optional<TimePoint> TakeFirstArrival(uint64_t aFingerprint,
                                            TimePoint aNow);
  size_t Size() const { return m_rejections.size(); }

private:
  struct Rejection
  {
    TimePoint firstArrival;
    TimePoint expires;
  };
  struct Expiry
  {
    TimePoint at;
    uint64_t fingerprint = 0;
    bool operator>(const Expiry& aOther) const { return at > aOther.at; }
  };

  void Expire(TimePoint aNow);

  std::unordered_map<uint64_t, Rejection> m_rejections;
  std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> m_expiries;
};

} // namespace wagtailbend::exchange
