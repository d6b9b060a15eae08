// Interface of the daemon to PeerLink and PeerServer.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wagtailbend/exchange/attempt.h"
#include "wagtailbend/mesh/frame_traffic.h"
#include "wagtailbend/mesh/member.h"
#include "wagtailbend/quarantine/quarantine_list.h"
#include "wagtailbend/routes/route_table.h"

namespace wagtailbend::mesh {

/// Implemented by the daemon. All methods are called on the traffic thread.
class NodeContext
{
public:
  virtual ~NodeContext() = default;

  virtual const Member& Self() const = 0;
  /// Returns all known peers, without this daemon.
  virtual std::vector<Member> Members() const = 0;
  /// Returns the current configuration, or nullptr until one is known.
  virtual const routes::RouteConfig* Config() const = 0;
  /// Returns the load of the local target.
  virtual exchange::LoadReport LocalReport() = 0;

  /// Returns the counts of frames sent to peers; outlives all connections.
  virtual FrameTraffic& Traffic() = 0;

  virtual void OnMember(const Member& aMember) = 0;
  virtual void OnReport(const std::string& aAddress,
                        const exchange::LoadReport& aReport) = 0;
  virtual void OnConfig(const routes::RouteConfig& aConfig) = 0;
  /// Called when a member has a newer configuration. Returns true if it should
  /// be requested from that member now. A configuration is large, and most
  /// daemons read it from the store.
  virtual bool ShouldRequestConfig(uint64_t aVersion,
                                   const std::string& aAddress) = 0;
  /// Returns the crash suspects that changed after aSince.
  virtual std::vector<quarantine::SuspectEntry> CrashSuspectsSince(
    TimePoint aSince) const = 0;
  /// Returns the crash suspects in which a list with these digests may differ.
  virtual std::vector<quarantine::SuspectEntry> CrashSuspectsDiffering(
    const quarantine::ListDigests& aDigests) const = 0;
  /// Returns a digest of the crash suspects; never 0.
  virtual uint64_t SuspectsDigest() const = 0;
  virtual void OnCrashSuspects(
    const std::vector<quarantine::SuspectEntry>& aSuspects) = 0;
  /// The member's daemon started to run a request of its own clients at its
  /// target.
  virtual void OnRunNotice(const std::string& aAddress,
                           uint64_t aFingerprint) = 0;
  /// The member's process ended, or was replaced by another one, while these
  /// requests were at its target.
  virtual void OnPeerEnded(const std::string& aAddress,
                           const std::vector<uint64_t>& aFingerprints) = 0;
  /// Called when a link to a member comes up (aReason is empty) or goes down.
  virtual void OnLinkStateChange(const std::string& aAddress,
                                 std::string_view aReason) = 0;
};

/// Returns the version of the current configuration, or 0 if there is none.
/// Must be used on the traffic thread only.
inline uint64_t
ConfigVersionOf(const NodeContext& aContext)
{
  const routes::RouteConfig* config = aContext.Config();
  return config == nullptr ? 0 : config->version;
}

} // namespace wagtailbend::mesh
