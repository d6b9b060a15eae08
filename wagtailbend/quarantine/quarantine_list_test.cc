#include "wagtailbend/quarantine/quarantine_list.h"

#include <algorithm>
#include <set>

#include <gtest/gtest.h>

namespace wagtailbend::quarantine {
namespace {

using std::chrono::minutes;

constexpr TimePoint kNow{};
constexpr uint64_t kCrashingRequest = 77;
const std::vector<DaemonId> kLive = { { "a", 1 }, { "b", 1 }, { "c", 1 } };

DaemonId
SelectedDaemon(uint64_t aFingerprint = kCrashingRequest)
{
  return *SelectTrialDaemon(aFingerprint, kLive);
}

DaemonId
DaemonNotSelected()
{
  return kLive[0] == SelectedDaemon() ? kLive[1] : kLive[0];
}

std::vector<SuspectEntry>
CrashTarget(QuarantineList& aList, std::vector<uint64_t> aInFlight, Rng& aRng)
{
  return aList.OnTargetCrashed(aInFlight, kNow, aRng);
}

// Guards against different requests with the same fingerprint.
TEST(Fingerprint, CoversMethodAndPayload)
{
  const std::set<uint64_t> distinct = { FingerprintOf("/a/B", "x"),
                                        FingerprintOf("/a/B", "y"),
                                        FingerprintOf("/a/C", "x"),
                                        FingerprintOf("/a/", "Bx") };
  EXPECT_EQ(distinct.size(), 4U);
  EXPECT_EQ(FingerprintOf("/a/B", "x"), FingerprintOf("/a/B", "x"));
}

// Guards against daemons that select different trial daemons for a fingerprint,
// and against one daemon that is selected for every fingerprint.
TEST(SelectTrialDaemon, IsIndependentOfOrderAndSpread)
{
  std::vector<DaemonId> reversed(kLive.rbegin(), kLive.rend());
  std::set<std::string> chosen;
  for (uint64_t fingerprint = 0; fingerprint < 100; ++fingerprint) {
    EXPECT_EQ(*SelectTrialDaemon(fingerprint, reversed),
              SelectedDaemon(fingerprint));
    chosen.insert(SelectedDaemon(fingerprint).name);
  }
  EXPECT_EQ(chosen.size(), kLive.size());
  EXPECT_EQ(SelectTrialDaemon(kCrashingRequest, {}), nullptr);
}

// Guards against a third target crash after the daemon recorded two.
TEST(QuarantineList, SuspectThenQuarantined)
{
  Rng rng(1);
  QuarantineList list(SelectedDaemon());
  EXPECT_EQ(list.Check(kCrashingRequest, kLive, kNow).kind,
            QuarantineAction::kPass);
  CrashTarget(list, { kCrashingRequest, kCrashingRequest }, rng);
  EXPECT_EQ(list.Check(kCrashingRequest, kLive, kNow).kind,
            QuarantineAction::kTrialHere);
  EXPECT_EQ(list.Check(kCrashingRequest, {}, kNow).kind,
            QuarantineAction::kQuarantined);
  EXPECT_TRUE(list.BeginTrial(kCrashingRequest, kLive, kNow));
  EXPECT_FALSE(list.BeginTrial(kCrashingRequest, kLive, kNow));
  CrashTarget(list, { kCrashingRequest }, rng);
  EXPECT_EQ(list.Check(kCrashingRequest, kLive, kNow).kind,
            QuarantineAction::kQuarantined);
  EXPECT_FALSE(list.BeginTrial(kCrashingRequest, kLive, kNow));
}

// Guards against trials at daemons other than the selected one.
TEST(QuarantineList, PeersRelayToTheTrialDaemon)
{
  Rng rng(1);
  QuarantineList list(DaemonNotSelected());
  CrashTarget(list, { kCrashingRequest }, rng);
  EXPECT_EQ(list.Check(kCrashingRequest, kLive, kNow),
            (QuarantineDecision{ QuarantineAction::kTrialElsewhere,
                                 SelectedDaemon() }));
  EXPECT_FALSE(list.BeginTrial(kCrashingRequest, kLive, kNow));
  list.OnTrialConnectionLost(kCrashingRequest, kNow, rng);
  EXPECT_EQ(list.Check(kCrashingRequest, kLive, kNow).kind,
            QuarantineAction::kQuarantined);
}

// Guards against two suspects in flight at one target: its crash would
// quarantine both.
TEST(QuarantineList, OneSuspectInFlight)
{
  Rng rng(1);
  uint64_t other = kCrashingRequest + 1;
  while (SelectedDaemon(other) != SelectedDaemon()) {
    ++other;
  }
  QuarantineList list(SelectedDaemon());
  CrashTarget(list, { kCrashingRequest, other }, rng);
  EXPECT_TRUE(list.BeginTrial(other, kLive, kNow));
  EXPECT_FALSE(list.BeginTrial(kCrashingRequest, kLive, kNow));
  EXPECT_EQ(list.EndTrial(kCrashingRequest, true, kNow), std::nullopt);
  EXPECT_EQ(list.EndTrial(other, false, kNow), std::nullopt);
  EXPECT_TRUE(list.BeginTrial(kCrashingRequest, kLive, kNow));
}

// Guards against a harmless request that stays suspected because it was in
// flight when a target crashed, and against a cleared one that is exempt
// permanently.
TEST(QuarantineList, SurvivedTrialClearsUntilTheNextLoss)
{
  Rng rng(1);
  QuarantineList list(SelectedDaemon());
  QuarantineList other(DaemonNotSelected());
  other.Merge(CrashTarget(list, { kCrashingRequest }, rng), kNow);
  ASSERT_TRUE(list.BeginTrial(kCrashingRequest, kLive, kNow));
  const auto update = list.EndTrial(kCrashingRequest, true, kNow);
  ASSERT_TRUE(update.has_value());
  other.Merge({ &*update, 1 }, kNow);
  for (QuarantineList* each : { &list, &other }) {
    EXPECT_EQ(each->Check(kCrashingRequest, kLive, kNow).kind,
              QuarantineAction::kPass);
    CrashTarget(*each, { kCrashingRequest }, rng);
    EXPECT_EQ(each->Check(kCrashingRequest, kLive, kNow).kind,
              QuarantineAction::kQuarantined);
  }
}

// Guards against counting a crash twice when gossip is duplicated or reordered,
// and against gossip of known crashes that extends the life of an entry.
TEST(QuarantineList, MergeIsIdempotentAndDoesNotExtend)
{
  Rng rng(1);
  QuarantineList first(kLive[0]);
  QuarantineList second(kLive[1]);
  const auto fromFirst = CrashTarget(first, { kCrashingRequest }, rng);
  for (int i = 0; i < 3; ++i) {
    second.Merge(fromFirst, kNow + minutes(i));
    first.Merge(second.Export(10, kNow + minutes(i)), kNow + minutes(i));
  }
  EXPECT_FALSE(first.Export(10, kNow).front().IsQuarantined());
  EXPECT_EQ(second.Export(10, kNow).front().remaining, minutes(10));
  const auto fromSecond = CrashTarget(second, { kCrashingRequest }, rng);
  first.Merge(fromSecond, kNow);
  first.Merge(fromFirst, kNow);
  EXPECT_EQ(first.Export(10, kNow), second.Export(10, kNow));
  EXPECT_TRUE(first.Export(10, kNow).front().IsQuarantined());
}

// Guards against entries that never expire.
TEST(QuarantineList, EntriesExpire)
{
  Rng rng(1);
  QuarantineList list(SelectedDaemon());
  CrashTarget(list, { kCrashingRequest }, rng);
  CrashTarget(list, { kCrashingRequest }, rng);
  EXPECT_EQ(list.Check(kCrashingRequest, kLive, kNow + minutes(10)).kind,
            QuarantineAction::kPass);
  EXPECT_TRUE(list.Export(10, kNow + minutes(10)).empty());
  list.Expire(kNow + minutes(10));
  EXPECT_EQ(list.Size(), 0U);
}

// Guards against unbounded memory use, and against suspects that evict
// quarantined entries.
TEST(QuarantineList, SizeIsBounded)
{
  Rng rng(1);
  QuarantineLimits limits;
  limits.maxEntries = 3;
  QuarantineList list(SelectedDaemon(), limits);
  CrashTarget(list, { kCrashingRequest }, rng);
  CrashTarget(list, { kCrashingRequest }, rng);
  CrashTarget(list, { 1, 2, 3, 4, 5 }, rng);
  EXPECT_EQ(list.Size(), 3U);
  EXPECT_EQ(list.Check(kCrashingRequest, kLive, kNow).kind,
            QuarantineAction::kQuarantined);
  EXPECT_TRUE(list.Export(1, kNow).front().IsQuarantined());
}

// Guards against lists at their limit that differ for ever because each evicts
// other entries, though entries reach them in another order and at other times.
TEST(QuarantineList, FullListsThatExchangeEntriesBecomeEqual)
{
  constexpr size_t kLists = 4;
  constexpr size_t kMaxRounds = 3;
  Rng rng(1);
  QuarantineLimits limits;
  limits.maxEntries = 20;
  std::vector<QuarantineList> lists(kLists,
                                    QuarantineList(SelectedDaemon(), limits));
  for (uint64_t fingerprint = 1; fingerprint <= 60; ++fingerprint) {
    QuarantineList& list = lists[fingerprint % kLists];
    CrashTarget(list, { fingerprint }, rng);
    if (fingerprint % 3 == 0) {
      CrashTarget(list, { fingerprint }, rng);
    }
  }
  TimePoint now = kNow;
  for (size_t round = 0; round < kMaxRounds; ++round) {
    std::vector<std::vector<SuspectEntry>> exported;
    exported.reserve(kLists);
    for (const QuarantineList& list : lists) {
      exported.push_back(list.Export(limits.maxEntries, now));
    }
    for (QuarantineList& list : lists) {
      std::ranges::shuffle(exported, rng);
      for (const std::vector<SuspectEntry>& entries : exported) {
        now += std::chrono::milliseconds(1);
        list.Merge(entries, now);
      }
    }
  }
  for (const QuarantineList& list : lists) {
    EXPECT_EQ(list.Digest(now), lists.front().Digest(now));
    EXPECT_EQ(list.Size(), limits.maxEntries);
  }
}

// Guards against suspects that wait for each other though several may run, and
// against copies of one suspect that run together.
TEST(QuarantineList, LimitsConcurrentTrials)
{
  Rng rng(1);
  QuarantineList list(SelectedDaemon(), { .maxConcurrentTrials = 2 });
  const std::vector<DaemonId> self = { SelectedDaemon() };
  CrashTarget(list, { 1, 2, 3 }, rng);
  EXPECT_TRUE(list.BeginTrial(1, self, kNow));
  EXPECT_FALSE(list.BeginTrial(1, self, kNow));
  EXPECT_TRUE(list.BeginTrial(2, self, kNow));
  EXPECT_FALSE(list.BeginTrial(3, self, kNow));
  list.EndTrial(1, true, kNow);
  EXPECT_TRUE(list.BeginTrial(3, self, kNow));
}

// Guards against counting one crash twice, by the daemon beside the target and
// by a peer when that daemon ends, and against suspecting what survived a run.
TEST(QuarantineList, ALostDaemonCountsOnceForEachRun)
{
  Rng rng(1);
  QuarantineList list(SelectedDaemon());
  const TimePoint later = kNow + std::chrono::seconds(1);
  EXPECT_TRUE(list.OnDaemonLost(kCrashingRequest, kNow, later, rng));
  EXPECT_FALSE(list.OnDaemonLost(kCrashingRequest, kNow, later, rng));
  EXPECT_EQ(list.Check(kCrashingRequest, kLive, later).kind,
            QuarantineAction::kTrialHere);
  EXPECT_TRUE(list.OnDaemonLost(
    kCrashingRequest, later + minutes(1), later + minutes(1), rng));
  EXPECT_EQ(list.Check(kCrashingRequest, kLive, later + minutes(1)).kind,
            QuarantineAction::kQuarantined);

  QuarantineList other(SelectedDaemon());
  CrashTarget(other, { kCrashingRequest }, rng);
  ASSERT_TRUE(other.BeginTrial(kCrashingRequest, kLive, kNow));
  other.EndTrial(kCrashingRequest, true, kNow);
  EXPECT_FALSE(other.OnDaemonLost(kCrashingRequest, later, later, rng));
}

} // namespace
} // namespace wagtailbend::quarantine
