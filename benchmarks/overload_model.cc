#include "overload_model.h"

#include <cmath>
#include <memory>
#include <utility>

#include "overload_servers.h"
#include "wagtailbend/admission/threshold_table.h"
#include "wagtailbend/attempts/ledger.h"
#include "wagtailbend/attempts/ratio_limiter.h"

namespace wagtailbend::benchmarks {
namespace {

constexpr uint32_t kBaselineTries = 3;

/// One customer's request.
struct Request
{
  size_t outcome = 0;
  const Load* load = nullptr;
  TimePoint deadline;
  uint32_t attempts = 0;
  bool finished = false;
};
using RequestPtr = std::shared_ptr<Request>;
using Reply = std::function<void(bool)>;

class Model
{
public:
  explicit Model(const Scenario& aScenario)
    : m_scenario(aScenario)
    , m_rng(aScenario.seed)
    , m_back(MakeServer(aScenario.slots,
                        aScenario.reservesOrderSlots && !aScenario.chain))
    , m_front(aScenario.chain
                ? MakeServer(aScenario.slots * 4, aScenario.reservesOrderSlots)
                : nullptr)
  {
  }

  RunResult Run()
  {
    for (size_t load = 0; load < m_scenario.loads.size(); load++) {
      ScheduleArrival(load);
    }
    // Time for the last answers.
    m_loop.RunUntil(m_scenario.length + std::chrono::seconds(70));
    return std::move(m_result);
  }

private:
  std::unique_ptr<Server> MakeServer(uint32_t aSlots, bool aReservesOrders)
  {
    if (m_scenario.baseline) {
      return std::make_unique<FifoServer>(aSlots);
    }
    return std::make_unique<AdmissionServer>(
      m_loop, m_rng, aSlots, aReservesOrders);
  }

  void ScheduleArrival(size_t aLoad)
  {
    // Thinning would cost draws; the rates are step functions, so a gap drawn
    // at the current rate is cut to 10 ms and drawn again (memoryless).
    const double rate = m_scenario.loads[aLoad].rate(m_loop.Elapsed());
    const double gap =
      rate > 0 ? -std::log(1.0 - UniformUnit(m_rng)) / rate : 1.0;
    const bool arrives = gap < 0.01;
    m_loop.After(Duration(static_cast<int64_t>(std::min(gap, 0.01) * 1e9)),
                 [this, aLoad, arrives] {
                   if (m_loop.Elapsed() >= m_scenario.length) {
                     return;
                   }
                   if (arrives) {
                     Arrive(aLoad);
                   }
                   ScheduleArrival(aLoad);
                 });
  }

  void Arrive(size_t aLoad)
  {
    const Load& load = m_scenario.loads[aLoad];
    auto request = std::make_shared<Request>();
    request->outcome = m_result.outcomes.size();
    request->load = &load;
    request->deadline = m_loop.Now() + load.deadline;
    m_result.outcomes.push_back(
      { aLoad, m_loop.Elapsed(), m_loop.Elapsed() + load.deadline, false });
    const Reply reply = [this, request](bool aAnswered) {
      if (aAnswered && !request->finished &&
          m_loop.Now() <= request->deadline) {
        m_result.outcomes[request->outcome].end = m_loop.Elapsed();
        m_result.outcomes[request->outcome].answered = true;
      }
      request->finished = true;
    };
    if (m_scenario.baseline) {
      Server& entry = m_front ? *m_front : *m_back;
      TryBaseline(entry, request, m_front != nullptr, 1, load.deadline, reply);
    } else {
      Enter(request, reply);
    }
  }

  void Count(const RequestPtr& aRequest)
  {
    aRequest->attempts++;
    m_result.maxAttempts = std::max(m_result.maxAttempts, aRequest->attempts);
  }

  Duration ServiceTime(const Load& aLoad)
  {
    const double sharing =
      m_scenario.parallelism == 0
        ? 1.0
        : std::max(1.0,
                   static_cast<double>(m_running) / m_scenario.parallelism);
    const double mean = static_cast<double>(aLoad.meanService.count()) *
                        m_scenario.slowdown(m_loop.Elapsed()) * sharing;
    return Duration(static_cast<int64_t>(mean * (0.5 + UniformUnit(m_rng))));
  }

  /// The body of the last hop.
  auto LeafBody(const RequestPtr& aRequest)
  {
    return [this, aRequest](const Reply& aFinish) {
      m_running++;
      m_loop.After(ServiceTime(*aRequest->load), [this, aFinish] {
        m_running--;
        aFinish(true);
      });
    };
  }

