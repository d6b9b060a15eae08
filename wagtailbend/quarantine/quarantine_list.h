// Detects requests that crash targets and quarantines them by fingerprint.
//
//   const uint64_t fingerprint = FingerprintOf(method, payload);
//   QuarantineDecision decision = list.Check(fingerprint, liveDaemons, now);
//   if (decision.kind == QuarantineAction::kTrialHere &&
//       list.BeginTrial(fingerprint, liveDaemons, now)) { ... }
//   ... when the local target crashes:
//   Gossip(list.OnTargetCrashed(fingerprintsInFlight, now, rng));

#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wagtailbend/base/ids.h"
#include "wagtailbend/base/time.h"

namespace wagtailbend::quarantine {

/// Number of target crashes after which a fingerprint is quarantined.
inline constexpr size_t kMaxCrashes = 2;

/// Returns the xxHash64 of the method path and the payload. Thread-safe.
uint64_t
FingerprintOf(std::string_view aMethod, std::string_view aPayload);

/// Selects by rendezvous hashing the daemon that may run a trial of
/// aFingerprint. Returns nullptr if aLive is empty. The order of aLive does not
/// matter. Thread-safe.
const DaemonId*
SelectTrialDaemon(uint64_t aFingerprint, std::span<const DaemonId> aLive);

/// State of a fingerprint as exchanged between daemons.
struct SuspectEntry
{
  uint64_t fingerprint = 0;
  /// An id for each target crash, ascending; 0: unused. The high bits are the
  /// logical time of the crash, the others are random. If there are more than
  /// kMaxCrashes, the largest are kept.
  std::array<uint64_t, kMaxCrashes> crashIds{};
  /// A target survived a trial. Has no effect once quarantined.
  bool cleared = false;
  /// Time until the entry expires.
  Duration remaining{};

  bool IsQuarantined() const { return crashIds.front() != 0; }
  bool operator==(const SuspectEntry&) const = default;
};

/// Digests of the entries of a list, by fingerprint modulo their number.
using ListDigests = std::array<uint64_t, 64>;

enum class QuarantineAction : uint8_t
{
  /// Not suspected.
  kPass,
  /// Suspected; this daemon may run it if BeginTrial returns true.
  kTrialHere,
  /// Suspected; must be relayed only to QuarantineDecision::trialDaemon.
  kTrialElsewhere,
  /// To be rejected as kQuarantined. Also returned for a suspect if no daemon
  /// is live.
  kQuarantined,
};

struct QuarantineDecision
{
  QuarantineAction kind = QuarantineAction::kPass;
  DaemonId trialDaemon;

  bool operator==(const QuarantineDecision&) const = default;
};

struct QuarantineLimits
{
  Duration lifetime = std::chrono::minutes(10);
  /// Above this count the entries with the oldest latest crash are evicted.
  /// Quarantined entries may take up three quarters of it, and suspects the
  /// rest.
  size_t maxEntries = 4096;
  /// Upper bound for the time in which an update reaches all daemons of the
  /// failure domain; equals the bound for membership changes.
  Duration gossipPropagationTime = std::chrono::seconds(3);
  /// Suspects that run at the local target at the same time. If it crashes, all
  /// of them count.
  size_t maxConcurrentTrials = 1;
};

/// Tracks crash suspects and quarantined fingerprints at one daemon. With a
/// list at each daemon, a fingerprint crashes at most kMaxCrashes targets if
/// its senders wait for the response to the first lost request, and such
/// responses are held back until EarliestResponseTime. After that they may send
/// any number of copies at once. Further crashes remain possible
///
/// - from copies in flight at several targets when the first one crashes;
/// - from a copy sent within the gossip propagation time of the first crash,
///   without waiting for the response;
/// - from copies relayed by peers within the gossip propagation time after the
///   trial daemon crashed together with its target;
/// - while daemons disagree about which daemons are live;
/// - after the entry expired or was evicted.
///
/// Lists that exchange their entries become equal, also if there are more than
/// QuarantineLimits::maxEntries, because all of them evict the same ones.
///
/// Not thread-safe: callers must serialize all access.
class QuarantineList
{
public:
  explicit QuarantineList(DaemonId aSelf, QuarantineLimits aLimits = {});

