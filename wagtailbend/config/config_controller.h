// Decides when a daemon reads the head, fetches a body and puts a
// configuration in force. It does no I/O: each input returns the actions that
// the caller must carry out, and their results come back as further inputs.
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
  /// A poll or fetch without a result after this time counts as failed.
  Duration requestTimeout = std::chrono::seconds(2);
  /// Retries of failed polls and fetches double from the first to the last
  /// delay, each reduced by up to half at random so that daemons spread out.
  Duration firstBackoff = std::chrono::milliseconds(200);
  Duration lastBackoff = std::chrono::seconds(2);

  bool operator==(const ControllerOptions&) const = default;
};

/// A verified configuration. Immutable and safe to share between threads.
struct ConfigInForce
{
  ConfigVersion version;
  std::string body;
  schema::Schema schema;
};

/// Read config/head; answer with OnHead or OnPollFailed.
struct PollHead
{
  bool operator==(const PollHead&) const = default;
};

/// Fetch the peer's configuration; answer with OnBody or OnFetchFailed.
struct FetchFromPeer
{
  std::string peer;
  uint64_t atLeastVersion = 0;

  bool operator==(const FetchFromPeer&) const = default;
};

/// Fetch the body object; answer with OnBody or OnFetchFailed.
struct FetchFromPlatform
{
  ConfigVersion version;

  bool operator==(const FetchFromPlatform&) const = default;
};

/// Publish the configuration to the traffic threads.
struct PutInForce
{
  std::shared_ptr<const ConfigInForce> config;

  bool operator==(const PutInForce&) const = default;
};

using Action =
  std::variant<PollHead, FetchFromPeer, FetchFromPlatform, PutInForce>;
using Actions = std::vector<Action>;

/// Not thread-safe: owned by the control thread.
class ConfigController
{
public:
  ConfigController(const ControllerOptions& aOptions, uint64_t aSeed);

  /// Call at least every 100 ms.
  Actions OnTick(TimePoint aNow);
  /// Whether membership selected this daemon as a poller of its domain.
  Actions OnSelected(bool aIsPoller, TimePoint aNow);
  /// Result of PollHead; nullopt: no configuration was ever accepted.
  Actions OnHead(const std::optional<ConfigVersion>& aHead, TimePoint aNow);
  Actions OnPollFailed(TimePoint aNow);
  /// A peer reports its version by gossip.
  Actions OnVersionHeard(const std::string& aPeer,
                         uint64_t aVersion,
                         TimePoint aNow);
  /// A body from a fetch, or pushed by an operator. It is put in force only
  /// if its version is higher, its digest matches and it holds a schema.
  Actions OnBody(const ConfigVersion& aVersion,
                 const std::string& aBody,
                 TimePoint aNow);
  Actions OnFetchFailed(TimePoint aNow);

  /// Returns the configuration in force, or nullptr. No traffic before that.
  std::shared_ptr<const ConfigInForce> InForce() const { return m_inForce; }
  /// Returns the version in force, or 0.
  uint64_t Version() const;
  /// Returns why the last body was rejected, or "".
  const std::string& LastRejection() const { return m_lastRejection; }

private:
  // Pacing of one kind of request.
  struct Request
  {
    bool inFlight = false;
    TimePoint timeout{};
    TimePoint next{};
    uint32_t failures = 0;
  };

  void Start(Request& aRequest, TimePoint aNow) const;
  void Fail(Request& aRequest, TimePoint aNow);
  void FailFetch(TimePoint aNow);
  bool NeedsPoll() const;
  bool IsHeadNewer() const;
  std::optional<Action> NextFetch();
  std::string Reject(const ConfigVersion& aVersion,
                     const std::string& aBody) const;

  ControllerOptions m_options;
  Rng m_rng;
  bool m_isPoller = false;
  std::shared_ptr<const ConfigInForce> m_inForce;
  std::optional<ConfigVersion> m_head;
  // Highest version heard from each peer, only while above the one in force.
  std::map<std::string, uint64_t> m_peers;
  std::string m_fetchPeer;
  Request m_poll;
  Request m_fetch;
  std::string m_lastRejection;
};

} // namespace wagtailbend::config
