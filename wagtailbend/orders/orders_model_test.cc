// Explicit-state check of the real HomeTable and ExecutorTable: breadth-first
// over all interleavings of one ticket, two target daemons of which one
// restarts, a home that crashes or hands over to a successor, and a network
// that loses, duplicates and delays.

#include <array>
#include <deque>
#include <iostream>
#include <unordered_map>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "wagtailbend/orders/executor_table.h"
#include "wagtailbend/orders/home_table.h"

namespace wagtailbend::orders {
namespace {

constexpr uint64_t kPayload = 7;
constexpr TimePoint kStart{};
constexpr TimePoint kExpired = kStart + std::chrono::minutes(11);
const std::array<DaemonId, 2> kHomes{ { { "home", 1 }, { "next", 1 } } };
/// The first two are incarnations of the same daemon.
const std::array<DaemonId, 3> kTargets{
  { { "a", 1 }, { "a", 2 }, { "b", 1 } }
};
const Ticket kTicket{ kHomes[0], 0, 0 };

// Which faults a run of the search includes. The smaller searches show which
// faults a violation needs.
struct Faults
{
  const char* name;
  bool targetRestart;
  bool homeCrash;
  bool handOver;
  bool expiry;
};

// Messages are never removed: delivering one never, late or again covers loss,
// delay and duplication. A reply "ran" or a confirmation request may always be
// on its way, so these are not recorded.
struct State
{
  std::vector<HomeTable> homes;
  std::vector<ExecutorTable> executors;
  std::array<bool, 2> expired{};
  std::array<bool, 3> grantSent{};
  std::array<bool, 3> notStartedSent{};
  std::array<bool, 3> ranAt{};
  HandOverTable handOver;
  int runs = 0;
  bool toldNotRun = false;
  bool toldRan = false;
};

State
InitialState()
{
  State state;
  for (const DaemonId& home : kHomes) {
    state.homes.emplace_back(home);
  }
  state.executors.emplace_back(kTargets[0]);
  state.executors.emplace_back(kTargets[2]);
  EXPECT_TRUE(IsOk(state.homes[0].IssueBlock(kStart)));
  return state;
}

// Everything on which later behaviour depends.
std::string
KeyOf(const State& aState)
{
  std::string key;
  const auto add = [&key](auto aValue) { key += static_cast<char>(aValue); };
  add(aState.runs);
  add(aState.toldNotRun);
  add(aState.toldRan);
  for (size_t i = 0; i < kHomes.size(); ++i) {
    const auto status = aState.homes[i].Lookup(kTicket);
    add(aState.homes[i].Self().incarnation);
    add(aState.homes[i].IsRelinquished());
    add(aState.expired[i]);
    add(status.has_value());
    add(status ? status->result : TicketResult::kOpen);
    add(status && status->running);
    const DaemonId target = status ? status->grantedTo : DaemonId{};
    add(target.name.empty() ? 0 : target.name[0]);
    add(target.incarnation);
  }
  for (const ExecutorTable& executor : aState.executors) {
    add(executor.Self().incarnation);
    add(executor.StateOf(kTicket));
  }
  for (size_t i = 0; i < kTargets.size(); ++i) {
    add(aState.grantSent[i]);
    add(aState.notStartedSent[i]);
    add(aState.ranAt[i]);
  }
  for (const HandOverTable::Home& home : aState.handOver.homes) {
    add(home.blocks.front().results.Get(0));
    add(home.blocks.front().remaining > Duration::zero());
  }
  return key;
}

class Explorer
{
public:
  explicit Explorer(Faults aFaults)
    : m_faults(aFaults)
  {
  }

  void Run()
  {
    Visit(InitialState(), "start", 0, "");
    while (!m_queue.empty() && m_violation.empty()) {
      m_from = std::move(m_queue.front().first);
      m_fromKey = std::move(m_queue.front().second);
      m_queue.pop_front();
      Expand();
    }
  }

  const std::string& Violation() const { return m_violation; }
  size_t StateCount() const { return m_parents.size(); }
  size_t StatesWithRun() const { return m_withRun; }
  size_t StatesToldNotRun() const { return m_toldNotRun; }

private:
  struct Parent
  {
    std::string key;
    const char* step;
    size_t subject;
  };

