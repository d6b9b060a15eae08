// Decides when a daemon reads the head, fetches a body and activates a
// configuration. It performs no I/O: each input returns the actions that the
// caller must execute; the caller reports their results as further inputs.
//
//   ConfigController controller({}, rng());
//   for (const Action& action : controller.OnTick(now)) {
//     std::visit(executor, action);
//   }

#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "wagtailbend/base/rng.h"
#include "wagtailbend/base/time.h"
#include "wagtailbend/config/config_store.h"
#include "wagtailbend/schema/schema.h"

namespace wagtailbend::config {

struct ControllerOptions
{
  Duration pollInterval = std::chrono::seconds(1);
  /// A poll or fetch without a result after this time is treated as failed.
  Duration requestTimeout = std::chrono::seconds(2);
  /// Exponential backoff after failed polls and fetches. Jitter shortens each
  /// delay by up to half, so that daemons do not retry at the same time.
  Duration initialBackoff = std::chrono::milliseconds(200);
  Duration maxBackoff = std::chrono::seconds(2);

  bool operator==(const ControllerOptions&) const = default;
};

/// A verified configuration with its parsed schema. Immutable, so that threads
/// can share it.
struct ActiveConfig
{
  ConfigVersion version;
  std::string body;
  schema::Schema schema;
};

/// Read the row config/head. Report the result with OnHead or OnPollFailed.
struct PollHead
{
  bool operator==(const PollHead&) const = default;
};

/// Fetch the configuration from a peer. Report the result with OnBody or
/// OnFetchFailed.
struct FetchFromPeer
{
  std::string peer;
  uint64_t atLeastVersion = 0;

  bool operator==(const FetchFromPeer&) const = default;
};

/// Fetch the body object from the platform. Report the result with OnBody or
/// OnFetchFailed.
struct FetchFromPlatform
{
  ConfigVersion version;

  bool operator==(const FetchFromPlatform&) const = default;
};

/// Publish the configuration to the traffic threads.
struct ActivateConfig
{
  std::shared_ptr<const ActiveConfig> config;

  bool operator==(const ActivateConfig&) const = default;
};

using Action =
  std::variant<PollHead, FetchFromPeer, FetchFromPlatform, ActivateConfig>;
using Actions = std::vector<Action>;

/// Must be used on the control thread only.
class ConfigController
{
public:
  ConfigController(const ControllerOptions& aOptions, uint64_t aSeed);

  /// Call at least every 100 ms.
  Actions OnTick(TimePoint aNow);
  /// Sets whether membership selected this daemon as a poller of its failure
  /// domain.
  Actions OnPollerSelection(bool aIsPoller, TimePoint aNow);
  /// Reports the result of PollHead. nullopt: no configuration was accepted
  /// yet.
  Actions OnHead(const std::optional<ConfigVersion>& aHead, TimePoint aNow);
  Actions OnPollFailed(TimePoint aNow);
  /// Reports a version that a peer announced by gossip.
  Actions OnPeerVersion(const std::string& aPeer,
                        uint64_t aVersion,
                        TimePoint aNow);
  /// Reports a body that was fetched, or pushed by an operator. It is activated
  /// only if its version is higher than the active one, its digest matches and
  /// it contains a valid schema.
  Actions OnBody(const ConfigVersion& aVersion,
                 const std::string& aBody,
                 TimePoint aNow);
  Actions OnFetchFailed(TimePoint aNow);

  /// Returns the active configuration, or nullptr. The daemon must not handle
  /// traffic before there is one.
  std::shared_ptr<const ActiveConfig> Active() const { return m_active; }
  /// Returns the active version, or 0 if there is none.
  uint64_t Version() const;
  /// Returns why the last body was rejected, or "" if it was activated.
  const std::string& LastRejection() const { return m_lastRejection; }

private:
  // Timeout and backoff state of the polls or the fetches; at most one of each
  // is in flight.
  struct RequestState
  {
    bool inFlight = false;
    TimePoint deadline{};
    TimePoint next{};
    uint32_t failures = 0;
  };

  void MarkStarted(RequestState& aRequest, TimePoint aNow) const;
  void MarkFailed(RequestState& aRequest, TimePoint aNow);
  void MarkFetchFailed(TimePoint aNow);
  bool ShouldPollHead() const;
  bool IsHeadNewer() const;
  std::optional<Action> ChooseFetch();
  std::string FindRejectionReason(const ConfigVersion& aVersion,
                                  const std::string& aBody) const;

  ControllerOptions m_options;
  Rng m_rng;
  bool m_isPoller = false;
  std::shared_ptr<const ActiveConfig> m_active;
  std::optional<ConfigVersion> m_head;
  // Latest version announced by each peer that is above the active one.
  std::map<std::string, uint64_t> m_peerVersions;
  std::string m_fetchPeer;
  RequestState m_poll;
  RequestState m_fetch;
  std::string m_lastRejection;
};

} // namespace wagtailbend::config