  /// Decides how to treat a request. Called by the daemon that receives it from
  /// the client and again by the daemon of the target.
  QuarantineDecision Check(uint64_t aFingerprint,
                           std::span<const DaemonId> aLive,
                           TimePoint aNow) const;
  /// Starts the trial of a suspect at the local target. Returns false unless
  /// Check returns kTrialHere, no copy of it is in flight, and fewer than
  /// QuarantineLimits::maxConcurrentTrials other suspects are.
  [[nodiscard]] bool BeginTrial(uint64_t aFingerprint,
                                std::span<const DaemonId> aLive,
                                TimePoint aNow);
  /// Ends the trial. aSurvived: the target responded, so the request is no
  /// longer suspected. Otherwise (cancelled, rejected) the state is unchanged.
  /// Returns the entry to gossip if it changed.
  std::optional<SuspectEntry> EndTrial(uint64_t aFingerprint,
                                       bool aSurvived,
                                       TimePoint aNow);
  /// Records that the local target crashed with these requests in flight, and
  /// ends all trials. Returns the entries to gossip.
  std::vector<SuspectEntry> OnTargetCrashed(std::span<const uint64_t> aInFlight,
                                            TimePoint aNow,
                                            Rng& aRng);
  /// Records that the connection to the trial daemon was lost during a trial.
  /// Counts as a target crash, because a daemon whose VM failed reports
  /// nothing.
  SuspectEntry OnTrialConnectionLost(uint64_t aFingerprint,
                                     TimePoint aNow,
                                     Rng& aRng);
  /// Records that a daemon ended while its target ran the request, since
  /// aStartedAt. Counts as a target crash, unless one is known since then or
  /// the request has survived a run after it was first suspected. Returns the
  /// entry to gossip if it changed.
  std::optional<SuspectEntry> OnDaemonLost(uint64_t aFingerprint,
                                           TimePoint aStartedAt,
                                           TimePoint aNow,
                                           Rng& aRng);
  /// Returns the earliest time for the response to a request that was lost with
  /// its target, so that its sender cannot retry before all peers know of the
  /// crash.
  TimePoint EarliestResponseTime(TimePoint aLostAt) const;

  /// Merges entries of a peer. Commutative and idempotent.
  void Merge(std::span<const SuspectEntry> aEntries, TimePoint aNow);
  /// Returns up to aMax entries to gossip, quarantined ones first.
  std::vector<SuspectEntry> Export(size_t aMax, TimePoint aNow) const;
  /// Returns the entries that were added or changed after aSince.
  std::vector<SuspectEntry> ExportSince(TimePoint aSince, TimePoint aNow) const;
  /// Returns the entries whose digests differ from aDigests. A list with these
  /// digests that merges them lacks nothing that this one knows.
  std::vector<SuspectEntry> ExportDiffering(const ListDigests& aDigests,
                                            TimePoint aNow) const;
  /// Returns digests that are equal at two daemons that know the same entries,
  /// whatever their order.
  ListDigests Digests(TimePoint aNow) const;
  /// Returns a summary of Digests; never 0.
  uint64_t Digest(TimePoint aNow) const;
  /// Removes expired entries.
  void Expire(TimePoint aNow);

  size_t Size() const { return m_records.size(); }

private:
  struct Record
  {
    SuspectEntry entry;
    TimePoint expiresAt;
    TimePoint changedAt;
  };

  /// Returns the entries that aPredicate(record) selects and that have not
  /// expired.
  template<typename Predicate>
  std::vector<SuspectEntry> Select(TimePoint aNow, Predicate aPredicate) const;

  const Record* Find(uint64_t aFingerprint, TimePoint aNow) const;
  Record& FindOrInsert(uint64_t aFingerprint, TimePoint aNow);
  /// Returns an id that is larger than those of all known crashes.
  uint64_t NextCrashId(Rng& aRng);
  /// Evicts entries above the limits. Invalidates references to records.
  void Trim();
  SuspectEntry AddLoss(uint64_t aFingerprint, TimePoint aNow, Rng& aRng);

  DaemonId m_self;
  QuarantineLimits m_limits;
  std::unordered_map<uint64_t, Record> m_records;
  /// Logical time of the latest known crash (Lamport clock).
  uint64_t m_lastCrashTime = 0;
  /// Suspects in flight at the local target.
  std::set<uint64_t> m_trials;
};

} // namespace wagtailbend::quarantine
