// Requests suspected of crashing targets, and the quarantine list.
//
//   const uint64_t fingerprint = FingerprintOf(method, payload);
//   Verdict verdict = list.Check(fingerprint, liveDaemons, now);
//   if (verdict.kind == VerdictKind::kTrialHere &&
//       list.BeginTrial(fingerprint, liveDaemons, now)) { ... }
//   ... when the local target dies:
//   Gossip(list.OnTargetLost(fingerprintsInFlight, now, rng));

#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "wagtailbend/base/ids.h"
#include "wagtailbend/base/time.h"

namespace wagtailbend::quarantine {

/// Lost targets after which a fingerprint is quarantined.
inline constexpr size_t kMaxLosses = 2;

/// Returns the xxHash64 of method path and payload. Thread-safe.
uint64_t
FingerprintOf(std::string_view aMethod, std::string_view aPayload);

/// Returns the daemon that may try aFingerprint, by rendezvous hashing, or
/// nullptr if aLive is empty. The order of aLive does not matter. Thread-safe.
const DaemonId*
SelectTrialDaemon(uint64_t aFingerprint, std::span<const DaemonId> aLive);

/// What daemons tell each other about a fingerprint.
struct Entry
{
  uint64_t fingerprint = 0;
  /// A random number for each lost target, ascending; 0 for none. Of more
  /// than kMaxLosses the largest are kept.
  std::array<uint64_t, kMaxLosses> losses{};
  /// A target survived a trial. Has no effect once quarantined.
  bool cleared = false;
  /// Time until the entry expires.
  Duration remaining{};

  bool IsQuarantined() const { return losses.front() != 0; }
  bool operator==(const Entry&) const = default;
};

enum class VerdictKind : uint8_t
{
  /// Not suspected.
  kPass,
  /// Suspected; this daemon may try it if BeginTrial returns true.
  kTrialHere,
  /// Suspected: relay to Verdict::trialDaemon, and nowhere else.
  kTrialElsewhere,
  /// Reject as kQuarantined. Also for a suspect if no daemon is live.
  kQuarantined,
};

struct Verdict
{
  VerdictKind kind = VerdictKind::kPass;
  DaemonId trialDaemon;

  bool operator==(const Verdict&) const = default;
};

struct QuarantineLimits
{
  Duration lifetime = std::chrono::minutes(10);
  /// The entry that expires first is evicted above this count, suspects before
  /// quarantined ones.
  size_t maxEntries = 4096;
  /// Time in which news reach the failure domain, by the page's membership
  /// bound.
  Duration gossipRound = std::chrono::seconds(3);
};

/// With a list at each daemon, at most kMaxLosses targets are lost to a
/// fingerprint if its senders wait for the answer to the first request that
/// was lost, and such answers are held until ReplyNotBefore. After that they
/// may send any number of copies at once. Not excluded are further losses
/// - to copies in flight at several targets when the first one dies;
/// - to a copy that is sent within a gossip round of the first loss, without
///   waiting for the answer;
/// - to copies relayed by other daemons within a gossip round of the death of
///   the trial daemon together with its target;
/// - while daemons differ about which daemons are live;
/// - after the entry expired or was evicted.
/// Not thread-safe: callers serialize all access.
class QuarantineList
{
public:
  explicit QuarantineList(DaemonId aSelf, QuarantineLimits aLimits = {});

  /// Decides about a request at entry and again at ingress.
  Verdict Check(uint64_t aFingerprint,
                std::span<const DaemonId> aLive,
                TimePoint aNow) const;
  /// Starts the trial of a suspect at the local target. Returns false unless
  /// Check says kTrialHere and no other suspect is in flight.
  [[nodiscard]] bool BeginTrial(uint64_t aFingerprint,
                                std::span<const DaemonId> aLive,
                                TimePoint aNow);
  /// Ends the trial. aSurvived: the target answered, so the request is no
  /// longer suspected. Otherwise (cancelled, rejected) nothing is learned.
  /// Returns the entry to gossip, if there is news.
  std::optional<Entry> EndTrial(uint64_t aFingerprint,
                                bool aSurvived,
                                TimePoint aNow);
  /// The local target died with these requests in flight; ends a trial.
  /// Returns the entries to gossip.
  std::vector<Entry> OnTargetLost(std::span<const uint64_t> aInFlight,
                                  TimePoint aNow,
                                  Rng& aRng);
  /// The connection to the trial daemon was lost during a trial. Counted as a
  /// lost target, because a daemon that died with its VM reports nothing.
  Entry OnTrialConnectionLost(uint64_t aFingerprint, TimePoint aNow, Rng& aRng);
  /// Returns when a request that was lost with its target may be answered, so
  /// that its sender cannot send it again before the other daemons know.
  TimePoint ReplyNotBefore(TimePoint aLostAt) const;

  /// Takes over what another daemon knows. Commutative and idempotent.
  void Merge(std::span<const Entry> aEntries, TimePoint aNow);
  /// Returns up to aMax entries, quarantined ones first.
  std::vector<Entry> Export(size_t aMax, TimePoint aNow) const;
  /// Drops expired entries.
  void Expire(TimePoint aNow);

  size_t Size() const { return m_records.size(); }

private:
  struct Record
  {
    Entry entry;
    TimePoint expiresAt;
  };

  const Record* Find(uint64_t aFingerprint, TimePoint aNow) const;
  Record& FindOrInsert(uint64_t aFingerprint, TimePoint aNow);
  void EvictOne();
  Entry AddLoss(uint64_t aFingerprint, TimePoint aNow, Rng& aRng);

  DaemonId m_self;
  QuarantineLimits m_limits;
  std::unordered_map<uint64_t, Record> m_records;
  std::optional<uint64_t> m_trial;
};

} // namespace wagtailbend::quarantine