  // A try that got no answer in its share of the time is repeated; the target
  // knows nothing of that and still runs the abandoned work.
  void TryBaseline(Server& aServer,
                   const RequestPtr& aRequest,
                   bool aFront,
                   uint32_t aTry,
                   Duration aTime,
                   const Reply& aReply)
  {
    Count(aRequest);
    const Duration timeout = aTime / kBaselineTries;
    const auto settled = std::make_shared<bool>(false);
    const auto finish = [=, this, &aServer](bool aAnswered) {
      if (std::exchange(*settled, true)) {
        return;
      }
      if (aAnswered || aTry == kBaselineTries) {
        aReply(aAnswered);
        return;
      }
      TryBaseline(aServer, aRequest, aFront, aTry + 1, aTime, aReply);
    };
    m_loop.After(timeout, [finish] { finish(false); });
    Work work{ aRequest->load, aRequest->deadline, false, {}, {} };
    work.done = [finish](bool aAnswered, Duration) { finish(aAnswered); };
    if (aFront) {
      work.body = [this, aRequest, timeout](const Reply& aFinish) {
        m_loop.After(kFrontService, [this, aRequest, timeout, aFinish] {
          TryBaseline(*m_back, aRequest, false, 1, timeout, aFinish);
        });
      };
    } else {
      work.body = LeafBody(aRequest);
    }
    aServer.Submit(std::move(work));
  }

  bool EntryAllows(const Load& aLoad, const char* aService)
  {
    return m_thresholds.AllowsService(
      aService, aLoad.kind, aLoad.priority, false, m_loop.Now(), m_rng);
  }

  /// The entry daemon: threshold table, then one attempt at the first target.
  void Enter(const RequestPtr& aRequest, const Reply& aReply)
  {
    const Load& load = *aRequest->load;
    const bool allowed =
      EntryAllows(load, "back") && (!m_front || EntryAllows(load, "front"));
    if (!allowed) {
      aReply(false);
      return;
    }
    Count(aRequest);
    Work work{ &load, aRequest->deadline, false, {}, {} };
    Server& server = m_front ? *m_front : *m_back;
    const char* name = m_front ? "front" : "back";
    work.done = [this, &server, name, aReply](bool aAnswered, Duration) {
      m_thresholds.Update(name, "t", server.Threshold(), m_loop.Now());
      aReply(aAnswered);
    };
    if (!m_front) {
      work.body = LeafBody(aRequest);
    } else {
      work.body = [this, aRequest](const Reply& aFinish) {
        m_loop.After(kFrontService, [this, aRequest, aFinish] {
          CallBack(aRequest, nullptr, aFinish);
        });
      };
    }
    server.Submit(std::move(work));
  }

  /// The egress of the front target: ledger, ratio, then the nested call.
  void CallBack(const RequestPtr& aRequest,
                std::shared_ptr<attempts::AttemptLedger> aLedger,
                const Reply& aFinish)
  {
    const attempts::CallCost cost{ 1, 1, 1 };
    const bool retry = aLedger != nullptr;
    if (!retry) {
      // The schema's budget of 4, less the attempt at the front target.
      aLedger = std::make_shared<attempts::AttemptLedger>(
        3, std::vector<attempts::CallCost>{ cost });
      m_retries.RecordCall(m_loop.Now());
    }
    const bool paid = retry ? aLedger->StartRetry(cost).has_value() &&
                                m_retries.TryAcquire(m_loop.Now())
                            : aLedger->StartCall(cost).has_value();
    if (!paid) {
      aFinish(false);
      return;
    }
    Count(aRequest);
    Work work{ aRequest->load, aRequest->deadline, true, {}, {} };
    work.body = LeafBody(aRequest);
    work.done = [this, aRequest, aLedger, aFinish](bool aAnswered,
                                                   Duration aRetryAfter) {
      m_thresholds.Update("back", "t", m_back->Threshold(), m_loop.Now());
      if (aAnswered || m_loop.Now() + aRetryAfter >= aRequest->deadline) {
        aFinish(aAnswered);
        return;
      }
      m_loop.After(aRetryAfter, [this, aRequest, aLedger, aFinish] {
        CallBack(aRequest, aLedger, aFinish);
      });
    };
    m_back->Submit(std::move(work));
  }

  const Scenario& m_scenario;
  EventLoop m_loop;
  Rng m_rng;
  /// Requests in service at the last hop.
  uint32_t m_running = 0;
  std::unique_ptr<Server> m_back;
  std::unique_ptr<Server> m_front;
  admission::ThresholdTable m_thresholds;
  attempts::RatioLimiter m_retries{ attempts::kRetryRatioPercent,
                                    attempts::kMinRetriesPerWindow };
  RunResult m_result;
};

} // namespace

RunResult
Run(const Scenario& aScenario)
{
  return Model(aScenario).Run();
}

} // namespace wagtailbend::benchmarks
