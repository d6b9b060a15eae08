#include <algorithm>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "wagtailbend/routing/balancer.h"

namespace wagtailbend::routing {
namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

// Runs a property with a fixed seed, so that failures are reproducible.
template<typename Property>
bool
CheckWithSeed(uint64_t aSeed, const Property& aProperty)
{
  rc::detail::TestParams params;
  params.seed = aSeed;
  params.maxSuccess = 300;
  const auto result =
    rc::detail::checkTestable(aProperty, rc::detail::TestMetadata(), params);
  rc::detail::printResultMessage(result, std::cerr);
  return result.template is<rc::detail::SuccessResult>();
}

std::vector<Candidate>
DrawCandidates()
{
  const int count = *rc::gen::inRange(1, 12);
  std::vector<Candidate> candidates(count);
  for (int i = 0; i < count; ++i) {
    candidates[i].id = { "daemon-" + std::to_string(i), 1 };
    candidates[i].locality = static_cast<Locality>(*rc::gen::inRange(0, 3));
    candidates[i].draining = *rc::gen::inRange(0, 4) == 0;
    candidates[i].cold = *rc::gen::inRange(0, 4) == 0;
    candidates[i].isLocal = i == 0;
  }
  return candidates;
}

bool
Contains(const std::vector<DaemonId>& aIds, const DaemonId& aId)
{
  return std::find(aIds.begin(), aIds.end(), aId) != aIds.end();
}

// Sends 200 calls. Targets with an index below aSlowBelow are slow.
void
CheckCalls(Balancer& aBalancer,
           const std::vector<Candidate>& aCandidates,
           const std::vector<DaemonId>& aExclude,
           int aSlowBelow,
           TimePoint& aNow)
{
  Rng rng(*rc::gen::arbitrary<uint64_t>());
  InterRegionBudget link({ .networkRate = 1e9, .initialRate = 1e9 }, aNow);
  const bool usable =
    std::any_of(aCandidates.begin(), aCandidates.end(), [&](const auto& aC) {
      return !aC.draining && !Contains(aExclude, aC.id);
    });
  for (int call = 0; call < 200; ++call) {
    aNow += milliseconds(5);
    const PickOptions options{ .exclude = aExclude,
                               .kind = schema::Kind::kOrder,
                               .interRegionBudget = &link,
                               .interRegionBytes = 1 };
    const auto picked = aBalancer.Pick(aNow, rng, options);
    RC_ASSERT(picked.has_value() == usable);
    if (picked) {
      const Candidate& candidate = picked->target->candidate;
      RC_ASSERT(!candidate.draining);
      RC_ASSERT(!Contains(aExclude, candidate.id));
      const bool slow = std::stoi(candidate.id.name.substr(7)) < aSlowBelow;
      aBalancer.OnAttemptStarted(*picked);
      aBalancer.OnAttemptFinished(
        *picked, milliseconds(slow ? 50 : 1), true, aNow);
    }
    aBalancer.Evaluate(aNow);
    RC_ASSERT(3 * aBalancer.EjectedCount() <= aCandidates.size());
  }
}

void
CheckPicks()
{
  Balancer balancer;
  TimePoint now = kStart;
  for (int round = *rc::gen::inRange(1, 6); round > 0; --round) {
    const std::vector<Candidate> candidates = DrawCandidates();
    balancer.Update(candidates, now);
    RC_ASSERT(3 * balancer.EjectedCount() <= candidates.size());
    std::vector<DaemonId> exclude;
    for (const Candidate& candidate : candidates) {
      if (*rc::gen::inRange(0, 3) == 0) {
        exclude.push_back(candidate.id);
      }
    }
    CheckCalls(balancer, candidates, exclude, *rc::gen::inRange(0, 12), now);
  }
}

void
CheckBucket()
{
  InterRegionBudgetConfig config;
  config.initialRate = *rc::gen::inRange(1'000, 1'000'000);
  config.burst = milliseconds(*rc::gen::inRange(1, 500));
  TimePoint now = kStart;
  InterRegionBudget budget(config, now);
  double taken = 0;
  double allowed =
    config.initialRate * std::chrono::duration<double>(config.burst).count();
  for (int step = 0; step < 300; ++step) {
    const uint64_t bytes = *rc::gen::inRange(1, 5'000);
    const auto linkClass = static_cast<TrafficClass>(*rc::gen::inRange(0, 3));
    if (budget.TryTake(linkClass, bytes, now)) {
      taken += static_cast<double>(bytes);
    }
    // Each transfer time is rounded down to a nanosecond, so each step may take
    // the bytes of up to one more nanosecond.
    RC_ASSERT(taken <= allowed + (step + 1) * config.initialRate * 1e-9);
    const Duration pause(*rc::gen::inRange(0, 20'000'000));
    now += pause;
    allowed +=
      config.initialRate * std::chrono::duration<double>(pause).count();
  }
}

// Guards against calls to draining or excluded targets, requests that get no
// target while one is usable, and ejection of more than a third of the targets.
TEST(RoutingPropertyTest, PicksAreAllowedAndEjectionIsCapped)
{
  for (const uint64_t seed : { 1, 2, 3 }) {
    EXPECT_TRUE(CheckWithSeed(seed, CheckPicks)) << "seed " << seed;
  }
}

// Guards against more bytes on the inter-region network, which is billed by
// volume, than the token bucket allows.
TEST(RoutingPropertyTest, BytesStayWithinTheTokenBucket)
{
  for (const uint64_t seed : { 4, 5, 6 }) {
    EXPECT_TRUE(CheckWithSeed(seed, CheckBucket)) << "seed " << seed;
  }
}

} // namespace
} // namespace wagtailbend::routing
