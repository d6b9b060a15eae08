// Simulated network of in-process daemons that exchange gossip datagrams in
// virtual time.
//
//   FakeNetwork network = FakeNetwork::Converged(138, seed);
//   network.NodeAt(0).swim.StartDraining();
//   network.RunFor(std::chrono::seconds(3));

#pragma once

#include <cstdlib>
#include <functional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "wagtailbend/membership/swim.h"

namespace wagtailbend::membership::testing {

struct Faults
{
  double loss = 0;
  double duplicate = 0;
  /// Fraction of datagrams that are delayed by up to two seconds.
  double late = 0;
  /// Fraction of datagrams in which one byte is changed.
  double corrupt = 0;
};

struct Node
{
  Swim swim;
  bool paused = false;
  /// Side of a network partition. Datagrams are delivered only between daemons
  /// on the same side.
  int side = 0;
  uint64_t sentBytes = 0;
  uint64_t sentDatagrams = 0;
  /// Sender and bytes of datagrams in the socket buffer of a paused daemon.
  std::vector<std::pair<std::string, std::string>> receiveBuffer{};
};

/// Copies are independent, so that tests can run many seeds from one converged
/// network.
class FakeNetwork
{
public:
  /// Returns a network of daemons that know only the first three, as seeds.
  static FakeNetwork Joining(size_t aCount, uint64_t aSeed)
  {
    FakeNetwork network(aSeed);
    for (size_t i = 0; i < aCount; ++i) {
      network.m_nodes.push_back({ network.MakeSwim(i, 1000 + i) });
      network.ScheduleTick(i);
    }
    return network;
  }

  /// Returns a network of daemons that know each other and have no pending
  /// updates.
  static FakeNetwork Converged(size_t aCount, uint64_t aSeed)
  {
    FakeNetwork network = Joining(aCount, aSeed);
    for (Node& node : network.m_nodes) {
      for (const Node& other : network.m_nodes) {
        node.swim.AddMember(other.swim.Self(), network.m_now);
      }
    }
    network.RunFor(std::chrono::seconds(60));
    return network;
  }

  static std::string NameOf(size_t aIndex)
  {
    return "daemon-" + std::to_string(aIndex);
  }
  static std::string AddressOf(size_t aIndex)
  {
    return "10.20.30." + std::to_string(aIndex) + ":17946";
  }

  Node& NodeAt(size_t aIndex) { return m_nodes[aIndex]; }
  std::vector<Node>& Nodes() { return m_nodes; }
  TimePoint Now() const { return m_now; }
  void Reseed(uint64_t aSeed) { m_rng.seed(aSeed); }
  void SetFaults(const Faults& aFaults) { m_faults = aFaults; }

  /// Replaces daemon aIndex with a new process of the same name and address.
  void Restart(size_t aIndex, uint64_t aGeneration)
  {
    m_nodes[aIndex].swim = MakeSwim(aIndex, aGeneration);
    m_nodes[aIndex].receiveBuffer.clear();
  }

  void Resume(size_t aIndex)
  {
    Node& node = m_nodes[aIndex];
    node.paused = false;
    for (const auto& [from, bytes] : std::exchange(node.receiveBuffer, {})) {
      Send(aIndex, node.swim.HandleMessage(from, bytes, m_now));
    }
  }

  void Inject(size_t aIndex, const std::string& aBytes)
  {
    Send(
      aIndex,
      m_nodes[aIndex].swim.HandleMessage("10.20.30.250:17946", aBytes, m_now));
  }

  void RunFor(Duration aDuration)
  {
    RunUntil(aDuration, [] { return false; });
  }

  /// Runs until aDone returns true; it is checked every 50 ms. Returns the time
  /// taken, or aLimit if aDone did not return true within it.
  Duration RunUntil(Duration aLimit, const std::function<bool()>& aDone)
  {
    const TimePoint start = m_now;
    for (TimePoint next = start; next <= start + aLimit; next += kTick) {
      while (!m_events.empty() && m_events.top().at <= next) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.at;
        Run(event);
      }
      m_now = next;
      if (aDone()) {
        return next - start;
      }
    }
    return aLimit;
  }

  /// Returns the number of daemons that see daemon aIndex in state aState.
  size_t CountSeeing(size_t aIndex, MemberState aState) const
  {
    size_t count = 0;
    for (const Node& node : m_nodes) {
      for (const Member& member : node.swim.Members()) {
        count +=
          member.id == m_nodes[aIndex].swim.Self().id && member.state == aState
            ? 1
            : 0;
      }
    }
    return count;
  }

