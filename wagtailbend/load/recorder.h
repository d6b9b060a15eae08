// Counts the outcomes of a load run by method and phase.
//
//   Recorder recorder(phases, mix);
//   recorder.Record({ arrival, latency, Verdict::kWhole });
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

/// How a request ended for the customer.
enum class Verdict : uint8_t
{
  /// A complete response of this request, in time.
  kWhole,
  /// Rejected and not run.
  kNotRun,
  /// No response in time, or the outcome is unknown.
  kUnknown,
  /// A response that is not of this request. Never acceptable.
  kWrong,
  /// A response that ended early without an error. Never acceptable.
  kShort,
};

inline constexpr size_t kVerdictCount = 5;

struct Sample
{
  Arrival arrival;
  Duration latency{};
  Verdict verdict = Verdict::kWhole;
};

/// Record is thread-safe; the reports must be taken after the last Record.
class Recorder
{
public:
  Recorder(std::vector<Phase> aPhases, std::vector<MixEntry> aMix);

  void Record(const Sample& aSample);

  uint64_t Count(Verdict aVerdict) const;

  /// Whole responses per second in a phase, by time of completion.
  double Goodput(size_t aPhase) const;

  /// Time from the end of phase aPhase until the goodput over half a second is
  /// at least 95% of the goodput of phase 0. Returns nullopt if it does not
  /// get there. Precondition: aPhase is not the last phase.
  std::optional<Duration> RecoveryAfter(size_t aPhase) const;

  /// One line per method and phase.
  std::string Table() const;
  /// The same figures as one JSON object.
  std::string Json() const;
  /// Lines "seconds sent whole", one per 100 ms, for a plot.
  std::string TimeSeries() const;

private:
  struct Cell
  {
    std::array<uint64_t, kVerdictCount> verdicts{};
    observability::DurationHistogram latency;
  };

  size_t PhaseAt(Duration aTime) const;
  Duration PhaseStart(size_t aPhase) const;
  Cell& At(size_t aPhase, size_t aEntry);
  const Cell& At(size_t aPhase, size_t aEntry) const;

  mutable std::mutex m_mutex;
  std::vector<Phase> m_phases;
  std::vector<MixEntry> m_mix;
  std::vector<std::unique_ptr<Cell>> m_cells;
  std::vector<uint64_t> m_sent;
  std::vector<uint64_t> m_whole;
};

} // namespace wagtailbend::load
