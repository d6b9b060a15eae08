#include "wagtailbend/quarantine/peer_runs.h"

namespace wagtailbend::quarantine {
namespace {

// Runs that a daemon began within this time before its last one may be the
// cause of its end.
constexpr Duration kRunNoticeWindow = std::chrono::seconds(1);
// A peer that ended without closing its connections is noticed in this time.
constexpr Duration kPeerEndDetectionTime = std::chrono::seconds(5);
// A request crashes one target at a time. If more processes than this end
// within the window, the cause is another one.
constexpr size_t kMaxIsolatedEnds = 2;
constexpr Duration kEndWindow = std::chrono::seconds(1);

} // namespace

void
PeerRuns::OnRunNotice(const std::string& aPeer,
                      uint64_t aFingerprint,
                      TimePoint aNow)
{
  std::deque<LostRun>& runs = m_runs[aPeer];
  runs.push_back({ aFingerprint, aNow });
  while (aNow - runs.front().startedAt > kRunNoticeWindow) {
    runs.pop_front();
  }
}

PeerEnd
PeerRuns::OnPeerEnded(const std::string& aPeer,
                      std::span<const uint64_t> aInFlight,
                      TimePoint aNow)
{
  PeerEnd end;
  const auto noticed = m_runs.extract(aPeer);
  if (!noticed.empty()) {
    for (const LostRun& run : noticed.mapped()) {
      if (aNow - run.startedAt <= kPeerEndDetectionTime) {
        end.suspects.push_back(run);
      }
    }
  }
  for (const uint64_t fingerprint : aInFlight) {
    end.suspects.push_back({ fingerprint, aNow });
  }
  end.lostRuns = end.suspects.size();
  if (end.lostRuns == 0) {
    return end;
  }
  while (!m_ends.empty() && aNow - m_ends.front() > kEndWindow) {
    m_ends.pop_front();
  }
  m_ends.push_back(aNow);
  if (m_ends.size() > kMaxIsolatedEnds) {
    end.suspects.clear();
  }
  return end;
}

} // namespace wagtailbend::quarantine
