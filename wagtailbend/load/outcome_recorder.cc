#include "wagtailbend/load/outcome_recorder.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace wagtailbend::load {
namespace {

constexpr Duration kBucketWidth = std::chrono::milliseconds(100);
constexpr size_t kRecoveryWindowBuckets = 5;
constexpr double kRecoveredGoodputFraction = 0.95;
constexpr std::array<const char*, kOutcomeCount> kOutcomeNames = { "whole",
                                                                   "not_run",
                                                                   "unknown",
                                                                   "wrong",
                                                                   "short" };

double
ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

void
IncrementBucketAt(std::vector<uint64_t>& aBuckets, Duration aTime)
{
  const auto index = static_cast<size_t>(aTime / kBucketWidth);
  if (index >= aBuckets.size()) {
    aBuckets.resize(index + 1);
  }
  ++aBuckets[index];
}

} // namespace

OutcomeRecorder::OutcomeRecorder(std::vector<Phase> aPhases,
                                 std::vector<MixEntry> aMix)
  : m_phases(std::move(aPhases))
  , m_mix(std::move(aMix))
{
  m_stats.resize(m_phases.size() * m_mix.size());
  for (std::unique_ptr<MethodStats>& stats : m_stats) {
    stats = std::make_unique<MethodStats>();
  }
}

void
OutcomeRecorder::Record(const RequestSample& aSample)
{
  const std::lock_guard lock(m_mutex);
  MethodStats& stats =
    StatsFor(PhaseIndexAt(aSample.arrival.at), aSample.arrival.mixIndex);
  ++stats.outcomeCounts[static_cast<size_t>(aSample.outcome)];
  IncrementBucketAt(m_sentPerBucket, aSample.arrival.at);
  if (aSample.outcome != Outcome::kComplete) {
    return;
  }
  stats.latency.Record(aSample.latency);
  IncrementBucketAt(m_completedPerBucket, aSample.arrival.at + aSample.latency);
}

uint64_t
OutcomeRecorder::Count(Outcome aOutcome) const
{
  uint64_t total = 0;
  for (const std::unique_ptr<MethodStats>& stats : m_stats) {
    total += stats->outcomeCounts[static_cast<size_t>(aOutcome)];
  }
  return total;
}

double
OutcomeRecorder::Goodput(size_t aPhase) const
{
  const auto firstBucket =
    static_cast<size_t>(PhaseStart(aPhase) / kBucketWidth);
  const auto endBucket = static_cast<size_t>(
    (PhaseStart(aPhase) + m_phases[aPhase].length) / kBucketWidth);
  uint64_t completed = 0;
  for (size_t i = firstBucket;
       i < std::min(endBucket, m_completedPerBucket.size());
       ++i) {
    completed += m_completedPerBucket[i];
  }
  return static_cast<double>(completed) / ToSeconds(m_phases[aPhase].length);
}

std::optional<Duration>
OutcomeRecorder::RecoveryTimeAfter(size_t aPhase) const
{
  const double requiredResponses = kRecoveredGoodputFraction * Goodput(0) *
                                   ToSeconds(kBucketWidth) *
                                   kRecoveryWindowBuckets;
  const auto firstBucket =
    static_cast<size_t>(PhaseStart(aPhase + 1) / kBucketWidth);
  for (size_t i = firstBucket;
       i + kRecoveryWindowBuckets <= m_completedPerBucket.size();
       ++i) {
    uint64_t completed = 0;
    for (size_t j = i; j < i + kRecoveryWindowBuckets; ++j) {
      completed += m_completedPerBucket[j];
    }
    if (static_cast<double>(completed) >= requiredResponses) {
      return (i - firstBucket) * kBucketWidth;
    }
  }
  return std::nullopt;
}

