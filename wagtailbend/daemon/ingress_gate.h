// The gate in front of the local target: admission with a queue that holds no
// thread.
//
//   IngressGate gate;
//   gate.SetTarget({ .slots = 100, .reservesOrderSlots = true });
//   auto slot = gate.CreateSlotRequest(request);
//   slot->Acquire(now, [](const filters::AdmissionResult& aResult) { ... });
//   slot->Release(/*aCompleted=*/true, now);

#pragma once

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "wagtailbend/admission/admission.h"
#include "wagtailbend/daemon/target_registry.h"
#include "wagtailbend/filters/filter.h"

namespace wagtailbend::daemon {

/// Returns how requests for the announced target are admitted: in the slots
/// that it declares, or those of the schema if it declares none. Thread-safe.
admission::AdmissionConfig
GateConfig(const schema::Schema& aSchema, const Announcement& aTarget);

/// Thread-safe. A thread of its own rejects queued requests whose time is over;
/// it sleeps while nothing is queued.
class IngressGate final : public filters::AdmissionGate
{
public:
  IngressGate();
  /// Precondition: every entry has been decided and has left.
  ~IngressGate() override;
  IngressGate(const IngressGate&) = delete;
  IngressGate& operator=(const IngressGate&) = delete;

  /// Decides on the requests from now on with aConfig. Requests that run or
  /// wait stay with the configuration that they came under. Without a change
  /// of aConfig nothing happens, so that a repeated announcement keeps what was
  /// learned.
  void SetTarget(const admission::AdmissionConfig& aConfig);

  std::shared_ptr<filters::SlotRequest> CreateSlotRequest(
    const filters::GateRequest& aRequest) override;
  double Threshold() const override;
  /// All zero before the first target.
  admission::AdmissionState State() const;

private:
  class Entry;

  static void Deliver(const std::vector<admission::Wakeup>& aWakeups);
  void NoteQueued();
  void Run();
  std::optional<TimePoint> PollAll();

  std::atomic<std::shared_ptr<admission::Admission>> m_current;

  std::mutex m_mutex;
  std::condition_variable m_changed;
  admission::AdmissionConfig m_config;
  /// Former and current ones that still have requests.
  std::vector<std::weak_ptr<admission::Admission>> m_polled;
  bool m_stopping = false;
  std::atomic<bool> m_hasQueued{ false };
  std::thread m_expiryThread;
};

} // namespace wagtailbend::daemon
