#include "wagtailbend/node/config_watcher.h"

#include <algorithm>
#include <utility>

#include "wagtailbend/observability/event_log.h"

namespace wagtailbend::node {
namespace {

// Time that one call waits for a change. Long, because each call is billed.
// Probes detect a dead connection, and peers report a missed change.
constexpr Duration kChangeWait = std::chrono::seconds(25);
// The first call after a read is short, since a daemon that starts does not
// know yet whether enough peers watch the store.
constexpr Duration kFirstChangeWait = std::chrono::seconds(2);
constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(1200);

} // namespace

ConfigWatcher::ConfigWatcher(store::Platform& aPlatform,
                             ConfigSource aSource,
                             OnConfig aOnConfig,
                             OnStoreStateChange aOnStoreStateChange,
                             OnGeneration aOnGeneration)
  : m_platform(aPlatform)
  , m_source(std::move(aSource))
  , m_onConfig(std::move(aOnConfig))
  , m_onStoreStateChange(std::move(aOnStoreStateChange))
  , m_onGeneration(std::move(aOnGeneration))
{
}

ConfigWatcher::~ConfigWatcher()
{
  Stop();
}

void
ConfigWatcher::Start()
{
  m_thread = std::thread([this] { Run(); });
}

void
ConfigWatcher::Stop()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_wakeup.notify_all();
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

void
ConfigWatcher::SetWatching(bool aWatching)
{
  {
    const std::lock_guard lock(m_mutex);
    m_watching = aWatching;
  }
  m_wakeup.notify_all();
}

bool
ConfigWatcher::IsWatching()
{
  const std::lock_guard lock(m_mutex);
  return m_watching;
}

bool
ConfigWatcher::WaitUntilWatching()
{
  if (IsWatching()) {
    return WaitUnlessStopping(Duration{});
  }
  // Without calls the state of the store is unknown, so clear the lost state.
  if (std::exchange(m_storeLost, false)) {
    m_onStoreStateChange(false);
  }
  std::unique_lock lock(m_mutex);
  m_wakeup.wait(lock, [this] { return m_watching || m_stopping; });
  return !m_stopping;
}

bool
ConfigWatcher::WaitUnlessStopping(Duration aDuration)
{
  std::unique_lock lock(m_mutex);
  return !m_wakeup.wait_for(lock, aDuration, [this] { return m_stopping; });
}

void
ConfigWatcher::Run()
{
  Duration retryDelay = kFirstRetryDelay;
  while (WaitUntilWatching()) {
    auto snapshot = m_platform.ReadTable(m_source.table);
    const Error* error = GetError(snapshot);
    UpdateStoreState(error);
    if (error == nullptr) {
      UpdateGeneration();
      retryDelay = kFirstRetryDelay;
      for (const store::Row& row : GetValue(snapshot).rows) {
        ApplyRow(row.key, row.value);
      }
      if (!WatchFeed(GetValue(snapshot))) {
        continue;
      }
    }
    if (!WaitUnlessStopping(retryDelay)) {
      return;
    }
    retryDelay = std::min(2 * retryDelay, kMaxRetryDelay);
  }
}

bool
ConfigWatcher::WatchFeed(const store::TableSnapshot& aSnapshot)
{
  uint64_t version = aSnapshot.version;
  Duration wait = kFirstChangeWait;
  while (IsWatching() && WaitUnlessStopping(Duration{})) {
    auto changes = m_platform.WaitForChanges(
      m_source.table, version, std::exchange(wait, kChangeWait));
    if (const Error* error = GetError(changes)) {
      const bool lostHistory = error->kind == ErrorKind::kHistoryLost;
      UpdateStoreState(lostHistory ? nullptr : error);
      return !lostHistory;
    }
    UpdateStoreState(nullptr);
    UpdateGeneration();
    if (GetValue(changes).generation > aSnapshot.generation) {
      return false;
    }
    version = std::max(version, GetValue(changes).version);
    for (const store::RowChange& change : GetValue(changes).changes) {
      if (change.value) {
        ApplyRow(change.key, *change.value);
      }
    }
  }
  return false;
}

void
ConfigWatcher::ApplyRow(const std::string& aKey, const std::string& aValue)
{
  if (aKey != m_source.key) {
    return;
  }
  auto config = m_source.decode(aValue);
  if (const Error* error = GetError(config)) {
    observability::Event("config_unreadable")
      .Add("reason", error->detail)
      .Warn();
    return;
  }
  m_onConfig(GetValue(config));
}

void
ConfigWatcher::UpdateStoreState(const Error* aStoreError)
{
  const bool lost = aStoreError != nullptr;
  if (lost == std::exchange(m_storeLost, lost)) {
    return;
  }
  observability::Event event(lost ? "store_lost" : "store_regained");
  event.Add("use", "configuration");
  if (lost) {
    event.Add("reason", aStoreError->detail);
  }
  event.Info();
  m_onStoreStateChange(lost);
}

void
ConfigWatcher::UpdateGeneration()
{
  const uint64_t generation = m_platform.Generation();
  const std::optional<uint64_t> known = std::exchange(m_generation, generation);
  if (known == generation) {
    return;
  }
  if (known) {
    observability::Event("store_restored").Add("generation", generation).Info();
  }
  m_onGeneration(generation);
}

} // namespace wagtailbend::node