std::string
OutcomeRecorder::Table() const
{
  std::string text = fmt::format("{:<10} {:<32} {:>8} {:>8} {:>8} {:>8} {:>6} "
                                 "{:>6} {:>9} {:>9}\n",
                                 "phase",
                                 "method",
                                 "sent",
                                 "whole",
                                 "not_run",
                                 "unknown",
                                 "wrong",
                                 "short",
                                 "p50_ms",
                                 "p99_ms");
  for (size_t phase = 0; phase < m_phases.size(); ++phase) {
    for (size_t mixIndex = 0; mixIndex < m_mix.size(); ++mixIndex) {
      const MethodStats& stats = StatsFor(phase, mixIndex);
      uint64_t sent = 0;
      for (const uint64_t count : stats.outcomeCounts) {
        sent += count;
      }
      text += fmt::format(
        "{:<10} {:<32} {:>8} {:>8} {:>8} {:>8} {:>6} {:>6} {:>9.2f} {:>9.2f}\n",
        m_phases[phase].name,
        m_mix[mixIndex].method.path.substr(1),
        sent,
        stats.outcomeCounts[0],
        stats.outcomeCounts[1],
        stats.outcomeCounts[2],
        stats.outcomeCounts[3],
        stats.outcomeCounts[4],
        ToFractionalMilliseconds(stats.latency.Quantile(0.5)),
        ToFractionalMilliseconds(stats.latency.Quantile(0.99)));
    }
  }
  return text;
}

std::string
OutcomeRecorder::Json() const
{
  nlohmann::json phases = nlohmann::json::array();
  for (size_t phase = 0; phase < m_phases.size(); ++phase) {
    nlohmann::json methods = nlohmann::json::array();
    for (size_t mixIndex = 0; mixIndex < m_mix.size(); ++mixIndex) {
      const MethodStats& stats = StatsFor(phase, mixIndex);
      nlohmann::json row = {
        { "method", m_mix[mixIndex].method.path.substr(1) },
        { "p50_ms", ToFractionalMilliseconds(stats.latency.Quantile(0.5)) },
        { "p99_ms", ToFractionalMilliseconds(stats.latency.Quantile(0.99)) }
      };
      for (size_t i = 0; i < kOutcomeCount; ++i) {
        row[kOutcomeNames[i]] = stats.outcomeCounts[i];
      }
      methods.push_back(std::move(row));
    }
    nlohmann::json json = { { "phase", m_phases[phase].name },
                            { "goodput_per_s", Goodput(phase) },
                            { "methods", std::move(methods) } };
    if (phase + 1 < m_phases.size()) {
      const auto recovery = RecoveryTimeAfter(phase);
      json["recovery_s"] =
        recovery ? nlohmann::json(ToSeconds(*recovery)) : nlohmann::json();
    }
    phases.push_back(std::move(json));
  }
  return nlohmann::json{ { "phases", std::move(phases) } }.dump(2) + "\n";
}

std::string
OutcomeRecorder::TimeSeries() const
{
  std::string text = "# seconds sent_per_s whole_per_s\n";
  const double perSecond = 1.0 / ToSeconds(kBucketWidth);
  for (size_t i = 0;
       i < std::max(m_sentPerBucket.size(), m_completedPerBucket.size());
       ++i) {
    const uint64_t sent = i < m_sentPerBucket.size() ? m_sentPerBucket[i] : 0;
    const uint64_t completed =
      i < m_completedPerBucket.size() ? m_completedPerBucket[i] : 0;
    text += fmt::format("{:.1f} {:.0f} {:.0f}\n",
                        static_cast<double>(i) * ToSeconds(kBucketWidth),
                        static_cast<double>(sent) * perSecond,
                        static_cast<double>(completed) * perSecond);
  }
  return text;
}

size_t
OutcomeRecorder::PhaseIndexAt(Duration aTime) const
{
  Duration end{};
  for (size_t phase = 0; phase < m_phases.size(); ++phase) {
    end += m_phases[phase].length;
    if (aTime < end) {
      return phase;
    }
  }
  return m_phases.size() - 1;
}

Duration
OutcomeRecorder::PhaseStart(size_t aPhase) const
{
  Duration start{};
  for (size_t phase = 0; phase < aPhase; ++phase) {
    start += m_phases[phase].length;
  }
  return start;
}

OutcomeRecorder::MethodStats&
OutcomeRecorder::StatsFor(size_t aPhase, size_t aMixIndex)
{
  return *m_stats[aPhase * m_mix.size() + aMixIndex];
}

const OutcomeRecorder::MethodStats&
OutcomeRecorder::StatsFor(size_t aPhase, size_t aMixIndex) const
{
  return *m_stats[aPhase * m_mix.size() + aMixIndex];
}

} // namespace wagtailbend::load