  void Visit(State aState,
             const char* aStep,
             size_t aSubject,
             std::string aFrom)
  {
    std::string key = KeyOf(aState);
    const Parent parent{ std::move(aFrom), aStep, aSubject };
    if (!m_parents.emplace(key, parent).second) {
      return;
    }
    m_withRun += aState.runs > 0 ? 1 : 0;
    m_toldNotRun += aState.toldNotRun ? 1 : 0;
    const bool broken = aState.runs > 1 ||
                        (aState.toldNotRun && aState.runs > 0) ||
                        (aState.toldRan && aState.runs == 0);
    if (broken && m_violation.empty()) {
      m_violation = Trace(key);
    }
    m_queue.emplace_back(std::move(aState), std::move(key));
  }

  std::string Trace(const std::string& aKey) const
  {
    std::string trace;
    for (std::string at = aKey; !at.empty(); at = m_parents.at(at).key) {
      const Parent& parent = m_parents.at(at);
      trace = fmt::format("{} {}; {}", parent.step, parent.subject, trace);
    }
    return trace;
  }

  // Applies aChange to a copy of the current state and queues the result.
  template<typename Change>
  void Try(const char* aStep, size_t aSubject, Change aChange)
  {
    State next = m_from;
    aChange(next);
    Visit(std::move(next), aStep, aSubject, m_fromKey);
  }

  void Expand()
  {
    for (size_t i = 0; i < kHomes.size(); ++i) {
      if (i == 0 || m_faults.handOver) {
        ExpandCaller(i);
        ExpandHome(i);
        ExpandHomeFaults(i);
        ExpandReplies(i);
      }
    }
    if (m_faults.handOver) {
      ExpandHandOver();
    }
    for (size_t i = 0; i < m_from.executors.size(); ++i) {
      ExpandExecutor(i);
    }
  }

  static TimePoint Now(const State& aState, size_t aHome)
  {
    return aState.expired[aHome] ? kExpired : kStart;
  }

  // The caller sends the order to any home at any time, any number of times.
  void ExpandCaller(size_t aHome)
  {
    Try("caller sends to home", aHome, [=](State& aNext) {
      const BeginDecision begin =
        aNext.homes[aHome].Begin(kTicket, kPayload, Now(aNext, aHome));
      const bool rejected = begin.kind == BeginKind::kReject;
      aNext.toldNotRun |=
        rejected && AnswerFor(begin.error.kind).runState == RunState::kNotRun;
      aNext.toldRan |= begin.kind == BeginKind::kReplay ||
                       (rejected && begin.error.kind == ErrorKind::kAlreadyRan);
    });
  }

  // Membership may lag, so a home may grant to the earlier incarnation.
  void ExpandHome(size_t aHome)
  {
    for (size_t i = 0; i < kTargets.size(); ++i) {
      if (i == 1 && m_from.executors[0].Self() != kTargets[1]) {
        continue;
      }
      Try("grant to target", i, [=](State& aNext) {
        aNext.grantSent[i] |=
          IsOk(aNext.homes[aHome].GrantTo(kTicket, kTargets[i]));
      });
    }
    Try("finish as not run at home", aHome, [=](State& aNext) {
      aNext.toldNotRun |= aNext.homes[aHome].FinishNotRun(kTicket);
    });
  }

  void ExpandHomeFaults(size_t aHome)
  {
    if (m_faults.handOver) {
      Try("relinquish at home", aHome, [=](State& aNext) {
        aNext.toldNotRun |= !aNext.homes[aHome].Relinquish().empty();
      });
    }
    if (m_faults.expiry && !m_from.expired[aHome]) {
      Try("expire at home", aHome, [=](State& aNext) {
        aNext.expired[aHome] = true;
        aNext.homes[aHome].Expire(kExpired);
      });
    }
    if (m_faults.homeCrash && m_from.homes[aHome].Self() == kHomes[aHome]) {
      Try("crash and restart of home", aHome, [=](State& aNext) {
        aNext.homes[aHome] = HomeTable({ kHomes[aHome].name, 2 });
        // The new incarnation issues the same block numbers.
        EXPECT_TRUE(IsOk(aNext.homes[aHome].IssueBlock(kStart)));
      });
    }
  }

