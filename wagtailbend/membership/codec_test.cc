#include <google/protobuf/stubs/logging.h>
#include <gtest/gtest.h>

#include "wagtailbend/membership/gossip_codec.h"
#include "wagtailbend/membership/rendezvous.h"
#include "wagtailbend/membership/testing/fake_network.h"

namespace wagtailbend::membership {
namespace {

using testing::FakeNetwork;

Member
SampleMember()
{
  return { .id = { "daemon-1", 77 },
           .generation = 5,
           .number = 3,
           .state = MemberState::kLeft,
           .gossipAddress = "10.0.0.1:1",
           .peerAddress = "10.0.0.1:2",
           .httpAddress = "10.0.0.1:3",
           .failureDomain = "ranong",
           .region = "andaman",
           .service = "association.Balances",
           .slots = 100,
           .cold = true,
           .successor = DaemonId{ "daemon-2", 78 } };
}

// Guards against a member field that is not encoded or not decoded.
TEST(CodecTest, MemberRoundTrips)
{
  Member member = SampleMember();
  EXPECT_EQ(FromProto(ToProto(member)), member);
  member.service.reset();
  member.successor.reset();
  member.state = MemberState::kAlive;
  EXPECT_EQ(FromProto(ToProto(member)), member);
}

// Guards against received records that no daemon could refute or whose strings
// exhaust memory.
TEST(CodecTest, InvalidMembersAreRejected)
{
  const gossip::Member valid = ToProto(SampleMember());
  gossip::Member noName = valid;
  noName.mutable_id()->clear_name();
  gossip::Member noState = valid;
  noState.clear_state();
  gossip::Member highNumber = valid;
  highNumber.set_number(UINT64_MAX);
  gossip::Member longText = valid;
  longText.set_region(std::string(200, 'x'));
  for (const auto& invalid : { noName, noState, highNumber, longText }) {
    EXPECT_EQ(FromProto(invalid), std::nullopt) << invalid.ShortDebugString();
  }
}

// Guards against crashes and state changes caused by random or corrupted
// datagrams.
TEST(CodecTest, RandomAndMutatedDatagramsChangeNothing)
{
  FakeNetwork network = FakeNetwork::Converged(5, 11);
  Swim& swim = network.NodeAt(0).swim;
  Rng rng(12);
  gossip::Envelope envelope;
  envelope.set_kind(gossip::KIND_NEWS);
  *envelope.mutable_sender() = ToProto(network.NodeAt(1).swim.Self().id);
  *envelope.add_updates() = ToProto(SampleMember());
  const std::string valid = EncodeEnvelope(envelope);
  const std::vector<Member> membersBefore = swim.Members();
  constexpr int kRuns = 20'000;
  for (int i = 0; i < kRuns; ++i) {
    std::string bytes(UniformBelow(rng, 1400), '\0');
    for (char& byte : bytes) {
      byte = static_cast<char>(rng());
    }
    EXPECT_TRUE(swim.HandleMessage("a", bytes, network.Now()).empty());
    bytes = valid;
    bytes[UniformBelow(rng, bytes.size())] ^=
      static_cast<char>(1 + UniformBelow(rng, 255));
    bytes.resize(bytes.size() - UniformBelow(rng, 2) * UniformBelow(rng, 9));
    EXPECT_TRUE(swim.HandleMessage("a", bytes, network.Now()).empty());
  }
  EXPECT_EQ(swim.MalformedCount(), 2 * kRuns);
  EXPECT_EQ(swim.Members(), membersBefore);
}

// Guards against crashes caused by invalid messages that have a valid checksum.
TEST(CodecTest, MutatedMessagesWithValidChecksumDoNotCrash)
{
  const google::protobuf::LogSilencer silencer;
  FakeNetwork network = FakeNetwork::Converged(5, 13);
  Rng rng(14);
  gossip::Envelope envelope;
  envelope.set_kind(gossip::KIND_SYNC);
  *envelope.mutable_sender() = ToProto(network.NodeAt(1).swim.Self().id);
  *envelope.mutable_config() = ToProto(ConfigVersion{ 1, "c", "d" });
  envelope.add_quarantine()->set_body("body");
  for (testing::Node& node : network.Nodes()) {
    *envelope.add_updates() = ToProto(node.swim.Self());
  }
  const std::string valid = envelope.SerializeAsString();
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = valid;
    for (uint64_t flips = 1 + UniformBelow(rng, 4); flips > 0; --flips) {
      bytes[UniformBelow(rng, bytes.size())] = static_cast<char>(rng());
    }
    gossip::Envelope mutated;
    if (mutated.ParseFromString(bytes)) {
      network.Inject(i % 5, EncodeEnvelope(mutated));
    }
  }
  network.RunFor(std::chrono::seconds(10));
  EXPECT_LT(network.NodeAt(0).swim.Members().size(), 20'005);
}

// Guards against a selection that depends on the order of the members, and
// against a removal that reassigns keys of the remaining members.
TEST(RendezvousTest, RemovalReassignsOnlyKeysOfRemovedMember)
{
  std::vector<std::string> members;
  members.reserve(20);
  for (int i = 0; i < 20; ++i) {
    members.push_back(FakeNetwork::NameOf(i));
  }
  const std::vector<std::string> reversed(members.rbegin(), members.rend());
  std::vector<std::string> remaining(members.begin() + 1, members.end());
  std::vector<int> load(20);
  for (int key = 0; key < 2000; ++key) {
    const std::string text = std::to_string(key);
    const size_t first = SelectByRendezvous(text, members, 1).front();
    ++load[first];
    EXPECT_EQ(members[first],
              reversed[SelectByRendezvous(text, reversed, 1).front()]);
    if (first != 0) {
      EXPECT_EQ(members[first],
                remaining[SelectByRendezvous(text, remaining, 1).front()]);
    }
  }
  for (const int count : load) {
    EXPECT_NEAR(count, 100, 40);
  }
  EXPECT_EQ(SelectByRendezvous("key", members, 30).size(), 20);
  EXPECT_TRUE(SelectByRendezvous("key", {}, 2).empty());
}

} // namespace
} // namespace wagtailbend::membership
