// Records the outcomes of a load run by method and phase.
//
//   OutcomeRecorder recorder(phases, mix);
//   recorder.Record({ arrival, latency, Outcome::kComplete });
//   std::cout << recorder.Table();

#pragma once

#include <array>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "wagtailbend/load/load_plan.h"
#include "wagtailbend/observability/metrics.h"

namespace wagtailbend::load {

/// Outcome of a request as the customer sees it.
enum class Outcome : uint8_t
{
  /// A complete response to this request within the deadline.
  kComplete,
  /// Rejected without being executed.
  kNotRun,
  /// No response within the deadline, or it is unknown whether the request was
  /// executed.
  kUnknown,
  /// A response that belongs to another request. Always a fault.
  kMismatched,
  /// A response that ended early without an error. Always a fault.
  kTruncated,
};

inline constexpr size_t kOutcomeCount = 5;

/// One completed request of a load run.
struct RequestSample
{
  Arrival arrival;
  Duration latency{};
  Outcome outcome = Outcome::kComplete;
};

/// Collects samples and computes reports. Record is thread-safe. All other
/// functions must be called after the last Record.
class OutcomeRecorder
{
public:
  OutcomeRecorder(std::vector<Phase> aPhases, std::vector<MixEntry> aMix);

  void Record(const RequestSample& aSample);

  /// Returns the number of requests in all phases whose outcome is aOutcome.
  uint64_t Count(Outcome aOutcome) const;

  /// Returns the complete responses per second in a phase, by completion time.
  double Goodput(size_t aPhase) const;

  /// Returns the time from the end of phase aPhase until the goodput over half
  /// a second reaches 95% of the goodput of phase 0, or nullopt if it never
  /// does. Precondition: aPhase is not the last phase.
  std::optional<Duration> RecoveryTimeAfter(size_t aPhase) const;

  /// Returns a text table with one line per method and phase.
  std::string Table() const;
  /// Returns the counts and latencies of Table, and the goodput and recovery
  /// time of each phase, as one JSON object.
  std::string Json() const;
  /// Returns one line "seconds sent_per_s whole_per_s" per 100 ms, for a plot.
  std::string TimeSeries() const;

private:
  // Outcomes of one method in one phase.
  struct MethodStats
  {
    std::array<uint64_t, kOutcomeCount> outcomeCounts{};
    observability::DurationHistogram latency;
  };

  size_t PhaseIndexAt(Duration aTime) const;
  Duration PhaseStart(size_t aPhase) const;
  MethodStats& StatsFor(size_t aPhase, size_t aMixIndex);
  const MethodStats& StatsFor(size_t aPhase, size_t aMixIndex) const;

  mutable std::mutex m_mutex;
  std::vector<Phase> m_phases;
  std::vector<MixEntry> m_mix;
  // Ordered by phase, then by index in the mix.
  std::vector<std::unique_ptr<MethodStats>> m_stats;
  // Requests sent and complete responses received per 100 ms of the run.
  std::vector<uint64_t> m_sentPerBucket;
  std::vector<uint64_t> m_completedPerBucket;
};

} // namespace wagtailbend::load
