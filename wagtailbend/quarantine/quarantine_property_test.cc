// Random histories of a request that crashes every target, sent again through
// all daemons while gossip is delayed by up to one round.

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "wagtailbend/quarantine/quarantine_list.h"

namespace wagtailbend::quarantine {
namespace {

constexpr uint64_t kCrash = 77;
constexpr uint64_t kRoundMs = 3000;

class Simulation
{
public:
  // aVmDies: a trial takes the target's daemon down as well.
  Simulation(uint64_t aSeed, size_t aDaemons, bool aVmDies)
    : m_rng(aSeed)
    , m_vmDies(aVmDies)
  {
    for (size_t i = 0; i < aDaemons; ++i) {
      m_live.push_back({ fmt::format("daemon{}", i), 1 });
      m_lists.emplace_back(m_live.back());
    }
  }

  // Sends one request and, once it is answered, aCopies at the same time, each
  // of which is sent again aResends times.
  void Run(size_t aCopies, size_t aResends)
  {
    Send([this, aCopies, aResends] {
      for (size_t i = 0; i < aCopies; ++i) {
        SendRepeatedly(aResends);
      }
    });
    while (!m_events.empty()) {
      auto event = m_events.extract(m_events.begin());
      m_now = event.key();
      event.mapped()();
    }
  }

  size_t Losses() const { return m_losses; }

private:
  using Action = std::function<void()>;

  void At(Duration aDelay, Action aAction)
  {
    m_events.emplace(m_now + aDelay, std::move(aAction));
  }

  Duration RandomDelay(uint64_t aMaxMs)
  {
    return std::chrono::milliseconds(UniformBelow(m_rng, aMaxMs + 1));
  }

  void SendRepeatedly(size_t aResends)
  {
    Send([this, aResends] {
      if (aResends > 0) {
        SendRepeatedly(aResends - 1);
      }
    });
  }

  // aAnswered runs when the sender has the answer.
  void Send(Action aAnswered)
  {
    At(RandomDelay(5000), [this, aAnswered = std::move(aAnswered)] {
      const size_t entry = UniformBelow(m_rng, m_lists.size());
      const Verdict verdict = m_lists[entry].Check(kCrash, m_live, m_now);
      size_t to = entry;
      switch (verdict.kind) {
        case VerdictKind::kQuarantined:
          At(RandomDelay(10), aAnswered);
          return;
        case VerdictKind::kPass:
          to = UniformBelow(m_rng, m_lists.size());
          break;
        case VerdictKind::kTrialElsewhere:
          to = IndexOf(verdict.trialDaemon);
          break;
        case VerdictKind::kTrialHere:
          break;
      }
      At(RandomDelay(100),
         [this, to, entry, aAnswered] { Arrive(to, entry, aAnswered); });
    });
  }

  // The ingress decides again.
  void Arrive(size_t aAt, size_t aEntry, const Action& aAnswered)
  {
    QuarantineList& list = m_lists[aAt];
    const Verdict verdict = list.Check(kCrash, m_live, m_now);
    const bool trial = verdict.kind == VerdictKind::kTrialHere &&
                       list.BeginTrial(kCrash, m_live, m_now);
    if (!trial && verdict.kind != VerdictKind::kPass) {
      At(RandomDelay(10), aAnswered);
      return;
    }
    At(RandomDelay(2000), [this, aAt, aEntry, trial, aAnswered] {
      if (trial && m_vmDies) {
        LoseVm(aAt, aEntry, aAnswered);
      } else {
        Lose(aAt, aAnswered);
      }
    });
  }

  void Lose(size_t aAt, const Action& aAnswered)
  {
    ++m_losses;
    const std::vector<uint64_t> inFlight = { kCrash };
    const auto news = m_lists[aAt].OnTargetLost(inFlight, m_now, m_rng);
    Announce(news, aAnswered);
  }

  // The daemon restarts without its list; the sender's entry daemon sees the
  // connection break, unless it is the one that died.
  void LoseVm(size_t aAt, size_t aEntry, const Action& aAnswered)
  {
    ++m_losses;
    m_live[aAt].incarnation += 1;
    m_lists[aAt] = QuarantineList(m_live[aAt]);
    if (aEntry == aAt) {
      return;
    }
    Announce({ m_lists[aEntry].OnTrialConnectionLost(kCrash, m_now, m_rng) },
             aAnswered);
  }

  void Announce(const std::vector<Entry>& aNews, const Action& aAnswered)
  {
    for (QuarantineList& list : m_lists) {
      At(RandomDelay(kRoundMs - 1),
         [this, &list, aNews] { list.Merge(aNews, m_now); });
    }
    At(m_lists.front().ReplyNotBefore(m_now) - m_now, aAnswered);
  }

  size_t IndexOf(const DaemonId& aId) const
  {
    return std::ranges::find(m_live, aId) - m_live.begin();
  }

  Rng m_rng;
  bool m_vmDies;
  TimePoint m_now;
  std::vector<DaemonId> m_live;
  std::vector<QuarantineList> m_lists;
  std::multimap<TimePoint, Action> m_events;
  size_t m_losses = 0;
};

// Guards against a third lost target when a sender, after its first answer,
// sends concurrent copies through all daemons.
TEST(QuarantineProperty, AtMostTwoTargetsLost)
{
  // A fixed seed, unless the caller sets another.
  ::setenv("RC_PARAMS", "seed=20261204 max_success=1000", 0);
  EXPECT_TRUE(rc::check([] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const auto daemons = *rc::gen::inRange<size_t>(1, 20);
    const auto copies = *rc::gen::inRange<size_t>(1, 20);
    const auto resends = *rc::gen::inRange<size_t>(0, 5);
    Simulation simulation(seed, daemons, false);
    simulation.Run(copies, resends);
    RC_CLASSIFY(simulation.Losses() == 2, "two targets lost");
    RC_ASSERT(simulation.Losses() <= kMaxLosses);
  }));
}

// Guards against a trial daemon that dies with its target being replaced by
// the next one, when the sender waits for each answer.
TEST(QuarantineProperty, DeathOfTheTrialDaemonCounts)
{
  ::setenv("RC_PARAMS", "seed=20261204 max_success=1000", 0);
  EXPECT_TRUE(rc::check([] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const auto daemons = *rc::gen::inRange<size_t>(2, 20);
    Simulation simulation(seed, daemons, true);
    simulation.Run(1, 5);
    RC_CLASSIFY(simulation.Losses() == 2, "two targets lost");
    RC_ASSERT(simulation.Losses() <= kMaxLosses);
  }));
}

} // namespace
} // namespace wagtailbend::quarantine
