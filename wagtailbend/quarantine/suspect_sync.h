// Decides when a daemon asks which peer for the crash suspects that it lacks.
//
//   SuspectSync sync;
//   if (sync.OnDigest({ peer, digest, otherRegion }, local, now)) { /* ask */ }

#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include "wagtailbend/base/time.h"

namespace wagtailbend::quarantine {

/// What a peer reports of its list.
struct PeerDigest
{
  std::string address;
  /// See QuarantineList::Digest; 0: not stated.
  uint64_t digest = 0;
  bool otherRegion = false;

  bool operator==(const PeerDigest&) const = default;
};

/// State of the local list.
struct LocalDigest
{
  uint64_t digest = 0;
  bool isEmpty = false;

  bool operator==(const LocalDigest&) const = default;
};

/// Asks one peer at a time and waits between two requests, so that the traffic
/// of a daemon does not grow with the number of its peers. Peers of its own
/// region are asked first. Not thread-safe.
class SuspectSync
{
public:
  /// Records the digest of a peer. Returns true if the peer is to be asked now;
  /// the request is then taken as sent.
  bool OnDigest(const PeerDigest& aPeer,
                const LocalDigest& aLocal,
                TimePoint aNow);
  /// Forgets a peer that is no longer a member.
  void Forget(const std::string& aAddress) { m_differsSince.erase(aAddress); }

private:
  /// By address: since when the peer reports another digest.
  std::unordered_map<std::string, TimePoint> m_differsSince;
  TimePoint m_askedAt{};
};

} // namespace wagtailbend::quarantine