  /// Returns true if every daemon sees every daemon as alive.
  bool AllAlive() const
  {
    for (const Node& node : m_nodes) {
      const std::vector<Member> members = node.swim.Members();
      size_t alive = 0;
      for (const Member& member : members) {
        alive += member.state == MemberState::kAlive ? 1 : 0;
      }
      if (alive != m_nodes.size()) {
        return false;
      }
    }
    return true;
  }

private:
  static constexpr Duration kTick = std::chrono::milliseconds(50);

  struct Event
  {
    TimePoint at;
    uint64_t sequence = 0;
    size_t node = 0;
    bool isTick = false;
    size_t from = 0;
    std::string bytes;

    bool operator<(const Event& aOther) const
    {
      return at != aOther.at ? at > aOther.at : sequence > aOther.sequence;
    }
  };

  explicit FakeNetwork(uint64_t aSeed)
    : m_rng(aSeed)
  {
  }

  Swim MakeSwim(size_t aIndex, uint64_t aGeneration)
  {
    Member self;
    self.id = { NameOf(aIndex), m_rng() };
    self.generation = aGeneration;
    self.gossipAddress = AddressOf(aIndex);
    self.peerAddress = "10.20.30." + std::to_string(aIndex) + ":17947";
    self.httpAddress = "10.20.30." + std::to_string(aIndex) + ":17948";
    self.failureDomain = "ranong";
    self.region = "andaman";
    self.service = "association.Balances";
    self.slots = 100;
    const std::vector<std::string> seeds{ AddressOf(0),
                                          AddressOf(1),
                                          AddressOf(2) };
    return { SwimConfig{}, self, seeds, m_now };
  }

  void ScheduleTick(size_t aIndex)
  {
    const Duration jitter(UniformBelow(m_rng, kTick.count()));
    m_events.push(
      { m_now + kTick / 2 + jitter, ++m_eventCount, aIndex, true, 0, {} });
  }

  void Run(const Event& aEvent)
  {
    Node& node = m_nodes[aEvent.node];
    if (aEvent.isTick) {
      if (!node.paused) {
        Send(aEvent.node, node.swim.Tick(m_now, m_rng));
      }
      ScheduleTick(aEvent.node);
      return;
    }
    if (node.paused) {
      node.receiveBuffer.emplace_back(AddressOf(aEvent.from), aEvent.bytes);
      return;
    }
    Send(aEvent.node,
         node.swim.HandleMessage(AddressOf(aEvent.from), aEvent.bytes, m_now));
  }

  void Send(size_t aFrom, const std::vector<Datagram>& aDatagrams)
  {
    for (const Datagram& datagram : aDatagrams) {
      m_nodes[aFrom].sentBytes += datagram.bytes.size() + 28;
      ++m_nodes[aFrom].sentDatagrams;
      // Addresses are "10.20.30.<index>:17946". Datagrams to indexes without a
      // node are dropped.
      const size_t to =
        std::strtoul(datagram.destination.c_str() + 9, nullptr, 10);
      if (to < m_nodes.size()) {
        Transmit(aFrom, to, datagram.bytes);
      }
    }
  }

  void Transmit(size_t aFrom, size_t aTo, std::string aBytes)
  {
    if (m_nodes[aFrom].side != m_nodes[aTo].side || Chance(m_faults.loss)) {
      return;
    }
    if (Chance(m_faults.corrupt)) {
      aBytes[UniformBelow(m_rng, aBytes.size())] ^=
        static_cast<char>(1 + UniformBelow(m_rng, 255));
    }
    const int copies = Chance(m_faults.duplicate) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const uint64_t limitUs = Chance(m_faults.late) ? 2'000'000 : 500;
      const Duration delay =
        std::chrono::microseconds(500 + UniformBelow(m_rng, limitUs));
      m_events.push(
        { m_now + delay, ++m_eventCount, aTo, false, aFrom, aBytes });
    }
  }

  bool Chance(double aProbability)
  {
    return aProbability > 0 && UniformUnit(m_rng) < aProbability;
  }

  Rng m_rng;
  Faults m_faults;
  TimePoint m_now{ std::chrono::hours(1) };
  uint64_t m_eventCount = 0;
  std::vector<Node> m_nodes;
  std::priority_queue<Event> m_events;
};

} // namespace wagtailbend::membership::testing
