// Reads the operators' configuration from the store and watches its changes.
//
//   ConfigWatcher watcher(platform, source, onConfig, onStoreState);
//   watcher.Start();

#pragma once

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "wagtailbend/base/result.h"
#include "wagtailbend/routes/route_table.h"
#include "wagtailbend/store/platform.h"

namespace wagtailbend::node {

/// Location of the configuration in the store and its decoder.
struct ConfigSource
{
  std::string table;
  std::string key;
  std::function<Result<routes::RouteConfig>(const std::string&)> decode;
};

/// Waits for changes on a dedicated thread. The platform must outlive it.
class ConfigWatcher
{
public:
  using OnConfig = std::function<void(const routes::RouteConfig&)>;
  using OnStoreStateChange = std::function<void(bool aLost)>;
  using OnGeneration = std::function<void(uint64_t aGeneration)>;

  /// The callbacks run on the watcher's thread. aOnConfig is called for older
  /// versions too, aOnStoreStateChange when the store becomes unreachable or
  /// reachable again, aOnGeneration when a response shows that the store is of
  /// another generation, and after the first response.
  ConfigWatcher(store::Platform& aPlatform,
                ConfigSource aSource,
                OnConfig aOnConfig,
                OnStoreStateChange aOnStoreStateChange,
                OnGeneration aOnGeneration);
  ~ConfigWatcher();
  ConfigWatcher(const ConfigWatcher&) = delete;
  ConfigWatcher& operator=(const ConfigWatcher&) = delete;

  void Start();
  /// Call Platform::Interrupt first to end a pending call.
  void Stop();
  /// Starts watching the store, or stops once the pending call has returned.
  /// Watching is on initially. Thread-safe.
  void SetWatching(bool aWatching);

private:
  void Run();
  /// Applies the changes after aSnapshot until a call fails, the store was
  /// restored or watching ends. Returns true if a delay is needed before the
  /// table is read again, that is, after any failure except a lost history.
  bool WatchFeed(const store::TableSnapshot& aSnapshot);
  void ApplyRow(const std::string& aKey, const std::string& aValue);
  /// Returns false if the watcher stops.
  bool WaitUnlessStopping(Duration aDuration);
  bool IsWatching();
  /// Returns false if the watcher stops.
  bool WaitUntilWatching();
  void UpdateStoreState(const Error* aStoreError);
  void UpdateGeneration();

  store::Platform& m_platform;
  const ConfigSource m_source;
  const OnConfig m_onConfig;
  const OnStoreStateChange m_onStoreStateChange;
  const OnGeneration m_onGeneration;
  std::mutex m_mutex;
  std::condition_variable m_wakeup;
  bool m_stopping = false;
  bool m_watching = true;
  bool m_storeLost = false;
  /// Newest known generation of the store; empty before the first response.
  std::optional<uint64_t> m_generation;
  std::thread m_thread;
};

} // namespace wagtailbend::node
