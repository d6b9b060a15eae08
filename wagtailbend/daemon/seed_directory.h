// The peers of the settings' seed list and what their targets run.
// Replaceable: it stands in until the membership module provides peers.
//
//   SeedDirectory directory(seeds);
//   directory.Update(seed, FetchSelf(seed, timeout));
//   for (const PeerState& peer : directory.Peers()) { ... }

#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "wagtailbend/base/ids.h"

namespace wagtailbend::daemon {

/// What a daemon says about itself at /v1/internal/self.
struct PeerState
{
  DaemonId daemon;
  std::string failureDomain;
  std::string peerAddress;
  /// Service of its target; "" if it has none that takes work.
  std::string service;

  bool operator==(const PeerState&) const = default;
};

/// Fetches the state of the daemon whose `http` address is aSeed. Blocks up to
/// about aTimeoutMs. Returns nullopt on any failure. Thread-safe.
std::optional<PeerState>
FetchSelf(const std::string& aSeed, int aTimeoutMs);

/// Returns the JSON document that FetchSelf reads. Thread-safe.
std::string
SelfDocument(const PeerState& aState);

/// Not thread-safe: owned by the control thread.
class SeedDirectory
{
public:
  /// Takes the result of one fetch. A peer is dropped after the second failed
  /// fetch in a row. Returns true if the routing view changes.
  bool Update(const std::string& aSeed, std::optional<PeerState> aState);
  /// Drops the target of the peer at aPeerAddress until its next successful
  /// fetch. Returns true if the routing view changes.
  bool Refused(const std::string& aPeerAddress);

  std::vector<PeerState> Peers() const;

private:
  struct Entry
  {
    std::optional<PeerState> state;
    int failures = 0;
  };

  std::map<std::string, Entry> m_entries;
};

} // namespace wagtailbend::daemon
