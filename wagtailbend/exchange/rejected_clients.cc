#include "wagtailbend/exchange/rejected_clients.h"

namespace wagtailbend::exchange {
namespace {

// A client that retries later than this after its Retry-After time counts as
// new.
constexpr Duration kMaxLateness = std::chrono::seconds(1);
// Bounds the memory to about 800 KiB, at about 100 bytes per entry.
constexpr size_t kMaxPendingExpiries = 8192;

} // namespace

void
RejectedClients::Expire(TimePoint aNow)
{
  while (!m_expiries.empty() && m_expiries.top().at <= aNow) {
    const auto found = m_rejections.find(m_expiries.top().fingerprint);
    if (found != m_rejections.end() && found->second.expires <= aNow) {
      m_rejections.erase(found);
    }
    m_expiries.pop();
  }
}

void
RejectedClients::RecordRejection(uint64_t aFingerprint,
                                 TimePoint aFirstArrival,
                                 Duration aRetryAfter,
                                 TimePoint aNow)
{
  Expire(aNow);
  if (m_expiries.size() >= kMaxPendingExpiries) {
    return;
  }
  const TimePoint expires = aNow + aRetryAfter + kMaxLateness;
  m_rejections[aFingerprint] = { aFirstArrival, expires };
  m_expiries.push({ expires, aFingerprint });
}

std::optional<TimePoint>
RejectedClients::TakeFirstArrival(uint64_t aFingerprint, TimePoint aNow)
{
  Expire(aNow);
  const auto node = m_rejections.extract(aFingerprint);
  if (node.empty()) {
    return std::nullopt;
  }
  return node.mapped().firstArrival;
}

} // namespace wagtailbend::exchange
