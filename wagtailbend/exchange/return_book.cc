#include "wagtailbend/exchange/return_book.h"

namespace wagtailbend::exchange {
namespace {

// A customer who is later than this after the time told is a new one.
constexpr Duration kLateness = std::chrono::seconds(1);
// About 100 bytes each.
constexpr size_t kMaxEntries = 8192;

} // namespace

void
ReturnBook::Expire(TimePoint aNow)
{
  while (!m_expiries.empty() && m_expiries.top().at <= aNow) {
    const auto found = m_entries.find(m_expiries.top().fingerprint);
    if (found != m_entries.end() && found->second.expires <= aNow) {
      m_entries.erase(found);
    }
    m_expiries.pop();
  }
}

void
ReturnBook::NoteRejected(uint64_t aFingerprint,
                         TimePoint aFirst,
                         Duration aAfter,
                         TimePoint aNow)
{
  Expire(aNow);
  if (m_expiries.size() >= kMaxEntries) {
    return;
  }
  const TimePoint expires = aNow + aAfter + kLateness;
  m_entries[aFingerprint] = { aFirst, expires };
  m_expiries.push({ expires, aFingerprint });
}

std::optional<TimePoint>
ReturnBook::TakeReturn(uint64_t aFingerprint, TimePoint aNow)
{
  Expire(aNow);
  const auto node = m_entries.extract(aFingerprint);
  if (node.empty()) {
    return std::nullopt;
  }
  return node.mapped().first;
}

} // namespace wagtailbend::exchange
