// Decides which requests become crash suspects when the daemon beside a target
// ends together with it.
//
//   PeerRuns runs;
//   runs.OnRunNotice(peer, fingerprint, now);
//   for (const LostRun& run : runs.OnPeerEnded(peer, inFlight, now).suspects) {
//     list.OnDaemonLost(run.fingerprint, run.startedAt, now, rng);
//   }

#pragma once

#include <cstdint>
#include <deque>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "wagtailbend/base/time.h"

namespace wagtailbend::quarantine {

/// A request that was at the target of a daemon that ended.
struct LostRun
{
  uint64_t fingerprint = 0;
  /// The latest time at which the run can have begun.
  TimePoint startedAt;

  bool operator==(const LostRun&) const = default;
};

struct PeerEnd
{
  /// Number of requests that were at the target.
  size_t lostRuns = 0;
  /// Those that may be the cause; empty if so many processes ended that the
  /// cause is another one.
  std::vector<LostRun> suspects;

  bool operator==(const PeerEnd&) const = default;
};

/// The runs of peers that this daemon knows of. Not thread-safe.
class PeerRuns
{
public:
  /// Records that a peer runs a request of its own clients. Only the latest
  /// runs of each peer are kept.
  void OnRunNotice(const std::string& aPeer,
                   uint64_t aFingerprint,
                   TimePoint aNow);
  /// Returns the runs that ended with the process of a peer, and forgets them.
  /// aInFlight: requests that this daemon had sent to the peer.
  PeerEnd OnPeerEnded(const std::string& aPeer,
                      std::span<const uint64_t> aInFlight,
                      TimePoint aNow);
  /// Forgets a peer that stopped as planned or is no longer a member.
  void Forget(const std::string& aPeer) { m_runs.erase(aPeer); }

private:
  std::unordered_map<std::string, std::deque<LostRun>> m_runs;
  /// When processes of peers last ended during runs.
  std::deque<TimePoint> m_ends;
};

} // namespace wagtailbend::quarantine
