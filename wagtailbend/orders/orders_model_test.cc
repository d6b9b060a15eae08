// Explicit-state model check of the production HomeTable and ExecutorTable. A
// breadth-first search covers all interleavings for one ticket, two target
// daemons of which one restarts, a home that crashes or hands over to a
// successor, and a network that loses, duplicates and delays messages.

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

// Faults that a search includes. Searches with fewer faults narrow down which
// faults cause a violation.
struct Faults
{
  const char* name;
  bool targetRestart;
  bool homeCrash;
  bool handOver;
  bool expiry;
};

// Sent messages are never removed. Since each may be delivered never, late or
// repeatedly, this covers loss, delay and duplication. Responses of an order
// that ran and ConfirmNotStarted requests need no record of being sent: they
// may arrive at any time.
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
  bool reportedNotRun = false;
  bool reportedRan = false;
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

// Encodes all parts of the state that influence later behaviour.
std::string
EncodeState(const State& aState)
{
  std::string key;
  const auto add = [&key](auto aValue) { key += static_cast<char>(aValue); };
  add(aState.runs);
  add(aState.reportedNotRun);
  add(aState.reportedRan);
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
      m_current = std::move(m_queue.front().first);
      m_currentKey = std::move(m_queue.front().second);
      m_queue.pop_front();
      Expand();
    }
  }

  const std::string& Violation() const { return m_violation; }
  size_t StateCount() const { return m_parents.size(); }
  size_t StatesWithRun() const { return m_withRun; }
  size_t StatesReportedNotRun() const { return m_reportedNotRun; }

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
    std::string key = EncodeState(aState);
    const Parent parent{ std::move(aFrom), aStep, aSubject };
    if (!m_parents.emplace(key, parent).second) {
      return;
    }
    m_withRun += aState.runs > 0 ? 1 : 0;
    m_reportedNotRun += aState.reportedNotRun ? 1 : 0;
    const bool violated = aState.runs > 1 ||
                          (aState.reportedNotRun && aState.runs > 0) ||
                          (aState.reportedRan && aState.runs == 0);
    if (violated && m_violation.empty()) {
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

  // Applies aChange to a copy of the current state and visits the result.
  template<typename Change>
  void ApplyStep(const char* aStep, size_t aSubject, Change aChange)
  {
    State next = m_current;
    aChange(next);
    Visit(std::move(next), aStep, aSubject, m_currentKey);
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
    for (size_t i = 0; i < m_current.executors.size(); ++i) {
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
    ApplyStep("caller sends to home", aHome, [=](State& aNext) {
      const BeginDecision begin =
        aNext.homes[aHome].Begin(kTicket, kPayload, Now(aNext, aHome));
      const bool rejected = begin.kind == BeginKind::kReject;
      aNext.reportedNotRun |=
        rejected &&
        ErrorResponseFor(begin.error.kind).runState == RunState::kNotRun;
      aNext.reportedRan |=
        begin.kind == BeginKind::kReplay ||
        (rejected && begin.error.kind == ErrorKind::kAlreadyRan);
    });
  }

  // Membership information may be stale, so a home may grant to the earlier
  // incarnation.
  void ExpandHome(size_t aHome)
  {
    for (size_t i = 0; i < kTargets.size(); ++i) {
      if (i == 1 && m_current.executors[0].Self() != kTargets[1]) {
        continue;
      }
      ApplyStep("grant to target", i, [=](State& aNext) {
        aNext.grantSent[i] |=
          IsOk(aNext.homes[aHome].GrantTo(kTicket, kTargets[i]));
      });
    }
    ApplyStep("finish as not run at home", aHome, [=](State& aNext) {
      aNext.reportedNotRun |= aNext.homes[aHome].FinishNotRun(kTicket);
    });
  }

  void ExpandHomeFaults(size_t aHome)
  {
    if (m_faults.handOver) {
      ApplyStep("relinquish at home", aHome, [=](State& aNext) {
        aNext.reportedNotRun |= !aNext.homes[aHome].Relinquish().empty();
      });
    }
    if (m_faults.expiry && !m_current.expired[aHome]) {
      ApplyStep("expire at home", aHome, [=](State& aNext) {
        aNext.expired[aHome] = true;
        aNext.homes[aHome].Expire(kExpired);
      });
    }
    if (m_faults.homeCrash && m_current.homes[aHome].Self() == kHomes[aHome]) {
      ApplyStep("crash and restart of home", aHome, [=](State& aNext) {
        aNext.homes[aHome] = HomeTable({ kHomes[aHome].name, 2 });
        // The new incarnation issues the same block numbers.
        EXPECT_TRUE(IsOk(aNext.homes[aHome].IssueBlock(kStart)));
      });
    }
  }

  // Any home may receive any response, or lose the connection, at any time.
  void ExpandReplies(size_t aHome)
  {
    const auto receive =
      [&](const char* aStep, size_t aTarget, Outcome aOutcome) {
        ApplyStep(aStep, aTarget, [&](State& aNext) {
          aNext.homes[aHome].OnOutcome(
            { kTicket, kTargets[aTarget] }, aOutcome, Now(aNext, aHome));
        });
      };
    for (size_t i = 0; i < kTargets.size(); ++i) {
      receive("connection lost to target", i, UnknownOutcome{});
      if (m_current.ranAt[i]) {
        receive(
          "response of target that ran it", i, RanOutcome{ { 0, "done" } });
      }
      if (m_current.notStartedSent[i]) {
        receive("response not started from target", i, NotStartedOutcome{});
      }
    }
  }

  // The old home may export at any time; the table may arrive repeatedly.
  void ExpandHandOver()
  {
    if (m_current.homes[0].Self() == kHomes[0]) {
      ApplyStep("export from home", 0, [](State& aNext) {
        auto table = aNext.homes[0].Export(kHomes[1], Now(aNext, 0));
        ASSERT_TRUE(IsOk(table));
        aNext.handOver = TakeValue(std::move(table));
      });
    }
    if (!m_current.handOver.homes.empty()) {
      ApplyStep("import at home", 1, [](State& aNext) {
        (void)aNext.homes[1].Import(aNext.handOver, Now(aNext, 1));
      });
    }
  }

  void ExpandExecutor(size_t aExecutor)
  {
    const size_t firstTarget = aExecutor == 0 ? 0 : 2;
    const size_t lastTarget = aExecutor == 0 ? 1 : 2;
    const bool second = m_current.executors[aExecutor].Self().incarnation == 2;
    const size_t self = second ? 1 : firstTarget;
    ApplyStep("start at target", self, [=](State& aNext) {
      if (aNext.executors[aExecutor].Start(kTicket)) {
        aNext.runs += 1;
        aNext.ranAt[self] = true;
      }
    });
    ApplyStep("reject before start at target", self, [=](State& aNext) {
      aNext.notStartedSent[self] |=
        aNext.executors[aExecutor].RejectBeforeStart(kTicket);
    });
    if (m_faults.targetRestart && aExecutor == 0 && !second) {
      ApplyStep("restart of target", self, [=](State& aNext) {
        aNext.executors[0] = ExecutorTable(kTargets[1]);
      });
    }
    for (size_t addressed = firstTarget; addressed <= lastTarget; ++addressed) {
      if (m_current.grantSent[addressed]) {
        DeliverRequests(aExecutor, addressed);
      }
    }
  }

  // A request addressed to any incarnation reaches the current one.
  void DeliverRequests(size_t aExecutor, size_t aAddressed)
  {
    ApplyStep("grant arrives for target", aAddressed, [=](State& aNext) {
      const auto decision = aNext.executors[aExecutor].OnGrant(
        kTicket, kTargets[aAddressed], kStart);
      aNext.notStartedSent[aAddressed] |=
        decision == GrantDecision::kNotStarted;
    });
    ApplyStep("confirmation asked of target", aAddressed, [=](State& aNext) {
      const auto decision = aNext.executors[aExecutor].ConfirmNotStarted(
        kTicket, kTargets[aAddressed], kStart);
      aNext.notStartedSent[aAddressed] |=
        decision == GrantDecision::kNotStarted;
    });
  }

  Faults m_faults;
  State m_current;
  std::string m_currentKey;
  std::deque<std::pair<State, std::string>> m_queue;
  std::unordered_map<std::string, Parent> m_parents;
  std::string m_violation;
  size_t m_withRun = 0;
  size_t m_reportedNotRun = 0;
};

class OrdersModel : public ::testing::TestWithParam<Faults>
{};

// Guards against running an order twice, and against reporting "not run" for an
// order that ran or runs later, in any interleaving.
TEST_P(OrdersModel, RunsAtMostOnceAndNotRunIsCorrect)
{
  Explorer explorer(GetParam());
  explorer.Run();
  EXPECT_EQ(explorer.Violation(), "");
  // Both final results must be reachable, or the search proves nothing.
  EXPECT_GT(explorer.StatesWithRun(), 0U);
  EXPECT_GT(explorer.StatesReportedNotRun(), 0U);
  std::cout << fmt::format("{}: states={} with_run={} told_not_run={}\n",
                           GetParam().name,
                           explorer.StateCount(),
                           explorer.StatesWithRun(),
                           explorer.StatesReportedNotRun());
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
