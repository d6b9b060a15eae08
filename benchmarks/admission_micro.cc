// Measures time and heap bytes of admission and attempt accounting: per call
// that runs, per queued call and per ledger. Prints one JSON line per figure.
// These are wall-clock figures without bounds.

#include <chrono>
#include <cstdlib>
#include <memory>
#include <new>
#include <vector>

#include <fmt/format.h>
#include <malloc.h>

#include "wagtailbend/admission/admission.h"
#include "wagtailbend/admission/threshold_table.h"
#include "wagtailbend/attempts/registry.h"

namespace wagtailbend::benchmarks {
namespace {

using schema::Kind;

constexpr uint64_t kSeed = 20261204;
constexpr size_t kCount = 200'000;
const TimePoint kStart{ std::chrono::seconds(1000) };

size_t
HeapBytes()
{
  return mallinfo2().uordblks;
}

void
Print(const char* aName, double aValue, const char* aUnit)
{
  fmt::print(
    "{{\"name\":\"{}\",\"value\":{:.1f},\"unit\":\"{}\",\"bound\":null,"
    "\"holds\":null,\"seed\":{},\"baseline\":null}}\n",
    aName,
    aValue,
    aUnit,
    kSeed);
}

/// Runs aAction(i) kCount times and returns nanoseconds per run.
template<typename Action>
double
NanosecondsPer(Action aAction)
{
  const TimePoint begin = MonotonicNow();
  for (size_t i = 0; i < kCount; i++) {
    aAction(i);
  }
  return static_cast<double>((MonotonicNow() - begin).count()) / kCount;
}

admission::AdmissionRequest
LookupAt(TimePoint aNow)
{
  return { "/association.Balances/Check",  Kind::kLookup, 5,
           aNow + std::chrono::seconds(1), false,         nullptr };
}

void
MeasureInFlight(Rng& aRng)
{
  admission::Admission admission({ .slots = 100, .reservesOrderSlots = true });
  size_t wakeups = 0;
  Print("admission_call_time",
        NanosecondsPer([&](size_t aIndex) {
          const TimePoint now = kStart + std::chrono::microseconds(aIndex);
          const auto decision = admission.Submit(LookupAt(now), now, aRng);
          const auto* slot = std::get_if<admission::Slot>(&decision);
          if (slot == nullptr) {
            std::abort();
          }
          wakeups += admission
                       .Complete(*slot,
                                 admission::RunResult::kCompleted,
                                 now + std::chrono::microseconds(1),
                                 aRng)
                       .size();
        }),
        "ns per Submit and Complete");
  admission::Admission many({ .slots = kCount });
  const size_t before = HeapBytes();
  for (size_t i = 0; i < kCount; i++) {
    many.Submit(LookupAt(kStart), kStart, aRng);
  }
  Print("admission_call_bytes",
        static_cast<double>(HeapBytes() - before) / kCount +
          sizeof(admission::Slot),
        "bytes per call in flight, its Slot included");
}

void
MeasureQueued(Rng& aRng)
{
  admission::Admission admission({ .slots = 1 });
  auto running = admission.Submit(LookupAt(kStart), kStart, aRng);
  const size_t before = HeapBytes();
  const double queueTime = NanosecondsPer(
    [&](size_t) { admission.Submit(LookupAt(kStart), kStart, aRng); });
  if (admission.State().queued != kCount) {
    std::abort();
  }
  Print("admission_queued_bytes",
        static_cast<double>(HeapBytes() - before) / kCount,
        "bytes per queued call");
  auto slot = std::get<admission::Slot>(running);
  const double dequeueTime = NanosecondsPer([&](size_t) {
    const auto wakeups =
      admission.Complete(slot, admission::RunResult::kFailed, kStart, aRng);
    slot = std::get<admission::Slot>(wakeups.at(0).decision);
  });
  Print("admission_queued_time",
        queueTime + dequeueTime,
        "ns to queue and dispatch, 200,000 queued");
}

void
MeasureLedger(Rng& aRng)
{
  attempts::RequestRegistry registry;
  const std::vector<attempts::CallCost> calls{ { 1, 2, 4 }, { 2, 1, 4 } };
  std::vector<RequestId> ids(kCount);
  for (RequestId& id : ids) {
    id = RequestId::Random(aRng);
  }
  Print("ledger_time",
        NanosecondsPer([&](size_t aIndex) {
          auto request = registry.Start(ids[aIndex], 12, calls, kStart, 5);
          auto grant =
            registry.Find(ids[aIndex])->ledger.StartCall(calls.front());
          request->ledger.Settle(*grant, grant->childBudget);
          registry.Finish(ids[aIndex]);
        }),
        "ns to start, find, call and finish");
  const size_t before = HeapBytes();
  for (const RequestId& id : ids) {
    registry.Start(id, 12, calls, kStart, 5);
  }
  Print("ledger_bytes",
        static_cast<double>(HeapBytes() - before) / kCount,
        "bytes per registered ledger with two calls to come");
}

void
MeasureThresholds(Rng& aRng)
{
  admission::ThresholdTable table;
  for (int target = 0; target < 8; target++) {
    table.Update("a.S", fmt::format("10.0.0.{}:7000", target), 2.0, kStart);
  }
  size_t allowed = 0;
  Print("threshold_check_time",
        NanosecondsPer([&](size_t) {
          allowed +=
            table.AllowsService("a.S", Kind::kLookup, 5, false, kStart, aRng)
              ? 1
              : 0;
        }),
        "ns per check of a service with 8 targets");
  if (allowed != kCount) {
    std::abort();
  }
}

} // namespace
} // namespace wagtailbend::benchmarks

int
main()
{
  using namespace wagtailbend;
  Rng rng(benchmarks::kSeed);
  benchmarks::MeasureInFlight(rng);
  benchmarks::MeasureQueued(rng);
  benchmarks::MeasureLedger(rng);
  benchmarks::MeasureThresholds(rng);
  return 0;
}
