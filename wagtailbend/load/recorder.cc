#include "wagtailbend/load/recorder.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace wagtailbend::load {
namespace {

constexpr Duration kBucket = std::chrono::milliseconds(100);
constexpr size_t kRecoveryBuckets = 5;
constexpr double kRecoveredShare = 0.95;
constexpr std::array<const char*, kVerdictCount> kVerdictNames = { "whole",
                                                                   "not_run",
                                                                   "unknown",
                                                                   "wrong",
                                                                   "short" };

double
Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

void
CountAt(std::vector<uint64_t>& aBuckets, Duration aTime)
{
  const auto index = static_cast<size_t>(aTime / kBucket);
  if (index >= aBuckets.size()) {
    aBuckets.resize(index + 1);
  }
  ++aBuckets[index];
}

} // namespace

Recorder::Recorder(std::vector<Phase> aPhases, std::vector<MixEntry> aMix)
  : m_phases(std::move(aPhases))
  , m_mix(std::move(aMix))
{
  m_cells.resize(m_phases.size() * m_mix.size());
  for (std::unique_ptr<Cell>& cell : m_cells) {
    cell = std::make_unique<Cell>();
  }
}

void
Recorder::Record(const Sample& aSample)
{
  const std::lock_guard lock(m_mutex);
  Cell& cell = At(PhaseAt(aSample.arrival.at), aSample.arrival.entry);
  ++cell.verdicts[static_cast<size_t>(aSample.verdict)];
  CountAt(m_sent, aSample.arrival.at);
  if (aSample.verdict != Verdict::kWhole) {
    return;
  }
  cell.latency.Record(aSample.latency);
  CountAt(m_whole, aSample.arrival.at + aSample.latency);
}

uint64_t
Recorder::Count(Verdict aVerdict) const
{
  uint64_t total = 0;
  for (const std::unique_ptr<Cell>& cell : m_cells) {
    total += cell->verdicts[static_cast<size_t>(aVerdict)];
  }
  return total;
}

double
Recorder::Goodput(size_t aPhase) const
{
  const auto first = static_cast<size_t>(PhaseStart(aPhase) / kBucket);
  const auto last = static_cast<size_t>(
    (PhaseStart(aPhase) + m_phases[aPhase].length) / kBucket);
  uint64_t whole = 0;
  for (size_t i = first; i < std::min(last, m_whole.size()); ++i) {
    whole += m_whole[i];
  }
  return static_cast<double>(whole) / Seconds(m_phases[aPhase].length);
}

std::optional<Duration>
Recorder::RecoveryAfter(size_t aPhase) const
{
  const double wanted =
    kRecoveredShare * Goodput(0) * Seconds(kBucket) * kRecoveryBuckets;
  const auto first = static_cast<size_t>(PhaseStart(aPhase + 1) / kBucket);
  for (size_t i = first; i + kRecoveryBuckets <= m_whole.size(); ++i) {
    uint64_t whole = 0;
    for (size_t j = i; j < i + kRecoveryBuckets; ++j) {
      whole += m_whole[j];
    }
    if (static_cast<double>(whole) >= wanted) {
      return (i - first) * kBucket;
    }
  }
  return std::nullopt;
}

std::string
Recorder::Table() const
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
    for (size_t entry = 0; entry < m_mix.size(); ++entry) {
      const Cell& cell = At(phase, entry);
      uint64_t sent = 0;
      for (const uint64_t count : cell.verdicts) {
        sent += count;
      }
      text += fmt::format(
        "{:<10} {:<32} {:>8} {:>8} {:>8} {:>8} {:>6} {:>6} {:>9.2f} {:>9.2f}\n",
        m_phases[phase].name,
        m_mix[entry].method.path.substr(1),
        sent,
        cell.verdicts[0],
        cell.verdicts[1],
        cell.verdicts[2],
        cell.verdicts[3],
        cell.verdicts[4],
        ToFractionalMilliseconds(cell.latency.Quantile(0.5)),
        ToFractionalMilliseconds(cell.latency.Quantile(0.99)));
    }
  }
  return text;
}

std::string
Recorder::Json() const
{
  nlohmann::json phases = nlohmann::json::array();
  for (size_t phase = 0; phase < m_phases.size(); ++phase) {
    nlohmann::json methods = nlohmann::json::array();
    for (size_t entry = 0; entry < m_mix.size(); ++entry) {
      const Cell& cell = At(phase, entry);
      nlohmann::json row = {
        { "method", m_mix[entry].method.path.substr(1) },
        { "p50_ms", ToFractionalMilliseconds(cell.latency.Quantile(0.5)) },
        { "p99_ms", ToFractionalMilliseconds(cell.latency.Quantile(0.99)) }
      };
      for (size_t i = 0; i < kVerdictCount; ++i) {
        row[kVerdictNames[i]] = cell.verdicts[i];
      }
      methods.push_back(std::move(row));
    }
    nlohmann::json json = { { "phase", m_phases[phase].name },
                            { "goodput_per_s", Goodput(phase) },
                            { "methods", std::move(methods) } };
    if (phase + 1 < m_phases.size()) {
      const auto recovery = RecoveryAfter(phase);
      json["recovery_s"] =
        recovery ? nlohmann::json(Seconds(*recovery)) : nlohmann::json();
    }
    phases.push_back(std::move(json));
  }
  return nlohmann::json{ { "phases", std::move(phases) } }.dump(2) + "\n";
}

std::string
Recorder::TimeSeries() const
{
  std::string text = "# seconds sent_per_s whole_per_s\n";
  const double perSecond = 1.0 / Seconds(kBucket);
  for (size_t i = 0; i < std::max(m_sent.size(), m_whole.size()); ++i) {
    const uint64_t sent = i < m_sent.size() ? m_sent[i] : 0;
    const uint64_t whole = i < m_whole.size() ? m_whole[i] : 0;
    text += fmt::format("{:.1f} {:.0f} {:.0f}\n",
                        static_cast<double>(i) * Seconds(kBucket),
                        static_cast<double>(sent) * perSecond,
                        static_cast<double>(whole) * perSecond);
  }
  return text;
}

size_t
Recorder::PhaseAt(Duration aTime) const
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
Recorder::PhaseStart(size_t aPhase) const
{
  Duration start{};
  for (size_t phase = 0; phase < aPhase; ++phase) {
    start += m_phases[phase].length;
  }
  return start;
}

Recorder::Cell&
Recorder::At(size_t aPhase, size_t aEntry)
{
  return *m_cells[aPhase * m_mix.size() + aEntry];
}

const Recorder::Cell&
Recorder::At(size_t aPhase, size_t aEntry) const
{
  return *m_cells[aPhase * m_mix.size() + aEntry];
}

} // namespace wagtailbend::load
