// SWIM membership of the daemons in one failure domain: probes, suspicion,
// refutation, piggybacked updates and full-state exchange. Performs no I/O.
//
//   Swim swim(SwimConfig{}, self, seeds, now);
//   for (const Datagram& datagram : swim.Tick(now, rng)) { Send(datagram); }
//   for (const Datagram& response : swim.HandleMessage(from, bytes, now)) {
//     Send(response);
//   }

#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailbend/base/rng.h"
#include "wagtailbend/base/time.h"
#include "wagtailbend/membership/internal/member_table.h"
#include "wagtailbend/membership/internal/update_queue.h"
#include "wagtailbend/membership/member.h"

namespace wagtailbend::gossip {
class Envelope;
}

namespace wagtailbend::membership {

struct SwimConfig
{
  /// Interval between probes. The suspicion timeout grows with it.
  Duration probePeriod = std::chrono::milliseconds(500);
  /// Time without an ack after which the probe is retried, directly and through
  /// other daemons.
  Duration ackTimeout = std::chrono::milliseconds(200);
  /// Time without an ack after which the daemon is suspected. It allows several
  /// retries: with 20% loss, a single retry gave 50 false suspicions per second
  /// among 138 daemons, and the resulting updates used up the byte budget.
  Duration probeTimeout = std::chrono::seconds(1);
  uint32_t indirectProbes = 3;
  /// Pending updates are sent to updateFanout daemons in each interval.
  Duration updateInterval = std::chrono::milliseconds(100);
  uint32_t updateFanout = 2;
  Duration minSuspicion = std::chrono::seconds(3);
  Duration syncInterval = std::chrono::seconds(5);
  /// Interval between attempts to reach a dead daemon or an unknown seed.
  Duration deadRetryInterval = std::chrono::seconds(2);
  /// How long dead daemons are kept. Longer than the longest expected partition
  /// (one hour).
  Duration deadRetention = std::chrono::hours(6);
  /// Budget for sent bytes, including headers. Together with the burst it stays
  /// below 10 KB/s over 10 s. Probes and acks are always sent. Without budget,
  /// updates are delayed and received full-state exchange requests are dropped.
  double bytesPerSecond = 8500;
  double burstBytes = 9000;
};

/// An outgoing datagram.
struct Datagram
{
  /// Address "ip:port".
  std::string destination;
  std::string bytes;
};

/// Not thread-safe: must be used on the control thread only. Copies are
/// independent.
class Swim
{
public:
  /// aSelf.generation is the Unix time of the process start in milliseconds.
  /// aSeeds holds gossip addresses and may include this daemon's address.
  Swim(SwimConfig aConfig,
       Member aSelf,
       std::vector<std::string> aSeeds,
       TimePoint aNow);

  /// Runs the timers. Must be called at least once per updateInterval.
  std::vector<Datagram> Tick(TimePoint aNow, Rng& aRng);

  /// Handles a datagram received from address aFrom and returns the responses.
  /// Malformed datagrams are counted and otherwise ignored.
  std::vector<Datagram> HandleMessage(std::string_view aFrom,
                                      std::string_view aMessage,
                                      TimePoint aNow);

  /// Adds a member that was read from another source, such as the table
  /// service. It is not propagated as an update.
  void AddMember(const Member& aMember, TimePoint aNow);
  /// Announces the local target.
  void SetTarget(std::optional<std::string> aService,
                 uint32_t aSlots,
                 bool aCold);
  /// Announces that this daemon accepts no new requests.
  void StartDraining();
  /// Announces that this daemon accepts requests again, after a target that
  /// left was replaced.
  void StopDraining();
  /// Announces that this daemon leaves; aSuccessor took over its order tickets.
  /// Tick must be called for about another second to propagate the update.
  void Leave(std::optional<DaemonId> aSuccessor);
  /// Propagates aConfig if its version is higher than the highest known one.
  void AnnounceConfig(const ConfigVersion& aConfig);
  /// Holds and propagates an entry until it expires. The entry is ignored if
  /// kMaxQuarantine entries are held or if its body is empty or longer than
  /// kMaxQuarantineBytes.
  void AddQuarantine(const QuarantineEntry& aEntry);

