#include "wagtailbend/daemon/ingress_gate.h"

#include <algorithm>
#include <utility>

namespace wagtailbend::daemon {
namespace {

// A request that is queued during the expiry thread's sleep may expire before
// those that the thread knows of, so it never sleeps for longer than this.
constexpr Duration kLongestSleep = std::chrono::milliseconds(5);
constexpr Duration kShortestSleep = std::chrono::milliseconds(1);

} // namespace

admission::AdmissionConfig
GateConfig(const schema::Schema& aSchema, const Announcement& aTarget)
{
  admission::AdmissionConfig config;
  const schema::Service* service = aSchema.FindService(aTarget.service);
  const uint32_t declared = service != nullptr ? service->slots : 1;
  config.slots = std::max(1U, aTarget.slots > 0 ? aTarget.slots : declared);
  for (const auto& [path, method] : aSchema.Methods()) {
    config.reservesOrderSlots =
      config.reservesOrderSlots || (method.service == aTarget.service &&
                                    method.kind == schema::Kind::kOrder);
  }
  return config;
}

class IngressGate::Entry final
  : public filters::SlotRequest
  , public std::enable_shared_from_this<Entry>
{
public:
  Entry(IngressGate& aGate, const filters::GateRequest& aRequest)
    : m_gate(aGate)
    , m_request(aRequest)
  {
  }

  void Acquire(TimePoint aNow, Decision aDecision) override
  {
    auto self = shared_from_this();
    m_decision = std::move(aDecision);
    m_start = aNow;
    {
      const std::lock_guard lock(m_mutex);
      if (m_cancelled) {
        m_admission = nullptr;
      } else {
        m_admission = m_gate.m_current.load();
      }
    }
    if (!m_admission) {
      Settle(m_cancelled ? Cancelled() : filters::AdmissionResult{});
      return;
    }
    const admission::AdmissionDecision decision =
      m_admission->Submit({ m_request.method->path,
                            m_request.method->kind,
                            m_request.priority,
                            m_request.deadline,
                            m_request.nested,
                            this },
                          aNow,
                          ThreadRng());
    if (const auto* slot = std::get_if<admission::Slot>(&decision)) {
      Settle(*slot);
    } else if (const auto* no = std::get_if<admission::Rejection>(&decision)) {
      Settle(*no);
    } else {
      m_gate.NoteQueued();
      NoteQueued(std::get<admission::QueueHandle>(decision));
    }
  }

  void Cancel() override
  {
    auto self = shared_from_this();
    std::optional<admission::QueueHandle> queued;
    {
      const std::lock_guard lock(m_mutex);
      m_cancelled = true;
      queued = m_queued;
    }
    Withdraw(queued);
  }

  void Release(bool aCompleted, TimePoint aNow) override
  {
    if (!m_slot) {
      return;
    }
    Deliver(m_admission->Complete(*m_slot,
                                  aCompleted ? admission::RunResult::kCompleted
                                             : admission::RunResult::kFailed,
                                  aNow,
                                  ThreadRng()));
  }

  void Settle(const admission::Slot& aSlot)
  {
    m_slot = aSlot;
    Settle(filters::AdmissionResult{ {}, {}, aSlot.start - m_start });
  }

  void Settle(const admission::Rejection& aRejection)
  {
    Settle(filters::AdmissionResult{ Error{ aRejection.kind, "at the target" },
                                     aRejection.retryAfter,
                                     MonotonicNow() - m_start });
  }

private:
  filters::AdmissionResult Cancelled() const
  {
    return { Error{ ErrorKind::kCancelled, "while waiting for a slot" },
             {},
             MonotonicNow() - m_start };
  }

  // A wakeup on another thread may have settled the entry already; Withdraw
  // then finds nothing in the queue.
  void NoteQueued(const admission::QueueHandle& aQueued)
  {
    bool cancelled = false;
    {
      const std::lock_guard lock(m_mutex);
      m_queued = aQueued;
      cancelled = m_cancelled;
    }
    if (cancelled) {
      Withdraw(aQueued);
    }
  }

  void Withdraw(const std::optional<admission::QueueHandle>& aQueued)
  {
    if (aQueued && m_admission->Cancel(*aQueued)) {
      Settle(Cancelled());
    }
  }

  // The owner may destroy the entry in the decision; callers hold a reference.
  void Settle(const filters::AdmissionResult& aResult)
  {
    const Decision decision = std::move(m_decision);
    decision(aResult);
  }

  IngressGate& m_gate;
  filters::GateRequest m_request;
  TimePoint m_start;
  Decision m_decision;
  std::shared_ptr<admission::Admission> m_admission;
  std::optional<admission::Slot> m_slot;

  // Guards against a cancellation while Acquire runs.
  std::mutex m_mutex;
  std::optional<admission::QueueHandle> m_queued;
  bool m_cancelled = false;
};

IngressGate::IngressGate()
  : m_expiryThread([this] { Run(); })
{
}

IngressGate::~IngressGate()
{
  {
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
  }
  m_changed.notify_all();
  m_expiryThread.join();
}

void
IngressGate::SetTarget(const admission::AdmissionConfig& aConfig)
{
  const std::lock_guard lock(m_mutex);
  if (m_current.load() && m_config.slots == aConfig.slots &&
      m_config.reservesOrderSlots == aConfig.reservesOrderSlots) {
    return;
  }
  m_config = aConfig;
  auto admission = std::make_shared<admission::Admission>(aConfig);
  m_polled.push_back(admission);
  m_current.store(std::move(admission));
}

std::shared_ptr<filters::SlotRequest>
IngressGate::CreateSlotRequest(const filters::GateRequest& aRequest)
{
  return std::make_shared<Entry>(*this, aRequest);
}

double
IngressGate::Threshold() const
{
  const auto admission = m_current.load();
  return admission ? admission->Threshold() : 0.0;
}

admission::AdmissionState
IngressGate::State() const
{
  const auto admission = m_current.load();
  return admission ? admission->State() : admission::AdmissionState{};
}

void
IngressGate::Deliver(const std::vector<admission::Wakeup>& aWakeups)
{
  for (const admission::Wakeup& wakeup : aWakeups) {
    // Its owner keeps an entry alive until the decision.
    const auto entry = static_cast<Entry*>(wakeup.waiter)->shared_from_this();
    std::visit([&](const auto& aDecision) { entry->Settle(aDecision); },
               wakeup.decision);
  }
}

void
IngressGate::NoteQueued()
{
  if (m_hasQueued.exchange(true)) {
    return;
  }
  // The empty critical section keeps the wakeup from falling between the
  // thread's check and its wait.
  {
    const std::lock_guard lock(m_mutex);
  }
  m_changed.notify_one();
}

std::optional<TimePoint>
IngressGate::PollAll()
{
  std::vector<std::shared_ptr<admission::Admission>> admissions;
  {
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_polled, [](const auto& aWeak) { return aWeak.expired(); });
    for (const auto& weak : m_polled) {
      if (auto admission = weak.lock()) {
        admissions.push_back(std::move(admission));
      }
    }
  }
  std::optional<TimePoint> next;
  for (const auto& admission : admissions) {
    Deliver(admission->Poll(MonotonicNow(), ThreadRng()));
    const std::optional<TimePoint> expiry = admission->NextExpiry();
    if (expiry && (!next || *expiry < *next)) {
      next = expiry;
    }
  }
  return next;
}

void
IngressGate::Run()
{
  while (true) {
    // Cleared before the queues are read, so that later arrivals set it again.
    m_hasQueued.store(false);
    const std::optional<TimePoint> next = PollAll();
    std::unique_lock lock(m_mutex);
    if (m_stopping) {
      return;
    }
    if (!next) {
      m_changed.wait(lock, [this] { return m_stopping || m_hasQueued; });
      continue;
    }
    const Duration left =
      std::clamp(*next - MonotonicNow(), kShortestSleep, kLongestSleep);
    m_changed.wait_for(lock, left, [this] { return m_stopping; });
  }
}

} // namespace wagtailbend::daemon
