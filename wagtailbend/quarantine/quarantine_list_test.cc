#include "wagtailbend/quarantine/quarantine_list.h"

#include <algorithm>
#include <set>

#include <gtest/gtest.h>

namespace wagtailbend::quarantine {
namespace {

using std::chrono::minutes;

constexpr TimePoint kNow{};
constexpr uint64_t kCrash = 77;
const std::vector<DaemonId> kLive = { { "a", 1 }, { "b", 1 }, { "c", 1 } };

DaemonId
Selected(uint64_t aFingerprint = kCrash)
{
  return *SelectTrialDaemon(aFingerprint, kLive);
}

DaemonId
NotSelected()
{
  return kLive[0] == Selected() ? kLive[1] : kLive[0];
}

std::vector<Entry>
Lose(QuarantineList& aList, std::vector<uint64_t> aInFlight, Rng& aRng)
{
  return aList.OnTargetLost(aInFlight, kNow, aRng);
}

// Guards against requests that differ being taken for each other.
TEST(Fingerprint, CoversMethodAndPayload)
{
  const std::set<uint64_t> distinct = { FingerprintOf("/a/B", "x"),
                                        FingerprintOf("/a/B", "y"),
                                        FingerprintOf("/a/C", "x"),
                                        FingerprintOf("/a/", "Bx") };
  EXPECT_EQ(distinct.size(), 4U);
  EXPECT_EQ(FingerprintOf("/a/B", "x"), FingerprintOf("/a/B", "x"));
}

// Guards against daemons choosing different trial daemons, and against one
// daemon being chosen for everything.
TEST(SelectTrialDaemon, IsIndependentOfOrderAndSpread)
{
  std::vector<DaemonId> reversed(kLive.rbegin(), kLive.rend());
  std::set<std::string> chosen;
  for (uint64_t fingerprint = 0; fingerprint < 100; ++fingerprint) {
    EXPECT_EQ(*SelectTrialDaemon(fingerprint, reversed), Selected(fingerprint));
    chosen.insert(Selected(fingerprint).name);
  }
  EXPECT_EQ(chosen.size(), kLive.size());
  EXPECT_EQ(SelectTrialDaemon(kCrash, {}), nullptr);
}

// Guards against a third lost target when the daemon sees both losses.
TEST(QuarantineList, SuspectThenQuarantined)
{
  Rng rng(1);
  QuarantineList list(Selected());
  EXPECT_EQ(list.Check(kCrash, kLive, kNow).kind, VerdictKind::kPass);
  Lose(list, { kCrash, kCrash }, rng);
  EXPECT_EQ(list.Check(kCrash, kLive, kNow).kind, VerdictKind::kTrialHere);
  EXPECT_EQ(list.Check(kCrash, {}, kNow).kind, VerdictKind::kQuarantined);
  EXPECT_TRUE(list.BeginTrial(kCrash, kLive, kNow));
  EXPECT_FALSE(list.BeginTrial(kCrash, kLive, kNow));
  Lose(list, { kCrash }, rng);
  EXPECT_EQ(list.Check(kCrash, kLive, kNow).kind, VerdictKind::kQuarantined);
  EXPECT_FALSE(list.BeginTrial(kCrash, kLive, kNow));
}

// Guards against a trial at any other daemon than the selected one.
TEST(QuarantineList, OtherDaemonsRelayToTheTrialDaemon)
{
  Rng rng(1);
  QuarantineList list(NotSelected());
  Lose(list, { kCrash }, rng);
  EXPECT_EQ(list.Check(kCrash, kLive, kNow),
            (Verdict{ VerdictKind::kTrialElsewhere, Selected() }));
  EXPECT_FALSE(list.BeginTrial(kCrash, kLive, kNow));
  list.OnTrialConnectionLost(kCrash, kNow, rng);
  EXPECT_EQ(list.Check(kCrash, kLive, kNow).kind, VerdictKind::kQuarantined);
}

// Guards against two suspects in flight at one target: its death would
// quarantine both.
TEST(QuarantineList, OneSuspectInFlight)
{
  Rng rng(1);
  uint64_t other = kCrash + 1;
  while (Selected(other) != Selected()) {
    ++other;
  }
  QuarantineList list(Selected());
  Lose(list, { kCrash, other }, rng);
  EXPECT_TRUE(list.BeginTrial(other, kLive, kNow));
  EXPECT_FALSE(list.BeginTrial(kCrash, kLive, kNow));
  EXPECT_EQ(list.EndTrial(kCrash, true, kNow), std::nullopt);
  EXPECT_EQ(list.EndTrial(other, false, kNow), std::nullopt);
  EXPECT_TRUE(list.BeginTrial(kCrash, kLive, kNow));
}

// Guards against an innocent request of a dead target staying suspected, and
// against a cleared one being exempt for ever.
TEST(QuarantineList, SurvivedTrialClearsUntilTheNextLoss)
{
  Rng rng(1);
  QuarantineList list(Selected());
  QuarantineList other(NotSelected());
  other.Merge(Lose(list, { kCrash }, rng), kNow);
  ASSERT_TRUE(list.BeginTrial(kCrash, kLive, kNow));
  const auto news = list.EndTrial(kCrash, true, kNow);
  ASSERT_TRUE(news.has_value());
  other.Merge({ &*news, 1 }, kNow);
  for (QuarantineList* each : { &list, &other }) {
    EXPECT_EQ(each->Check(kCrash, kLive, kNow).kind, VerdictKind::kPass);
    Lose(*each, { kCrash }, rng);
    EXPECT_EQ(each->Check(kCrash, kLive, kNow).kind, VerdictKind::kQuarantined);
  }
}

// Guards against gossip that arrives twice or in another order counting a loss
// twice, and against echoes that keep an entry alive.
TEST(QuarantineList, MergeIsIdempotentAndDoesNotExtend)
{
  Rng rng(1);
  QuarantineList first(kLive[0]);
  QuarantineList second(kLive[1]);
  const auto fromFirst = Lose(first, { kCrash }, rng);
  for (int i = 0; i < 3; ++i) {
    second.Merge(fromFirst, kNow + minutes(i));
    first.Merge(second.Export(10, kNow + minutes(i)), kNow + minutes(i));
  }
  EXPECT_FALSE(first.Export(10, kNow).front().IsQuarantined());
  EXPECT_EQ(second.Export(10, kNow).front().remaining, minutes(10));
  const auto fromSecond = Lose(second, { kCrash }, rng);
  first.Merge(fromSecond, kNow);
  first.Merge(fromFirst, kNow);
  EXPECT_EQ(first.Export(10, kNow), second.Export(10, kNow));
  EXPECT_TRUE(first.Export(10, kNow).front().IsQuarantined());
}

// Guards against a quarantine without end.
TEST(QuarantineList, EntriesExpire)
{
  Rng rng(1);
  QuarantineList list(Selected());
  Lose(list, { kCrash }, rng);
  Lose(list, { kCrash }, rng);
  EXPECT_EQ(list.Check(kCrash, kLive, kNow + minutes(10)).kind,
            VerdictKind::kPass);
  EXPECT_TRUE(list.Export(10, kNow + minutes(10)).empty());
  list.Expire(kNow + minutes(10));
  EXPECT_EQ(list.Size(), 0U);
}

// Guards against unbounded memory, and against suspects displacing quarantined
// requests.
TEST(QuarantineList, SizeIsBounded)
{
  Rng rng(1);
  QuarantineLimits limits;
  limits.maxEntries = 3;
  QuarantineList list(Selected(), limits);
  Lose(list, { kCrash }, rng);
  Lose(list, { kCrash }, rng);
  Lose(list, { 1, 2, 3, 4, 5 }, rng);
  EXPECT_EQ(list.Size(), 3U);
  EXPECT_EQ(list.Check(kCrash, kLive, kNow).kind, VerdictKind::kQuarantined);
  EXPECT_TRUE(list.Export(1, kNow).front().IsQuarantined());
}

} // namespace
} // namespace wagtailbend::quarantine
