#include <atomic>
#include <deque>
#include <sstream>
#include <thread>

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "wagtailbend/admission/admission.h"

namespace wagtailbend::admission {
namespace {

using schema::Kind;
using std::chrono::microseconds;
using std::chrono::milliseconds;

struct Client
{
  AdmissionRequest request;
  int decisions = 0;
  bool queued = false;
};

// Applies random load to one target and checks every decision.
class RandomLoadChecker
{
public:
  RandomLoadChecker(uint32_t aSlots, uint64_t aSeed)
    : m_admission({ .slots = aSlots, .reservesOrderSlots = true })
    , m_slots(aSlots)
    , m_rng(aSeed)
  {
  }

  void Step()
  {
    // Several operations share a time stamp, so that the test covers
    // simultaneous operations.
    if (UniformBelow(m_rng, 3) == 0) {
      m_now += microseconds(UniformBelow(m_rng, 4000));
      m_orderRejected = false;
      m_lowestAdmittedLookup = schema::kMaxPriority + 1;
    }
    const uint64_t action = UniformBelow(m_rng, 100);
    if (action < 60) {
      Submit();
    } else if (action < 95 && !m_running.empty()) {
      Complete(UniformBelow(m_rng, m_running.size()));
    } else if (action < 98) {
      Deliver(m_admission.Poll(m_now, m_rng));
    } else {
      CancelOldest();
    }
    RC_ASSERT(m_admission.State().inFlight == m_running.size());
    RC_ASSERT(m_running.size() <= m_slots);
    RC_ASSERT(
      !(m_orderRejected && m_lowestAdmittedLookup < schema::kMaxPriority));
  }

