#include "wagtailbend/routing/balancer.h"

#include <gtest/gtest.h>

namespace wagtailbend::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

DaemonId
IdOf(int aIndex)
{
  return { "daemon-" + std::to_string(aIndex), 1 };
}

std::vector<Candidate>
MakeCandidates(int aCount)
{
  std::vector<Candidate> candidates(aCount);
  for (int i = 0; i < aCount; ++i) {
    candidates[i].id = IdOf(i);
    candidates[i].slots = 10;
  }
  return candidates;
}

// Sends calls sequentially and returns how many each target received.
std::map<std::string, int>
Send(Balancer& aBalancer,
     int aCalls,
     TimePoint aNow,
     const PickOptions& aOptions = {},
     const std::map<std::string, Duration>& aLatency = {})
{
  Rng rng(7);
  std::map<std::string, int> counts;
  for (int i = 0; i < aCalls; ++i) {
    const auto picked = aBalancer.Pick(aNow, rng, aOptions);
    if (!picked) {
      ++counts["none"];
      continue;
    }
    const std::string& name = picked->target->candidate.id.name;
    ++counts[name];
    aBalancer.OnAttemptStarted(*picked);
    const auto latency = aLatency.find(name);
    aBalancer.OnAttemptFinished(*picked,
                                latency == aLatency.end() ? milliseconds(1)
                                                          : latency->second,
                                true,
                                aNow);
  }
  return counts;
}

// Sends a call every 10 ms for a minute. The first target takes aLatency and
// fails unless aOk; the others take around 1 ms.
void
RunSlow(Balancer& aBalancer, Duration aLatency, bool aOk)
{
  Rng rng(3);
  for (int i = 0; i < 6000; ++i) {
    const TimePoint now = kStart + milliseconds(10 * i);
    const auto picked = aBalancer.Pick(now, rng, { .allowTrial = false });
    const bool slow = picked->target->candidate.id == IdOf(0);
    const auto usualLatency =
      std::chrono::microseconds(700 + UniformBelow(rng, 600));
    aBalancer.OnAttemptStarted(*picked);
    aBalancer.OnAttemptFinished(
      *picked, slow ? aLatency : Duration(usualLatency), aOk || !slow, now);
    if (i % 10 == 0) {
      aBalancer.Evaluate(now);
    }
  }
}

// Guards against picks that ignore load: two of three targets are busy, so the
// idle one must receive most calls.
TEST(BalancerTest, AvoidsBusyTargets)
{
  Balancer balancer;
  balancer.Update(MakeCandidates(3), kStart);
  Rng rng(1);
  const std::vector<DaemonId> others{ IdOf(0) };
  for (int i = 0; i < 40; ++i) {
    balancer.OnAttemptStarted(
      *balancer.Pick(kStart, rng, { .exclude = others }));
  }
  EXPECT_EQ(Send(balancer, 100, kStart)["daemon-0"] > 55, true);
}

// Guards against calls to a target that is draining or was already tried.
TEST(BalancerTest, NeverPicksDrainingOrExcluded)
{
  Balancer balancer;
  std::vector<Candidate> candidates = MakeCandidates(4);
  candidates[0].draining = true;
  candidates[0].isLocal = true;
  balancer.Update(candidates, kStart);
  const std::vector<DaemonId> tried{ IdOf(1), IdOf(2) };
  const auto counts = Send(balancer, 100, kStart, { .exclude = tried });
  EXPECT_EQ(counts, (std::map<std::string, int>{ { "daemon-3", 100 } }));
  const std::vector<DaemonId> all{ IdOf(1), IdOf(2), IdOf(3) };
  EXPECT_EQ(Send(balancer, 10, kStart, { .exclude = all })["none"], 10);
}

