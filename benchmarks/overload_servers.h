// Virtual-time event loop and the two kinds of target of the overload model.

#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <tuple>
#include <utility>
#include <variant>
#include <vector>

#include "overload_model.h"
#include "wagtailbend/admission/admission.h"

namespace wagtailbend::benchmarks {

// Not 0, because TimePoint{} is the initial value of windows in the modules.
inline constexpr TimePoint kStart{ std::chrono::seconds(1000) };
inline constexpr Duration kPollEvery = std::chrono::milliseconds(5);

using Action = std::function<void()>;

/// Runs actions in the order of their virtual time.
class EventLoop
{
public:
  TimePoint Now() const { return m_now; }
  Duration Elapsed() const { return m_now - kStart; }

  void After(Duration aDelay, Action aAction)
  {
    m_events.push({ m_now + aDelay, m_sequence++, std::move(aAction) });
  }

  void RunUntil(Duration aEnd)
  {
    while (!m_events.empty() && m_events.top().at <= kStart + aEnd) {
      const Event event = m_events.top();
      m_events.pop();
      m_now = event.at;
      event.action();
    }
  }

private:
  struct Event
  {
    TimePoint at;
    uint64_t sequence = 0;
    Action action;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.at, aOther.sequence) < std::tie(at, sequence);
    }
  };
  std::priority_queue<Event> m_events;
  TimePoint m_now = kStart;
  uint64_t m_sequence = 0;
};

/// One attempt at a target.
struct Work
{
  const Load* load = nullptr;
  TimePoint deadline;
  bool nested = false;
  /// A call below an order is a lookup, known as urgent by its priority only.
  schema::Kind KindAtTarget() const
  {
    return nested ? schema::Kind::kLookup : load->kind;
  }
  /// Runs the work while it holds its slot and then calls its argument.
  std::function<void(std::function<void(bool)>)> body;
  /// Called once: answered, and after what time to retry if rejected.
  std::function<void(bool, Duration)> done;
};

/// A target that runs work in its slots.
class Server
{
public:
  virtual ~Server() = default;
  virtual void Submit(Work aWork) = 0;
  virtual double Threshold() const { return 0; }
};

/// The baseline: one shared FIFO queue without bound. Abandoned work runs too.
class FifoServer : public Server
{
public:
  explicit FifoServer(uint32_t aSlots)
    : m_free(aSlots)
  {
  }

  void Submit(Work aWork) override
  {
    m_queue.push_back(std::move(aWork));
    Start();
  }

private:
  void Start()
  {
    while (m_free > 0 && !m_queue.empty()) {
      m_free--;
      const auto work = std::make_shared<Work>(std::move(m_queue.front()));
      m_queue.pop_front();
      work->body([this, work](bool aAnswered) {
        m_free++;
        work->done(aAnswered, Duration{});
        Start();
      });
    }
  }

  uint32_t m_free;
  std::deque<Work> m_queue;
};

/// A target behind Admission, polled every kPollEvery.
class AdmissionServer : public Server
{
public:
  AdmissionServer(EventLoop& aLoop,
                  Rng& aRng,
                  uint32_t aSlots,
                  bool aReservesOrders)
    : m_loop(aLoop)
    , m_rng(aRng)
    , m_admission({ .slots = aSlots, .reservesOrderSlots = aReservesOrders })
  {
    Poll();
  }

  double Threshold() const override { return m_admission.Threshold(); }

  void Submit(Work aWork) override
  {
    auto owned = std::make_unique<Work>(std::move(aWork));
    const admission::AdmissionDecision decision =
      m_admission.Submit({ owned->load->method,
                           owned->KindAtTarget(),
                           owned->load->priority,
                           owned->deadline,
                           owned->nested,
                           owned.get() },
                         m_loop.Now(),
                         m_rng);
    if (std::holds_alternative<admission::QueueHandle>(decision)) {
      // The wakeup brings the pointer back.
      static_cast<void>(owned.release());
    } else if (const auto* slot = std::get_if<admission::Slot>(&decision)) {
      Start(std::move(owned), *slot);
    } else {
      owned->done(false, std::get<admission::Rejection>(decision).retryAfter);
    }
  }

private:
  void Start(const std::shared_ptr<Work>& aWork, const admission::Slot& aSlot)
  {
    aWork->body([this, aWork, aSlot](bool aAnswered) {
      const auto wakeups =
        m_admission.Complete(aSlot,
                             aAnswered ? admission::RunResult::kCompleted
                                       : admission::RunResult::kFailed,
                             m_loop.Now(),
                             m_rng);
      aWork->done(aAnswered, Duration{});
      Deliver(wakeups);
    });
  }

  void Deliver(const std::vector<admission::Wakeup>& aWakeups)
  {
    for (const admission::Wakeup& wakeup : aWakeups) {
      std::shared_ptr<Work> work(static_cast<Work*>(wakeup.waiter));
      if (const auto* slot = std::get_if<admission::Slot>(&wakeup.decision)) {
        Start(work, *slot);
      } else {
        work->done(false,
                   std::get<admission::Rejection>(wakeup.decision).retryAfter);
      }
    }
  }

  void Poll()
  {
    Deliver(m_admission.Poll(m_loop.Now(), m_rng));
    m_loop.After(kPollEvery, [this] { Poll(); });
  }

  EventLoop& m_loop;
  Rng& m_rng;
  admission::Admission m_admission;
};

} // namespace wagtailbend::benchmarks
