// What links and listener of the mesh ask of the daemon and tell it.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "wagtailbend/exchange/attempt.h"
#include "wagtailbend/mesh/member.h"
#include "wagtailbend/routes/route_table.h"

namespace wagtailbend::mesh {

/// A request that was running when a target died.
struct CrashSuspect
{
  uint64_t fingerprint = 0;
  /// Random number of the loss.
  uint64_t loss = 0;

  bool operator==(const CrashSuspect&) const = default;
};

/// All methods are called on the traffic thread.
class NodeContext
{
public:
  virtual ~NodeContext() = default;

  virtual const Member& Self() const = 0;
  /// Every known member but the own one.
  virtual std::vector<Member> Members() const = 0;
  /// Returns nullptr until a configuration is known.
  virtual const routes::RouteConfig* Config() const = 0;
  /// Load of the own target.
  virtual exchange::LoadReport OwnReport() = 0;

  virtual void OnMember(const Member& aMember) = 0;
  virtual void OnReport(const std::string& aAddress,
                        const exchange::LoadReport& aReport) = 0;
  virtual void OnConfig(const routes::RouteConfig& aConfig) = 0;
  /// A member has a newer configuration. Returns true if it is to be asked for
  /// it now: a configuration is large, and most daemons get it from the store.
  virtual bool MayAskForConfig(uint64_t aVersion,
                               const std::string& aAddress) = 0;
  virtual void OnSuspects(const std::vector<CrashSuspect>& aSuspects) = 0;
  /// A link to a member came up or went down. aReason is empty if it came up.
  virtual void OnLink(const std::string& aAddress,
                      std::string_view aReason) = 0;
};

/// Returns the version of aContext's configuration, or 0. Thread: traffic.
inline uint64_t
ConfigVersionOf(const NodeContext& aContext)
{
  const routes::RouteConfig* config = aContext.Config();
  return config == nullptr ? 0 : config->version;
}

} // namespace wagtailbend::mesh
