// Property test: random interleavings of operators and controllers with faults.

#include <cstdlib>
#include <functional>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "wagtailbend/config/config_test_util.h"

namespace wagtailbend::config {
namespace {

using testing_fakes::FaultKind;
using testing_fakes::InMemoryPlatform;

// Runs steps of other operators and daemons before some operations of the
// current caller, and injects faults into some operations.
class InterleavingPlatform : public store::Platform
{
public:
  InterleavingPlatform(InMemoryPlatform& aStore, Rng& aRng)
    : m_store(aStore)
    , m_rng(aRng)
  {
  }

  std::function<void()> m_interleavedStep;

  store::TransactResult Transact(
    const store::TransactRequest& aRequest) override
  {
    BeforeOperation();
    return m_store.Transact(aRequest);
  }
  Result<std::optional<store::Row>> ReadRow(const std::string& aTable,
                                            const std::string& aKey) override
  {
    BeforeOperation();
    return m_store.ReadRow(aTable, aKey);
  }
  Result<std::vector<store::Row>> ListRows(const std::string& aTable,
                                           const std::string& aPrefix) override
  {
    BeforeOperation();
    return m_store.ListRows(aTable, aPrefix);
  }
  store::PutResult PutObject(const std::string& aKey,
                             const std::string& aBytes) override
  {
    BeforeOperation();
    return m_store.PutObject(aKey, aBytes);
  }
  Result<std::optional<std::string>> GetObject(const std::string& aKey) override
  {
    BeforeOperation();
    return m_store.GetObject(aKey);
  }

private:
  void BeforeOperation()
  {
    constexpr int kMaxDepth = 3;
    if (m_interleavedStep && m_depth < kMaxDepth &&
        UniformBelow(m_rng, 3) == 0) {
      ++m_depth;
      m_interleavedStep();
      --m_depth;
    }
    // One operation in three fails with one of the three faults.
    const uint64_t draw = UniformBelow(m_rng, 9);
    m_store.SetFaults(
      { .kind = draw < 3 ? static_cast<FaultKind>(draw + 1) : FaultKind::kNone,
        .limit = 1 });
  }

  InMemoryPlatform& m_store;
  Rng& m_rng;
  int m_depth = 0;
};

// State of one random run and the checks of its invariants.
struct RandomRun
{
  explicit RandomRun(uint64_t aSeed)
    : rng(aSeed)
    , platform(store, rng)
    , daemons(platform, 4, 2)
    , lastVersions(daemons.Versions())
  {
    platform.m_interleavedStep = [this] { Step(); };
  }

  void Step()
  {
    if (!runningDaemons && UniformBelow(rng, 2) == 0) {
      runningDaemons = true;
      daemons.SetPartition(3, UniformBelow(rng, 2), UniformBelow(rng, 2));
      daemons.RunFor(std::chrono::milliseconds(500));
      runningDaemons = false;
      CheckDaemons();
      return;
    }
    // Few change ids, so that some are submitted more than once.
    const uint64_t id = UniformBelow(rng, 12);
    const std::string changeId = "c" + std::to_string(id);
    const auto result = ConfigStore(platform).Accept(
      { changeId, id % 2 == 0 ? BodyA() : BodyB() });
    if (const auto* done = std::get_if<Accepted>(&result)) {
      const auto [it, isNew] = accepted.emplace(changeId, done->version);
      RC_ASSERT(it->second == done->version);
    }
  }

  void CheckDaemons()
  {
    const auto versions = daemons.Versions();
    for (size_t i = 0; i < versions.size(); ++i) {
      RC_ASSERT(versions[i] >= lastVersions[i]);
      if (const auto config = daemons.At(i).Active()) {
        const auto [it, isNew] =
          activeVersions.emplace(config->version.version, config->version);
        RC_ASSERT(it->second == config->version);
      }
    }
    lastVersions = versions;
  }

  void CheckHistory()
  {
    store.SetFaults({});
    const auto history = GetValue(ConfigStore(store).History());
    std::map<std::string, ConfigVersion> recorded;
    for (size_t i = 0; i < history.size(); ++i) {
      RC_ASSERT(history[i].version == i + 1);
      RC_ASSERT(recorded.emplace(history[i].changeId, history[i]).second);
      const auto seen = activeVersions.find(i + 1);
      RC_ASSERT(seen == activeVersions.end() || seen->second == history[i]);
    }
    for (const auto& [changeId, version] : accepted) {
      RC_ASSERT(recorded.contains(changeId));
      RC_ASSERT(recorded.at(changeId) == version);
    }
    RC_ASSERT(activeVersions.empty() ||
              activeVersions.rbegin()->first <= history.size());
  }

  Rng rng;
  InMemoryPlatform store;
  InterleavingPlatform platform;
  SimulatedDaemons daemons;
  bool runningDaemons = false;
  std::vector<uint64_t> lastVersions;
  std::map<std::string, ConfigVersion> accepted;
  std::map<uint64_t, ConfigVersion> activeVersions;
};

// Guards against two bodies with the same version, an accepted change
// that is lost or recorded twice, and a daemon whose version decreases.
TEST(ConfigPropertyTest, RandomInterleavingsKeepTheInvariants)
{
  // A fixed seed makes the run reproducible; RC_PARAMS in the environment
  // overrides it.
  setenv("RC_PARAMS", "seed=20261204 max_success=200", /*overwrite=*/0);
  size_t changes = 0;
  EXPECT_TRUE(rc::check([&](uint64_t aSeed) {
    RandomRun run(aSeed);
    for (int i = 0; i < 30; ++i) {
      run.Step();
    }
    run.CheckHistory();
    changes += run.accepted.size();
  }));
  EXPECT_GT(changes, 500U) << "too few accepted changes for a meaningful check";
}

} // namespace
} // namespace wagtailbend::config
