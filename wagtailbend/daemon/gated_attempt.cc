#include "wagtailbend/daemon/gated_attempt.h"

#include <mutex>
#include <utility>

#include <fmt/format.h>

#include "wagtailbend/admission/threshold_table.h"
#include "wagtailbend/daemon/metadata.h"

namespace wagtailbend::daemon {
namespace {

// A connection that went silent or was never opened is no sign of a crash.
bool
IsConnectionLost(const AttemptEnd& aEnd)
{
  return aEnd.status.error_code() == grpc::StatusCode::UNAVAILABLE &&
         aEnd.error.empty() && aEnd.ids.requestId.empty() && !aEnd.silent &&
         !aEnd.unreachable;
}

class GatedAttempt final
  : public Attempt
  , public std::enable_shared_from_this<GatedAttempt>
  , private AttemptObserver
{
public:
  GatedAttempt(PeerTransport& aTransport,
               filters::AdmissionGate& aGate,
               attempts::RequestRegistry& aRegistry,
               TargetWatch& aWatch,
               LocalRun aRun,
               AttemptRequest aRequest,
               AttemptObserver& aObserver)
    : m_transport(aTransport)
    , m_gate(aGate)
    , m_registry(aRegistry)
    , m_watch(aWatch)
    , m_run(std::move(aRun))
    , m_request(std::move(aRequest))
    , m_observer(aObserver)
    , m_entry(aGate.CreateSlotRequest(
        { m_run.method, m_run.priority, m_run.deadline, m_run.nested }))
  {
  }

  void Begin() override
  {
    m_self = shared_from_this();
    m_entry->Acquire(
      MonotonicNow(),
      [this](const filters::AdmissionResult& aResult) { OnDecision(aResult); });
  }

  void ReadNext() override { m_inner->ReadNext(); }

  void Cancel() override
  {
    auto self = shared_from_this();
    std::shared_ptr<Attempt> inner;
    {
      const std::lock_guard lock(m_mutex);
      m_cancelled = true;
      inner = m_inner;
    }
    if (inner) {
      inner->Cancel();
    } else {
      m_entry->Cancel();
    }
  }

private:
  void OnDecision(const filters::AdmissionResult& aResult)
  {
    m_queueTime = aResult.queueTime;
    if (aResult.error) {
      const bool notRun =
        !m_run.ticket || m_run.orders->RejectBeforeStart(*m_run.ticket);
      EndRejected(aResult, notRun ? RunState::kNotRun : RunState::kMayHaveRun);
      return;
    }
    if (m_run.ticket && !m_run.orders->Start(*m_run.ticket)) {
      EndRefusedStart(aResult);
      return;
    }
    m_registry.Start(m_run.requestId,
                     m_run.budget,
                     attempts::CallsOf(*m_run.schema, *m_run.method),
                     m_run.deadline,
                     m_run.priority);
    m_watch.OnHandedOver(m_run.fingerprint);
    auto inner = m_transport.Prepare(std::move(m_request), *this);
    bool cancelled = false;
    {
      const std::lock_guard lock(m_mutex);
      m_inner = inner;
      cancelled = m_cancelled;
    }
    if (cancelled) {
      inner->Cancel();
    }
    inner->Begin();
  }

  // Another copy of the grant was started, or the home withdrew the grant.
  void EndRefusedStart(filters::AdmissionResult aResult)
  {
    const auto entry = m_entry;
    aResult.error = Error{ ErrorKind::kOutcomeUnknown, "grant is used up" };
    EndRejected(aResult, RunState::kMayHaveRun);
    entry->Release(false, MonotonicNow());
  }

  void EndRejected(const filters::AdmissionResult& aResult, RunState aRun)
  {
    auto self = std::move(m_self);
    const std::string requestId = m_run.requestId.ToString();
    const std::string attemptId = m_run.attemptId.ToString();
    const std::string threshold = ThresholdText();
    const std::string retryAfter =
      aResult.retryAfter > Duration{}
        ? fmt::format("{}", ToMilliseconds(aResult.retryAfter))
        : "";
    AttemptEnd end;
    end.status = StatusOf(*aResult.error);
    end.ids = { requestId, attemptId };
    end.error = ErrorResponseFor(aResult.error->kind).name;
    end.run = RunStateName(aRun);
    end.threshold = threshold;
    end.retryAfterMs = retryAfter;
    end.queueTime = m_queueTime;
    m_observer.OnEnd(end);
  }

  void OnIds(const EchoedIds& aIds) override { m_observer.OnIds(aIds); }

  void OnFrame(grpc::ByteBuffer&& aFrame) override
  {
    m_observer.OnFrame(std::move(aFrame));
  }

  void OnEnd(const AttemptEnd& aEnd) override
  {
    auto self = std::move(m_self);
    m_watch.OnReturned(m_run.fingerprint, IsConnectionLost(aEnd));
    const uint32_t unspent = m_registry.Finish(m_run.requestId);
    const std::string attemptsLeft = fmt::format_int(unspent).str();
    const std::string threshold = ThresholdText();
    const bool answered = aEnd.status.ok();
    AttemptEnd end = aEnd;
    end.attemptsLeft = answered ? attemptsLeft : std::string_view();
    end.threshold = threshold;
    end.queueTime = m_queueTime;
    m_observer.OnEnd(end);
    m_entry->Release(answered, MonotonicNow());
  }

  std::string ThresholdText() const
  {
    return admission::FormatThreshold(m_gate.Threshold());
  }

  PeerTransport& m_transport;
  filters::AdmissionGate& m_gate;
  attempts::RequestRegistry& m_registry;
  TargetWatch& m_watch;
  LocalRun m_run;
  AttemptRequest m_request;
  AttemptObserver& m_observer;
  std::shared_ptr<filters::SlotRequest> m_entry;
  Duration m_queueTime{};
  std::shared_ptr<GatedAttempt> m_self;

  // Guards against a cancellation while the gate decides.
  std::mutex m_mutex;
  bool m_cancelled = false;
  std::shared_ptr<Attempt> m_inner;
};

} // namespace

std::shared_ptr<Attempt>
PrepareGated(PeerTransport& aTransport,
             filters::AdmissionGate& aGate,
             attempts::RequestRegistry& aRegistry,
             TargetWatch& aWatch,
             LocalRun aRun,
             AttemptRequest aRequest,
             AttemptObserver& aObserver)
{
  return std::make_shared<GatedAttempt>(aTransport,
                                        aGate,
                                        aRegistry,
                                        aWatch,
                                        std::move(aRun),
                                        std::move(aRequest),
                                        aObserver);
}

} // namespace wagtailbend::daemon
