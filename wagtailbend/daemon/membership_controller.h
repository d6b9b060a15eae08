// Runs the membership of the failure domain on the control thread: gossip over
// UDP, the daemon's own record and the rows of the table service.
//
//   MembershipController membership(control, blockingPool, options, hooks);
//   if (auto error = membership.Start()) { ... }
//   for (const membership::Member& member : membership.Members()) { ... }

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>
#include <asio/thread_pool.hpp>

#include "wagtailbend/membership/swim.h"
#include "wagtailbend/membership/udp_transport.h"
#include "wagtailbend/store/platform.h"

namespace wagtailbend::daemon {

struct MembershipOptions
{
  /// Record of this daemon; generation and addresses are set.
  membership::Member self;
  std::vector<std::string> seeds;
  /// Null: no table service.
  std::shared_ptr<store::Platform> platform;
};

/// Called on the control thread.
struct MembershipHooks
{
  /// Members, configuration version or quarantine entries changed.
  std::function<void()> changed;
  /// The daemon at the peer address told a version above the one in force.
  std::function<void(const std::string&, uint64_t)> versionHeard;
  /// A later process with this daemon's name exists.
  std::function<void()> superseded;
};

/// What this daemon tells about its target.
struct TargetState
{
  std::optional<std::string> service;
  uint32_t slots = 0;
  bool cold = false;
  /// The target or the daemon is leaving.
  bool draining = false;

  bool operator==(const TargetState&) const = default;
};

/// Not thread-safe: owned by the control thread, except for Start.
class MembershipController
{
public:
  MembershipController(asio::io_context& aControl,
                       asio::thread_pool& aBlockingPool,
                       MembershipOptions aOptions,
                       MembershipHooks aHooks);

  /// Binds the gossip address and starts the timer. Called before the control
  /// thread runs.
  std::optional<Error> Start();

  /// Announces a change of the target or of the daemon's drain state.
  void SetTarget(const TargetState& aTarget);
  /// Announces the end of this daemon and deletes its row.
  void Leave(std::optional<DaemonId> aSuccessor);
  /// Announces the configuration in force.
  void AnnounceConfig(const membership::ConfigVersion& aConfig);
  void AddQuarantine(const membership::QuarantineEntry& aEntry);

  const membership::Member& Self() const { return m_swim.Self(); }
  /// All known daemons of the failure domain, this one first.
  const std::vector<membership::Member>& Members() const { return m_members; }
  const membership::ConfigVersion& HighestConfig() const
  {
    return m_swim.HighestConfig();
  }
  std::vector<membership::QuarantineEntry> Quarantine(TimePoint aNow) const
  {
    return m_swim.Quarantine(aNow);
  }
  /// Returns true if this daemon is one of the aCount daemons that rendezvous
  /// hashing selects for aTask among the live, not draining members.
  bool IsSelected(const std::string& aTask, size_t aCount) const;

  /// Peer addresses of daemons of another failure domain, found through seeds,
  /// rows of the table service and AddStranger.
  std::vector<std::string> Strangers(const std::string& aFailureDomain) const;
  void AddStranger(const std::string& aFailureDomain,
                   const std::string& aPeerAddress);
  /// Reads the rows of aFailureDomain on the blocking pool; at most one read of
  /// a failure domain at a time.
  void ReadRows(const std::string& aFailureDomain);
  /// Failure domains with a fresh summary: seeds there are left in peace.
  void SetKnownDomains(std::set<std::string> aDomains)
  {
    m_knownDomains = std::move(aDomains);
  }

private:
  void Tick();
  void Receive(std::string_view aFrom, std::string_view aBytes);
  void Inspect(std::string_view aFrom, std::string_view aBytes);
  void Send(const std::vector<membership::Datagram>& aDatagrams);
  void NoteChanges();
  void LogMembers(const std::vector<membership::Member>& aBefore) const;
  void RefreshRow(TimePoint aNow);
  void WriteRow(std::optional<std::string> aValue);
  std::string PeerAddressOf(const DaemonId& aId) const;

  asio::io_context& m_control;
  asio::thread_pool& m_blockingPool;
  std::shared_ptr<store::Platform> m_platform;
  MembershipHooks m_hooks;
  membership::Swim m_swim;
  Rng m_rng;
  std::unique_ptr<membership::UdpTransport> m_transport;
  asio::steady_timer m_timer;
  std::vector<membership::Member> m_members;
  uint64_t m_revision = 0;
  uint64_t m_versionInForce = 0;
  TargetState m_target;
  // Peer addresses by failure domain, newest last.
  std::map<std::string, std::vector<std::string>> m_strangers;
  // Failure domain of gossip addresses outside the own one.
  std::map<std::string, std::string, std::less<>> m_foreignGossip;
  std::set<std::string> m_knownDomains;
  std::set<std::string> m_reading;
  TimePoint m_nextRow;
  bool m_rowWritten = false;
  bool m_writing = false;
  bool m_leaving = false;
};

} // namespace wagtailbend::daemon
