// SWIM membership of the daemons of one failure domain: probes, suspicion,
// refutation, piggybacked news and full-state exchange. Does no I/O.
//
//   Swim swim(SwimConfig{}, self, seeds, now);
//   for (const Datagram& datagram : swim.Tick(now, rng)) { Send(datagram); }
//   for (const Datagram& reply : swim.HandleMessage(from, bytes, now)) { ... }

#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailbend/base/rng.h"
#include "wagtailbend/base/time.h"
#include "wagtailbend/membership/internal/member_table.h"
#include "wagtailbend/membership/internal/news_queue.h"
#include "wagtailbend/membership/member.h"

namespace wagtailbend::gossip {
class Envelope;
}

namespace wagtailbend::membership {

struct SwimConfig
{
  /// One probe per period; the suspicion timeout grows with it.
  Duration probePeriod = std::chrono::milliseconds(500);
  /// Silence after which the probe is repeated, also through other daemons.
  Duration ackTimeout = std::chrono::milliseconds(200);
  /// Silence after which the daemon is suspected. With 20% loss a single repeat
  /// gave 50 false suspicions a second among 138 daemons, and their news filled
  /// the byte budget.
  Duration probeTimeout = std::chrono::seconds(1);
  uint32_t indirectProbes = 3;
  /// While there is news, it is sent to this many daemons per interval.
  Duration newsInterval = std::chrono::milliseconds(100);
  uint32_t newsFanout = 2;
  Duration minSuspicion = std::chrono::seconds(3);
  Duration syncInterval = std::chrono::seconds(5);
  /// Interval of attempts to reach a dead daemon or an unknown seed.
  Duration deadRetryInterval = std::chrono::seconds(2);
  /// Longer than the longest expected partition (an hour).
  Duration deadRetention = std::chrono::hours(6);
  /// Budget of sent bytes, headers included; together with the burst it stays
  /// below 10 KB/s over 10 s. Probes and acks are always sent; updates wait for
  /// budget, and requests of a full-state exchange are dropped without it.
  double bytesPerSecond = 8500;
  double burstBytes = 9000;
};

/// A datagram to be sent.
struct Datagram
{
  /// Address "ip:port".
  std::string to;
  std::string bytes;
};

/// Not thread-safe: runs on the control thread. Copies are independent.
class Swim
{
public:
  /// aSelf.generation is the Unix time of the process start in milliseconds.
  /// aSeeds are gossip addresses; they may contain the daemon's own.
  Swim(SwimConfig aConfig,
       Member aSelf,
       std::vector<std::string> aSeeds,
       TimePoint aNow);

  /// Runs the timers. Call at least each newsInterval.
  std::vector<Datagram> Tick(TimePoint aNow, Rng& aRng);

  /// Handles a datagram that arrived from address aFrom and returns replies.
  /// Malformed datagrams are counted and have no other effect.
  std::vector<Datagram> HandleMessage(std::string_view aFrom,
                                      std::string_view aMessage,
                                      TimePoint aNow);

  /// Adds a member read from another source, for instance the table service.
  void Learn(const Member& aMember, TimePoint aNow);
  /// Announces the local target.
  void SetTarget(std::optional<std::string> aService,
                 uint32_t aSlots,
                 bool aCold);
  /// Announces that this daemon takes no new work.
  void StartDraining();
  /// Announces that this daemon takes work again, after a target that left was
  /// replaced.
  void StopDraining();
  /// Announces the end of this daemon; aSuccessor took over its order tickets.
  /// Keep calling Tick for about a second so that the news spreads.
  void Leave(std::optional<DaemonId> aSuccessor);
  /// Spreads aConfig if it is higher than the highest known version.
  void OfferConfig(const ConfigVersion& aConfig);
  /// Spreads an entry until it expires. Entries beyond kMaxQuarantine and
  /// bodies beyond kMaxQuarantineBytes are ignored.
  void AddQuarantine(const QuarantineEntry& aEntry);

  const Member& Self() const { return m_self; }
  /// All known daemons, this one first, dead ones included.
  std::vector<Member> Members() const;
  /// The highest configuration version heard of.
  const ConfigVersion& HighestConfig() const { return m_configVersion; }
  std::vector<QuarantineEntry> Quarantine(TimePoint aNow) const;
  /// Increases with each change of Members(), HighestConfig() or Quarantine().
  uint64_t Revision() const { return m_revision; }
  /// True once a later process with the same name exists; this daemon then
  /// sends nothing more and has to stop.
  bool IsSuperseded() const { return m_superseded; }
  uint64_t MalformedCount() const { return m_malformed; }

private:
  struct Probe
  {
    DaemonId target;
    uint32_t sequence = 0;
    TimePoint repeatAt;
    TimePoint endBy;
  };
  struct Relay
  {
    std::string to;
    uint32_t sequence = 0;
    TimePoint expiresAt;
  };
  struct Session
  {
    std::string to;
    std::string cursor;
    bool quarantineSent = false;
  };

  void AbsorbStall(TimePoint aNow);
  void RunProbe(TimePoint aNow, Rng& aRng);
  void StartProbe(TimePoint aNow, Rng& aRng);
  void SendPing(const Member& aTarget, TimePoint aNow);
  void RepeatProbe(TimePoint aNow, Rng& aRng);
  void FailProbe(TimePoint aNow);
  void ExpireSuspects(TimePoint aNow);
  void SendNews(TimePoint aNow, Rng& aRng);
  void StartSync(TimePoint aNow, Rng& aRng);
  void RetryDead(TimePoint aNow, Rng& aRng);
  void SendPieces(TimePoint aNow);
  bool FillPiece(Session& aSession, gossip::Envelope& aPiece, TimePoint aNow);
  const std::string& NextProbeTarget(Rng& aRng);

  void HandleEnvelope(const std::string& aFrom,
                      const gossip::Envelope& aEnvelope,
                      TimePoint aNow);
  void Merge(const gossip::Envelope& aEnvelope, TimePoint aNow);
  void MergeOwn(const Member& aMember, TimePoint aNow);
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
  void AddSubject(gossip::Envelope& aEnvelope, const DaemonId& aId) const;
  void AddRecentDrains(gossip::Envelope& aEnvelope, TimePoint aNow);
  void Fill(gossip::Envelope& aEnvelope, TimePoint aNow);
  void Emit(const std::string& aTo, const gossip::Envelope& aEnvelope);
  uint64_t StateHash() const;
  uint32_t LogSize() const;

  SwimConfig m_config;
  Member m_self;
  std::vector<std::string> m_seeds;
  internal::MemberTable m_table;
  internal::NewsQueue m_news;
  /// Daemons whose drain was learned of lately, and until when to repeat it.
  std::map<std::string, TimePoint> m_recentDrains;
  std::map<uint64_t, QuarantineEntry> m_quarantine;
  ConfigVersion m_configVersion;
  std::optional<Probe> m_probe;
  std::map<uint32_t, Relay> m_relays;
  std::vector<Session> m_sessions;
  std::vector<std::string> m_probeOrder;
  std::vector<Datagram> m_out;
  TimePoint m_startedAt;
  TimePoint m_lastTick;
  TimePoint m_nextProbe;
  TimePoint m_nextNews;
  TimePoint m_nextSync;
  TimePoint m_nextRetry;
  double m_tokens;
  uint32_t m_sequence = 0;
  uint64_t m_revision = 0;
  uint64_t m_malformed = 0;
  bool m_superseded = false;
};

/// Largest number of quarantine entries kept.
inline constexpr size_t kMaxQuarantine = 256;

} // namespace wagtailbend::membership
