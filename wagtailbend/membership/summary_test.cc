#include "wagtailbend/membership/summary.h"

#include <set>

#include <gtest/gtest.h>

#include "wagtailbend/membership/gossip_codec.h"

namespace wagtailbend::membership {
namespace {

using std::chrono::seconds;

constexpr TimePoint kStart{ std::chrono::hours(1) };

std::vector<Member>
MakeMembers(int aCount)
{
  std::vector<Member> members(aCount);
  for (int i = 0; i < aCount; ++i) {
    members[i].id = { "daemon-" + std::to_string(i), 1 };
    members[i].peerAddress = "10.0.0." + std::to_string(i) + ":2";
    members[i].failureDomain = "ranong";
    members[i].region = "andaman";
    members[i].service = i % 2 == 0 ? "Balances" : "Payouts";
    members[i].slots = 100;
  }
  return members;
}

// Guards against reporting capacity that does not exist, against contacts that
// cannot take requests, and against fields lost in encoding.
TEST(SummaryTest, CountsOnlyTargetsThatAcceptRequests)
{
  std::vector<Member> members = MakeMembers(16);
  members[0].state = MemberState::kDraining;
  members[2].state = MemberState::kDead;
  members[4].failureDomain = "phuket";
  members[6].service.reset();
  members[8].state = MemberState::kSuspect;
  const DomainSummary summary =
    BuildSummary(members[1], 1, members, { { "Balances", 0.5 } });
  const ServiceSummary& balances = summary.services.at("Balances");
  EXPECT_EQ(balances.liveTargets, 4);
  EXPECT_EQ(balances.slots, 400);
  EXPECT_EQ(balances.load, 0.5);
  EXPECT_EQ(balances.contacts.size(), kContactsPerService);
  EXPECT_EQ(summary.services.at("Payouts").liveTargets, 8);
  EXPECT_EQ(FromProto(ToProto(summary, kStart), kStart), summary);
}

// Guards against always selecting the same daemons as contacts, which would put
// the load on a few of them.
TEST(SummaryTest, ContactsRotate)
{
  const std::vector<Member> members = MakeMembers(16);
  std::set<std::string> seen;
  for (uint64_t freshness = 0; freshness < 1000; ++freshness) {
    const DomainSummary summary =
      BuildSummary(members[0], freshness, members, {});
    for (const Contact& contact : summary.services.at("Balances").contacts) {
      seen.insert(contact.peerAddress);
    }
  }
  EXPECT_EQ(seen.size(), 8);
}

// Guards against no daemon, or too many daemons, exchanging summaries after
// members die.
TEST(SummaryTest, TwoLiveDaemonsExchangeWithTwoContacts)
{
  std::vector<Member> members = MakeMembers(50);
  for (int round = 0; round < 10; ++round) {
    std::vector<size_t> exchangers;
    for (size_t i = 0; i < members.size(); ++i) {
      if (IsLive(members[i]) && IsExchanger(members[i], members)) {
        exchangers.push_back(i);
      }
    }
    ASSERT_EQ(exchangers.size(), kExchangersPerDomain);
    members[exchangers.front()].state = MemberState::kDead;
  }
  const DomainSummary summary = BuildSummary(members[0], 1, members, {});
  EXPECT_EQ(ExchangeContacts(members[1], summary).size(), kExchangeContacts);
}

// Guards against an older summary replacing a newer one from the same sender,
// also after the newer one has expired.
TEST(SummaryTest, MergeRejectsStaleSummariesPerSender)
{
  const std::vector<Member> members = MakeMembers(4);
  SummaryTable table;
  const auto merge = [&](size_t aSender, uint64_t aFreshness, int aSecond) {
    return table.Merge(BuildSummary(members[aSender], aFreshness, members, {}),
                       kStart + seconds(aSecond));
  };
  EXPECT_TRUE(merge(0, 5, 0));
  EXPECT_FALSE(merge(0, 5, 1));
  EXPECT_FALSE(merge(0, 4, 1));
  EXPECT_TRUE(merge(1, 1, 1)) << "counters of two senders are independent";
  EXPECT_EQ(table.Latest("ranong")->sender, members[1].id);
  EXPECT_FALSE(table.Expire(kStart + seconds(10)));
  EXPECT_TRUE(table.Expire(kStart + seconds(11)));
  EXPECT_EQ(table.Latest("ranong"), nullptr);
  EXPECT_FALSE(merge(0, 5, 12));
  EXPECT_TRUE(table.All().empty());
  EXPECT_TRUE(merge(0, 6, 12));
}

} // namespace
} // namespace wagtailbend::membership