// Guards against a needless second hop while the local target is idle, and
// against a preference for a local target that is loaded or slow.
TEST(BalancerTest, PrefersLocalTargetWhileItsLoadAllows)
{
  struct Row
  {
    const char* name;
    int inFlight;
    double hint;
    Duration latency;
    bool prefer;
    bool mostlyLocal;
  };
  for (const Row& row : {
         Row{ "idle", 0, 0.0, milliseconds(1), true, true },
         Row{ "not wanted", 0, 0.0, milliseconds(1), false, false },
         Row{ "slots in use", 8, 0.0, milliseconds(1), true, false },
         Row{ "reported busy", 0, 0.8, milliseconds(1), true, false },
         Row{ "slow", 0, 0.0, milliseconds(9), true, false },
       }) {
    Balancer balancer;
    std::vector<Candidate> candidates = MakeCandidates(5);
    candidates[0].isLocal = true;
    balancer.Update(candidates, kStart);
    Rng rng(1);
    const std::vector<DaemonId> others{ IdOf(1), IdOf(2), IdOf(3), IdOf(4) };
    for (int i = 0; i < 200; ++i) {
      const auto local = balancer.Pick(kStart, rng, { .exclude = others });
      balancer.OnAttemptStarted(*local);
      balancer.OnAttemptFinished(*local, row.latency, true, kStart);
    }
    for (int i = 0; i < row.inFlight; ++i) {
      balancer.OnAttemptStarted(
        *balancer.Pick(kStart, rng, { .exclude = others }));
    }
    balancer.RecordReportedLoad(IdOf(0), row.hint, kStart);
    const int local =
      Send(balancer, 100, kStart, { .preferLocal = row.prefer })["daemon-0"];
    EXPECT_EQ(local > 80, row.mostlyLocal) << row.name << " " << local;
  }
}

// Guards against a cold target that receives its full share at once or never
// reaches it.
TEST(BalancerTest, ColdTargetIsRampedUp)
{
  Balancer balancer;
  std::vector<Candidate> candidates = MakeCandidates(5);
  candidates[0].cold = true;
  balancer.Update(candidates, kStart);
  // A later update must not restart the ramp.
  balancer.Update(candidates, kStart + seconds(5));
  const auto share = [&](int aSecond) {
    return Send(balancer, 2000, kStart + seconds(aSecond))["daemon-0"];
  };
  EXPECT_LT(share(0), 100);
  const int middle = share(5);
  EXPECT_GT(middle, 120);
  EXPECT_LT(middle, 320);
  EXPECT_GT(share(10), 330);
}

// Guards against outdated load reports that affect picks.
TEST(BalancerTest, HintExpiresAfterOneSecond)
{
  Balancer balancer;
  balancer.Update(MakeCandidates(2), kStart);
  balancer.RecordReportedLoad(IdOf(0), 0.9, kStart);
  EXPECT_EQ(Send(balancer, 100, kStart + milliseconds(999))["daemon-1"], 100);
  EXPECT_GT(Send(balancer, 100, kStart + seconds(1))["daemon-0"], 20);
}

// Guards against slow targets that keep their share, ejection of more than a
// third of the targets, and recovered targets that are not reinstated.
TEST(BalancerTest, SlowTargetsAreEjectedTriedAndReinstated)
{
  Balancer balancer;
  balancer.Update(MakeCandidates(6), kStart);
  std::map<std::string, Duration> slow;
  for (int i = 0; i < 3; ++i) {
    slow[IdOf(i).name] = milliseconds(10 + i);
  }
  Send(balancer, 3000, kStart, {}, slow);
  balancer.Evaluate(kStart);
  EXPECT_EQ(balancer.EjectedCount(), 2);
  const auto counts =
    Send(balancer, 1000, kStart, { .allowTrial = false }, slow);
  EXPECT_EQ(counts.count("daemon-2") + counts.count("daemon-1"), 0);

  TimePoint now = kStart;
  int trials = 0;
  for (int second = 1; second <= 30; ++second) {
    now = kStart + seconds(second);
    const auto seen = Send(balancer, 1000, now, {}, slow);
    trials += seen.count("daemon-2") ? seen.at("daemon-2") : 0;
    balancer.Evaluate(now);
  }
  EXPECT_EQ(balancer.EjectedCount(), 2) << "slow trials do not return a target";
  EXPECT_GT(trials, 5);
  EXPECT_LE(trials, 60);
  for (int second = 1; second <= 30; ++second) {
    now += seconds(1);
    Send(balancer, 1000, now);
    balancer.Evaluate(now);
  }
  EXPECT_EQ(balancer.EjectedCount(), 0);
}