  // Any home may receive any reply, or lose the connection, at any time.
  void ExpandReplies(size_t aHome)
  {
    const auto reply =
      [&](const char* aStep, size_t aTarget, Outcome aOutcome) {
        Try(aStep, aTarget, [&](State& aNext) {
          aNext.homes[aHome].OnOutcome(
            { kTicket, kTargets[aTarget] }, aOutcome, Now(aNext, aHome));
        });
      };
    for (size_t i = 0; i < kTargets.size(); ++i) {
      reply("connection lost to target", i, MayHaveRun{});
      if (m_from.ranAt[i]) {
        reply("reply ran from target", i, Ran{ { 0, "done" } });
      }
      if (m_from.notStartedSent[i]) {
        reply("reply not started from target", i, NotStarted{});
      }
    }
  }

  // The old home exports at any time; the table may arrive repeatedly.
  void ExpandHandOver()
  {
    if (m_from.homes[0].Self() == kHomes[0]) {
      Try("export from home", 0, [](State& aNext) {
        auto table = aNext.homes[0].Export(kHomes[1], Now(aNext, 0));
        ASSERT_TRUE(IsOk(table));
        aNext.handOver = TakeValue(std::move(table));
      });
    }
    if (!m_from.handOver.homes.empty()) {
      Try("import at home", 1, [](State& aNext) {
        (void)aNext.homes[1].Import(aNext.handOver, Now(aNext, 1));
      });
    }
  }

  void ExpandExecutor(size_t aAt)
  {
    const size_t firstTarget = aAt == 0 ? 0 : 2;
    const size_t lastTarget = aAt == 0 ? 1 : 2;
    const bool second = m_from.executors[aAt].Self().incarnation == 2;
    const size_t self = second ? 1 : firstTarget;
    Try("start at target", self, [=](State& aNext) {
      if (aNext.executors[aAt].Start(kTicket)) {
        aNext.runs += 1;
        aNext.ranAt[self] = true;
      }
    });
    Try("reject before start at target", self, [=](State& aNext) {
      aNext.notStartedSent[self] |=
        aNext.executors[aAt].RejectBeforeStart(kTicket);
    });
    if (m_faults.targetRestart && aAt == 0 && !second) {
      Try("restart of target", self, [=](State& aNext) {
        aNext.executors[0] = ExecutorTable(kTargets[1]);
      });
    }
    for (size_t to = firstTarget; to <= lastTarget; ++to) {
      if (m_from.grantSent[to]) {
        DeliverRequests(aAt, to);
      }
    }
  }

  // A request for any incarnation reaches the one that is there now.
  void DeliverRequests(size_t aAt, size_t aTo)
  {
    Try("grant arrives for target", aTo, [=](State& aNext) {
      const auto decision =
        aNext.executors[aAt].OnGrant(kTicket, kTargets[aTo], kStart);
      aNext.notStartedSent[aTo] |= decision == GrantDecision::kNotStarted;
    });
    Try("confirmation asked of target", aTo, [=](State& aNext) {
      const auto decision =
        aNext.executors[aAt].ConfirmNotStarted(kTicket, kTargets[aTo], kStart);
      aNext.notStartedSent[aTo] |= decision == GrantDecision::kNotStarted;
    });
  }

  Faults m_faults;
  State m_from;
  std::string m_fromKey;
  std::deque<std::pair<State, std::string>> m_queue;
  std::unordered_map<std::string, Parent> m_parents;
  std::string m_violation;
  size_t m_withRun = 0;
  size_t m_toldNotRun = 0;
};

class OrdersModel : public ::testing::TestWithParam<Faults>
{};

// Guards against a second run, and against "not run" being reported for an
// order that ran or later runs, in any interleaving.
TEST_P(OrdersModel, RunsAtMostOnceAndNotRunIsTrue)
{
  Explorer explorer(GetParam());
  explorer.Run();
  EXPECT_EQ(explorer.Violation(), "");
  // The search must have reached both kinds of ending.
  EXPECT_GT(explorer.StatesWithRun(), 0U);
  EXPECT_GT(explorer.StatesToldNotRun(), 0U);
  std::cout << fmt::format("{}: states={} with_run={} told_not_run={}\n",
                           GetParam().name,
                           explorer.StateCount(),
                           explorer.StatesWithRun(),
                           explorer.StatesToldNotRun());
}

INSTANTIATE_TEST_SUITE_P(
  Faults,
  OrdersModel,
  ::testing::Values(Faults{ "crash_restart_expiry", true, true, false, true },
                    Faults{ "hand_over", false, false, true, false },
                    Faults{ "all", true, true, true, true }),
  [](const auto& aInfo) { return std::string(aInfo.param.name); });

} // namespace
} // namespace wagtailbend::orders