  const Member& Self() const { return m_self; }
  /// Returns all known daemons including dead ones; this daemon comes first.
  std::vector<Member> Members() const;
  /// Returns the highest known configuration version.
  const ConfigVersion& HighestConfig() const { return m_configVersion; }
  std::vector<QuarantineEntry> Quarantine(TimePoint aNow) const;
  /// Increases with each change of Members() or HighestConfig(), and with each
  /// quarantine entry that is added.
  uint64_t Revision() const { return m_revision; }
  /// Returns true once a later process with the same name is known. This daemon
  /// then sends nothing more and must stop.
  bool IsSuperseded() const { return m_superseded; }
  uint64_t MalformedCount() const { return m_malformed; }

private:
  struct Probe
  {
    DaemonId target;
    uint32_t sequence = 0;
    TimePoint retryAt;
    TimePoint deadline;
  };
  struct RelayedPing
  {
    std::string to;
    uint32_t sequence = 0;
    TimePoint expiresAt;
  };
  struct SyncSession
  {
    std::string to;
    std::string cursor;
    bool quarantineSent = false;
  };

  void HandlePause(TimePoint aNow);
  void RunProbe(TimePoint aNow, Rng& aRng);
  void StartProbe(TimePoint aNow, Rng& aRng);
  void SendPing(const Member& aTarget, TimePoint aNow);
  void RetryProbe(TimePoint aNow, Rng& aRng);
  void FailProbe(TimePoint aNow);
  void ExpireSuspects(TimePoint aNow);
  void SendUpdates(TimePoint aNow, Rng& aRng);
  void StartSync(TimePoint aNow, Rng& aRng);
  void ContactUnreachable(TimePoint aNow, Rng& aRng);
  void SendSyncChunks(TimePoint aNow);
  bool FillSyncChunk(SyncSession& aSession,
                     gossip::Envelope& aChunk,
                     TimePoint aNow);
  const std::string& NextProbeTarget(Rng& aRng);

  void HandleEnvelope(const std::string& aFrom,
                      const gossip::Envelope& aEnvelope,
                      TimePoint aNow);
  void Merge(const gossip::Envelope& aEnvelope, TimePoint aNow);
  void MergeLocalRecord(const Member& aMember, TimePoint aNow);
  void HandlePing(const std::string& aFrom,
                  const gossip::Envelope& aPing,
                  TimePoint aNow);
  void HandlePingReq(const std::string& aFrom,
                     const gossip::Envelope& aRequest,
                     TimePoint aNow);
  void HandleAck(const gossip::Envelope& aAck, TimePoint aNow);
  void HandleSync(const std::string& aFrom,
                  const gossip::Envelope& aSync,
                  TimePoint aNow);

  void Apply(const Member& aMember, TimePoint aNow);
  void AnnounceSelf();
  void StoreQuarantine(const QuarantineEntry& aEntry);
  gossip::Envelope MakeEnvelope(int aKind) const;
  void AddRefutableRecord(gossip::Envelope& aEnvelope,
                          const DaemonId& aId) const;
  void AddRecentDrains(gossip::Envelope& aEnvelope, TimePoint aNow);
  void AddPendingUpdates(gossip::Envelope& aEnvelope, TimePoint aNow);
  void QueueDatagram(const std::string& aTo, const gossip::Envelope& aEnvelope);
  uint64_t StateHash() const;
  uint32_t LogMemberCount() const;

  SwimConfig m_config;
  Member m_self;
  std::vector<std::string> m_seeds;
  internal::MemberTable m_table;
  internal::UpdateQueue m_updates;
  /// Daemons that recently started draining or left, and until when probes and
  /// acks repeat their records.
  std::map<std::string, TimePoint> m_drainRetransmits;
  std::map<uint64_t, QuarantineEntry> m_quarantine;
  ConfigVersion m_configVersion;
  std::optional<Probe> m_probe;
  std::map<uint32_t, RelayedPing> m_relayedPings;
  std::vector<SyncSession> m_syncSessions;
  std::vector<std::string> m_probeOrder;
  std::vector<Datagram> m_outgoing;
  TimePoint m_startedAt;
  TimePoint m_lastTick;
  TimePoint m_nextProbe;
  TimePoint m_nextUpdates;
  TimePoint m_nextSync;
  TimePoint m_nextRetry;
  double m_byteBudget;
  uint32_t m_sequence = 0;
  uint64_t m_revision = 0;
  uint64_t m_malformed = 0;
  bool m_superseded = false;
};

/// Maximum number of quarantine entries.
inline constexpr size_t kMaxQuarantine = 256;

} // namespace wagtailbend::membership