// Guards against statistics and ejections that are lost at membership changes,
// and against more than a third of ejected targets after others have left.
TEST(BalancerTest, StatisticsSurviveUpdates)
{
  Balancer balancer;
  std::vector<Candidate> candidates = MakeCandidates(3);
  balancer.Update(candidates, kStart);
  RunSlow(balancer, milliseconds(20), true);
  EXPECT_EQ(balancer.EjectedCount(), 1);
  candidates.push_back(MakeCandidates(4).back());
  balancer.Update(candidates, kStart);
  EXPECT_EQ(balancer.EjectedCount(), 1);
  candidates.resize(2);
  balancer.Update(candidates, kStart);
  EXPECT_EQ(balancer.EjectedCount(), 0);
}

// Guards against a target that fails immediately and therefore looks fast.
TEST(BalancerTest, FastFailuresAreEjected)
{
  Balancer balancer;
  balancer.Update(MakeCandidates(5), kStart);
  RunSlow(balancer, std::chrono::microseconds(10), false);
  EXPECT_EQ(balancer.EjectedCount(), 1);
}

// Guards against requests that use the inter-region network although a target
// in the local region is available, the request is not entitled to it, or the
// byte budget is exhausted.
TEST(BalancerTest, LocalityDecidesWhereRequestsMayGo)
{
  struct Row
  {
    const char* name;
    std::vector<DaemonId> exclude;
    schema::Kind kind;
    uint32_t priority;
    uint64_t bytes;
    const char* expected;
  };
  const std::vector<DaemonId> local{ IdOf(0) };
  const std::vector<DaemonId> sameRegion{ IdOf(0), IdOf(1) };
  using schema::Kind;
  for (const Row& row : {
         Row{ "local domain", {}, Kind::kOrder, 9, 1, "daemon-0" },
         Row{ "region", local, Kind::kLookup, 0, 1, "daemon-1" },
         Row{ "order", sameRegion, Kind::kOrder, 0, 1, "daemon-2" },
         Row{ "high priority", sameRegion, Kind::kLookup, 6, 1, "daemon-2" },
         Row{ "low priority", sameRegion, Kind::kLookup, 5, 1, "none" },
         Row{ "bulk", sameRegion, Kind::kBulk, 5, 1, "none" },
         Row{ "over budget", sameRegion, Kind::kOrder, 9, 10'000'000, "none" },
       }) {
    Balancer balancer;
    std::vector<Candidate> candidates = MakeCandidates(3);
    candidates[1].locality = Locality::kSameRegion;
    candidates[2].locality = Locality::kOtherRegion;
    balancer.Update(candidates, kStart);
    InterRegionBudget link({}, kStart);
    PickOptions options{ .exclude = row.exclude,
                         .kind = row.kind,
                         .priority = row.priority,
                         .interRegionBudget = &link,
                         .interRegionBytes = row.bytes };
    EXPECT_EQ(Send(balancer, 20, kStart, options)[row.expected], 20)
      << row.name;
    options.interRegionBudget = nullptr;
    EXPECT_EQ(Send(balancer, 20, kStart, options)["daemon-2"], 0) << row.name;
  }
}

// Guards against a saturated failure domain that receives all requests while
// the rest of the region has free capacity.
TEST(BalancerTest, SaturatedDomainSpillsToTheRegion)
{
  Balancer balancer;
  std::vector<Candidate> candidates = MakeCandidates(4);
  candidates[2].locality = Locality::kSameRegion;
  candidates[3].locality = Locality::kOtherRegion;
  balancer.Update(candidates, kStart);
  balancer.RecordReportedLoad(IdOf(0), 1.2, kStart);
  balancer.RecordReportedLoad(IdOf(1), 1.2, kStart);
  EXPECT_EQ(Send(balancer, 100, kStart)["daemon-2"], 100);
  balancer.RecordReportedLoad(IdOf(2), 1.5, kStart);
  EXPECT_EQ(Send(balancer, 100, kStart)["daemon-2"], 0);
}

} // namespace
} // namespace wagtailbend::routing
