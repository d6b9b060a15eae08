#include "wagtailbend/daemon/hedging.h"

#include <array>
#include <mutex>
#include <utility>

#include <grpcpp/alarm.h>

namespace wagtailbend::daemon {
namespace {

class HedgedAttempt final
  : public Attempt
  , public std::enable_shared_from_this<HedgedAttempt>
{
public:
  HedgedAttempt(HedgeLeg aFirst,
                Duration aDelay,
                HedgeOwner& aOwner,
                AttemptObserver& aObserver,
                DropLeg aDrop)
    : m_delay(aDelay)
    , m_owner(aOwner)
    , m_observer(aObserver)
    , m_drop(std::move(aDrop))
  {
    auto verifier = aOwner.VerifierOf(aFirst);
    m_legs[0] =
      std::make_unique<Leg>(*this, std::move(aFirst), std::move(verifier));
  }

  void Begin() override
  {
    auto self = shared_from_this();
    std::shared_ptr<Attempt> attempt;
    {
      const std::lock_guard lock(m_mutex);
      m_self = self;
      m_running = 1;
      attempt = m_legs[0]->Prepare();
      m_alarm.Set(
        std::chrono::system_clock::now() +
          std::chrono::duration_cast<std::chrono::system_clock::duration>(
            m_delay),
        [weak = weak_from_this()](bool aOk) {
          if (auto attempt = weak.lock(); attempt && aOk) {
            attempt->OnDelay();
          }
        });
      if (m_cancelled) {
        attempt->Cancel();
      }
    }
    attempt->Begin();
  }

  void ReadNext() override {}

  void Cancel() override
  {
    auto self = shared_from_this();
    std::array<std::shared_ptr<Attempt>, 2> attempts;
    {
      const std::lock_guard lock(m_mutex);
      m_cancelled = true;
      for (size_t i = 0; i < 2; ++i) {
        attempts[i] = m_legs[i] ? m_legs[i]->attempt : nullptr;
      }
    }
    for (const auto& attempt : attempts) {
      if (attempt) {
        attempt->Cancel();
      }
    }
  }

private:
  /// Keeps what one attempt delivers until its end tells whether it counts.
  struct Leg final : public AttemptObserver
  {
    Leg(HedgedAttempt& aOwner,
        HedgeLeg aPlan,
        answers::ResponseVerifier aVerifier)
      : owner(aOwner)
      , plan(std::move(aPlan))
      , verifier(std::move(aVerifier))
    {
    }

    std::shared_ptr<Attempt> Prepare()
    {
      attempt = plan.prepare(*this);
      return attempt;
    }

    void OnIds(const EchoedIds& aIds) override
    {
      requestId = aIds.requestId;
      attemptId = aIds.attemptId;
      hasIds = true;
      error = verifier.OnIds(requestId, attemptId);
    }

    void OnFrame(grpc::ByteBuffer&& aFrame) override
    {
      if (!error) {
        error = verifier.OnFrame(aFrame.Length(), MonotonicNow());
      }
      frame.Swap(&aFrame);
      hasFrame = true;
    }

    void OnEnd(const AttemptEnd& aEnd) override
    {
      if (!error && aEnd.status.ok()) {
        error = verifier.OnEnd(aEnd.frames, aEnd.checksum);
      }
      owner.OnLegEnd(*this, aEnd);
    }

    HedgedAttempt& owner;
    HedgeLeg plan;
    answers::ResponseVerifier verifier;
    std::shared_ptr<Attempt> attempt;
    std::optional<Error> error;
    std::string requestId;
    std::string attemptId;
    grpc::ByteBuffer frame;
    bool hasIds = false;
    bool hasFrame = false;
  };

  // The owner lives while the lock is held and nothing is delivered, because
  // OnLegEnd takes the lock before it delivers.
  void OnDelay()
  {
    std::shared_ptr<Attempt> attempt;
    {
      const std::lock_guard lock(m_mutex);
      if (m_delivered || m_cancelled) {
        return;
      }
      auto plan = m_owner.StartHedge(MonotonicNow());
      if (!plan) {
        return;
      }
      answers::ResponseVerifier verifier = m_owner.VerifierOf(*plan);
      m_legs[1] =
        std::make_unique<Leg>(*this, std::move(*plan), std::move(verifier));
      attempt = m_legs[1]->Prepare();
      ++m_running;
    }
    attempt->Begin();
  }

  void OnLegEnd(Leg& aLeg, const AttemptEnd& aEnd)
  {
    const bool complete = aEnd.status.ok() && !aLeg.error;
    bool deliver = false;
    std::shared_ptr<Attempt> loser;
    std::shared_ptr<HedgedAttempt> self = shared_from_this();
    {
      const std::lock_guard lock(m_mutex);
      --m_running;
      deliver = !m_delivered && (complete || m_running == 0);
      m_delivered = m_delivered || deliver;
      const auto& other = m_legs[&aLeg == m_legs[0].get() ? 1 : 0];
      if (deliver && m_running > 0) {
        loser = other->attempt;
      }
      if (m_running == 0) {
        m_self.reset();
      }
    }
    if (loser) {
      loser->Cancel();
    }
    if (!deliver) {
      m_drop(aLeg.plan, KindOf(aLeg, aEnd));
      return;
    }
    m_alarm.Cancel();
    Deliver(aLeg, aEnd);
  }

  static ErrorKind KindOf(const Leg& aLeg, const AttemptEnd& aEnd)
  {
    if (aLeg.error) {
      return aLeg.error->kind;
    }
    if (auto kind = ErrorKindFromName(aEnd.error)) {
      return *kind;
    }
    const bool lost =
      aEnd.silent || aEnd.status.error_code() == grpc::StatusCode::UNAVAILABLE;
    return lost ? ErrorKind::kConnectionLost : ErrorKind::kCancelled;
  }

  void Deliver(Leg& aLeg, const AttemptEnd& aEnd)
  {
    m_owner.UseLeg(aLeg.plan);
    if (aLeg.hasIds) {
      m_observer.OnIds({ aLeg.requestId, aLeg.attemptId });
    }
    if (aLeg.hasFrame) {
      m_observer.OnFrame(std::move(aLeg.frame));
    }
    m_observer.OnEnd(aEnd);
  }

  const Duration m_delay;
  HedgeOwner& m_owner;
  AttemptObserver& m_observer;
  DropLeg m_drop;
  grpc::Alarm m_alarm;

  std::mutex m_mutex;
  std::array<std::unique_ptr<Leg>, 2> m_legs;
  /// Attempts that have begun and not ended.
  int m_running = 0;
  bool m_cancelled = false;
  bool m_delivered = false;
  std::shared_ptr<HedgedAttempt> m_self;
};

} // namespace

std::shared_ptr<attempts::HedgePolicy>
HedgePolicies::For(const std::shared_ptr<const schema::Schema>& aSchema)
{
  if (aSchema && m_schema != aSchema) {
    m_schema = aSchema;
    m_policy = std::make_shared<attempts::HedgePolicy>(*aSchema);
  }
  return m_policy;
}

std::shared_ptr<Attempt>
PrepareHedged(HedgeLeg aFirst,
              Duration aDelay,
              HedgeOwner& aOwner,
              AttemptObserver& aObserver,
              DropLeg aDrop)
{
  return std::make_shared<HedgedAttempt>(
    std::move(aFirst), aDelay, aOwner, aObserver, std::move(aDrop));
}

} // namespace wagtailbend::daemon