  void Drain()
  {
    while (!m_running.empty()) {
      m_now += milliseconds(1);
      Complete(0);
    }
    m_now += std::chrono::seconds(100);
    Deliver(m_admission.Poll(m_now, m_rng));
    for (const Client& client : m_clients) {
      RC_ASSERT(client.decisions == 1);
    }
    RC_ASSERT(m_admission.State().queued == 0U);
  }

private:
  void Submit()
  {
    const uint64_t kind = UniformBelow(m_rng, 10);
    Client& client = m_clients.emplace_back();
    AdmissionRequest& request = client.request;
    request.kind = kind < 2   ? Kind::kOrder
                   : kind < 4 ? Kind::kBulk
                              : Kind::kLookup;
    request.method = request.kind == Kind::kOrder  ? "/s/Order"
                     : request.kind == Kind::kBulk ? "/s/Bulk"
                                                   : "/s/Lookup";
    request.priority = request.kind == Kind::kOrder
                         ? schema::kMaxPriority
                         : static_cast<uint32_t>(UniformBelow(m_rng, 9));
    request.nested =
      request.kind == Kind::kLookup && UniformBelow(m_rng, 3) == 0;
    request.deadline = m_now + microseconds(UniformBelow(m_rng, 120'000));
    request.waiter = &client;
    const AdmissionDecision decision =
      m_admission.Submit(request, m_now, m_rng);
    if (const auto* slot = std::get_if<Slot>(&decision)) {
      OnAdmitted(client, *slot);
    } else if (const auto* rejection = std::get_if<Rejection>(&decision)) {
      OnRejected(client, *rejection);
    } else {
      client.queued = true;
      m_queuedOrders += request.kind == Kind::kOrder ? 1 : 0;
      m_queuedRequests.emplace_back(&client, std::get<QueueHandle>(decision));
    }
  }

  void Complete(size_t aIndex)
  {
    const Slot slot = m_running[aIndex];
    m_running[aIndex] = m_running.back();
    m_running.pop_back();
    Deliver(m_admission.Complete(
      slot,
      UniformBelow(m_rng, 8) == 0 ? RunResult::kFailed : RunResult::kCompleted,
      m_now,
      m_rng));
  }

  void CancelOldest()
  {
    if (m_queuedRequests.empty()) {
      return;
    }
    const auto [client, queuedRequest] = m_queuedRequests.front();
    m_queuedRequests.pop_front();
    // A client whose request was already decided must not get a second
    // decision.
    if (m_admission.Cancel(queuedRequest)) {
      OnDequeued(*client);
    }
  }

  void Deliver(const std::vector<Wakeup>& aWakeups)
  {
    for (const Wakeup& wakeup : aWakeups) {
      Client& client = *static_cast<Client*>(wakeup.waiter);
      RC_ASSERT(client.queued);
      OnDequeued(client);
      client.decisions--;
      if (const auto* slot = std::get_if<Slot>(&wakeup.decision)) {
        RC_ASSERT(m_now < client.request.deadline);
        OnAdmitted(client, *slot);
      } else {
        OnRejected(client, std::get<Rejection>(wakeup.decision));
      }
    }
  }

  void OnDequeued(Client& aClient)
  {
    aClient.queued = false;
    aClient.decisions++;
    m_queuedOrders -= aClient.request.kind == Kind::kOrder ? 1 : 0;
  }

  void OnAdmitted(Client& aClient, const Slot& aSlot)
  {
    aClient.decisions++;
    m_running.push_back(aSlot);
    if (aClient.request.kind == Kind::kOrder) {
      return;
    }
    // Stricter than requirement R2: no order waits while another request
    // starts.
    RC_ASSERT(m_queuedOrders == 0);
    m_lowestAdmittedLookup =
      std::min(m_lowestAdmittedLookup, aClient.request.priority);
  }

  void OnRejected(Client& aClient, const Rejection& aRejection)
  {
    aClient.decisions++;
    m_orderRejected =
      m_orderRejected || (aClient.request.kind == Kind::kOrder &&
                          aRejection.kind == ErrorKind::kOverloaded);
  }

  Admission m_admission;
  uint32_t m_slots;
  Rng m_rng;
  TimePoint m_now{ std::chrono::seconds(50) };
  std::deque<Client> m_clients;
  std::vector<Slot> m_running;
  std::deque<std::pair<Client*, QueueHandle>> m_queuedRequests;
  int m_queuedOrders = 0;
  bool m_orderRejected = false;
  uint32_t m_lowestAdmittedLookup = schema::kMaxPriority + 1;
};

// Guards against violations of requirement R2 (orders are rejected last), of
// the deadlines and the slot limit, and against requests that get no decision
// or more than one.
TEST(AdmissionInvariantsTest, HoldUnderRandomLoad)
{
  rc::detail::TestParams params;
  params.seed = 20261204;
  params.maxSuccess = 200;
  const auto result = rc::detail::checkTestable(
    [] {
      const auto slots = *rc::gen::inRange<uint32_t>(1, 40);
      const auto seed = *rc::gen::arbitrary<uint64_t>();
      RandomLoadChecker checker(slots, seed);
      for (int i = 0; i < 3000; i++) {
        checker.Step();
      }
      checker.Drain();
    },
    rc::detail::TestMetadata{ "random load", "" },
    params);
  if (!result.template is<rc::detail::SuccessResult>()) {
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    FAIL() << text.str();
  }
}

// One of several threads that use the same Admission.
class TrafficThread
{
public:
  TrafficThread(Admission& aAdmission, uint64_t aSeed)
    : m_admission(aAdmission)
    , m_rng(aSeed)
  {
  }

  // Submits one request per element of aDecisions and counts the decisions on
  // each in its element.
  void Run(std::vector<std::atomic<int>>& aDecisions)
  {
    for (size_t i = 0; i < aDecisions.size(); i++) {
      m_now += microseconds(100);
      const Kind kind = i % 5 == 0 ? Kind::kOrder : Kind::kLookup;
      const AdmissionDecision decision = m_admission.Submit(
        { "/s/M", kind, 5, m_now + milliseconds(50), false, &aDecisions[i] },
        m_now,
        m_rng);
      aDecisions[i] += std::holds_alternative<QueueHandle>(decision) ? 0 : 1;
      if (const auto* slot = std::get_if<Slot>(&decision)) {
        m_slots.push_back(*slot);
      }
      if (i % 3 == 0) {
        CompleteAll();
      }
    }
    m_now += std::chrono::seconds(9);
    CompleteAll();
    Deliver(m_admission.Poll(m_now, m_rng));
  }

private:
  void CompleteAll()
  {
    while (!m_slots.empty()) {
      const Slot slot = m_slots.back();
      m_slots.pop_back();
      Deliver(m_admission.Complete(slot, RunResult::kCompleted, m_now, m_rng));
    }
  }

  void Deliver(const std::vector<Wakeup>& aWakeups)
  {
    for (const Wakeup& wakeup : aWakeups) {
      (*static_cast<std::atomic<int>*>(wakeup.waiter))++;
      if (const auto* slot = std::get_if<Slot>(&wakeup.decision)) {
        m_slots.push_back(*slot);
      }
    }
  }

  Admission& m_admission;
  Rng m_rng;
  TimePoint m_now{ std::chrono::seconds(50) };
  std::vector<Slot> m_slots;
};

// Guards against races between traffic threads that lose or duplicate a wakeup,
// or never release a slot.
TEST(AdmissionInvariantsTest, ConcurrentThreadsGetOneDecisionEach)
{
  constexpr size_t kThreads = 4;
  Admission admission({ .slots = 2, .reservesOrderSlots = true });
  std::vector<std::vector<std::atomic<int>>> decisions;
  std::vector<std::thread> threads;
  decisions.reserve(kThreads);
  threads.reserve(kThreads);
  for (size_t i = 0; i < kThreads; i++) {
    auto& threadDecisions = decisions.emplace_back(5000);
    threads.emplace_back([&admission, &threadDecisions, i] {
      TrafficThread(admission, i).Run(threadDecisions);
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (const auto& threadDecisions : decisions) {
    for (const auto& count : threadDecisions) {
      ASSERT_EQ(count, 1);
    }
  }
  EXPECT_EQ(admission.State().inFlight, 0U);
  EXPECT_EQ(admission.State().queued, 0U);
}

} // namespace
} // namespace wagtailbend::admission
