// Crash suspects at one daemon: which requests run at the own target, what its
// death makes of them, and what other daemons reported.
//
//   QuarantineGuard guard(self);
//   QuarantineDecision decision = guard.Check(fingerprint, service, now);
//   guard.OnHandedOver(fingerprint);
//   guard.OnReturned(fingerprint, /*aLost=*/false);

#pragma once

#include <array>
#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "wagtailbend/daemon/gated_attempt.h"
#include "wagtailbend/filters/request_context.h"
#include "wagtailbend/membership/member.h"
#include "wagtailbend/quarantine/quarantine_list.h"

namespace wagtailbend::daemon {

/// Returns the fingerprint of method and payload. Precondition: aContext.method
/// is set. Thread-safe.
uint64_t
FingerprintOf(const filters::RequestContext& aContext);

/// Thread-safe. The lock of the list is taken only for requests that are
/// listed.
class QuarantineGuard final : public TargetWatch
{
public:
  /// Receives all requests that ran at the own target when its connection was
  /// lost. Called on any thread.
  using OnLost = std::function<void(std::vector<uint64_t>, TimePoint)>;

  QuarantineGuard(DaemonId aSelf, OnLost aOnLost);

  quarantine::QuarantineDecision Check(uint64_t aFingerprint,
                                       const std::string& aService,
                                       TimePoint aNow) const;
  /// See QuarantineList::BeginTrial.
  [[nodiscard]] bool BeginTrial(uint64_t aFingerprint,
                                const std::string& aService,
                                TimePoint aNow);
  void EndTrial(uint64_t aFingerprint, bool aSurvived, TimePoint aNow);
  /// The connection to the daemon of a trial was lost.
  void TrialConnectionLost(uint64_t aFingerprint, TimePoint aNow);

  void OnHandedOver(uint64_t aFingerprint) override;
  void OnReturned(uint64_t aFingerprint, bool aLost) override;
  /// Everything that runs at the own target now.
  std::vector<uint64_t> InFlight() const;
  /// The own target died with aInFlight.
  void TargetLost(const std::vector<uint64_t>& aInFlight, TimePoint aNow);
  /// When a request that was lost with its target may be answered.
  TimePoint EarliestResponseTime(TimePoint aLostAt) const;

  // Called on the control thread.

  /// Takes what other daemons reported, and the daemons with a target that
  /// takes work, by service.
  void Update(const std::vector<membership::QuarantineEntry>& aEntries,
              std::map<std::string, std::vector<DaemonId>> aLive,
              TimePoint aNow);
  /// Returns and forgets the news to gossip.
  std::vector<membership::QuarantineEntry> TakeNews(TimePoint aNow);
  /// Drops expired entries.
  void Expire(TimePoint aNow);
  /// Entries, and those of them that are quarantined.
  std::pair<size_t, size_t> Counts(TimePoint aNow) const;

private:
  using Listed = std::unordered_set<uint64_t>;

  struct Shard
  {
    mutable std::mutex mutex;
    std::unordered_multiset<uint64_t> running;
  };

  void Publish(TimePoint aNow);
  bool IsListed(uint64_t aFingerprint) const;
  Shard& ShardOf(uint64_t aFingerprint);
  std::span<const DaemonId> Live(const std::string& aService) const;

  mutable std::mutex m_mutex;
  quarantine::QuarantineList m_list;
  OnLost m_onLost;
  std::map<std::string, std::vector<DaemonId>> m_live;
  std::vector<quarantine::SuspectEntry> m_news;
  Rng m_rng;
  std::atomic<std::shared_ptr<const Listed>> m_listed;
  std::array<Shard, 16> m_shards;
};

} // namespace wagtailbend::daemon
