// One target that calls of a service may go to, and what this daemon observed
// of it.

#pragma once

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

#include "wagtailbend/base/ids.h"
#include "wagtailbend/base/time.h"

namespace wagtailbend::routing {

/// Preference by distance; a smaller value is preferred.
enum class Locality : uint8_t
{
  kOwnDomain,
  kOwnRegion,
  kOtherRegion,
};

inline constexpr size_t kLocalityCount = 3;

/// Compares failure domain and region of this daemon with those of another.
/// Thread-safe.
inline Locality
LocalityOf(const std::string& aOwnDomain,
           const std::string& aOwnRegion,
           const std::string& aDomain,
           const std::string& aRegion)
{
  if (aOwnDomain == aDomain) {
    return Locality::kOwnDomain;
  }
  return aOwnRegion == aRegion ? Locality::kOwnRegion : Locality::kOtherRegion;
}

struct Candidate
{
  /// The daemon in front of the target.
  DaemonId id;
  std::string peerAddress;
  Locality locality = Locality::kOwnDomain;
  uint32_t slots = 1;
  /// Draining candidates are never picked.
  bool draining = false;
  /// The target started cold and gets its share of calls gradually.
  bool cold = false;
  /// The target of this daemon.
  bool self = false;

  bool operator==(const Candidate&) const = default;
};

/// Updated by traffic threads. All methods are thread-safe and lock-free.
class TargetStats
{
public:
  explicit TargetStats(double aLatencyNs)
    : m_latencyNs(aLatencyNs)
    , m_evidenceNs(aLatencyNs)
  {
  }

  /// Call when an attempt is sent.
  void Begin() { m_inFlight.fetch_add(1, std::memory_order_relaxed); }
  /// Call when it ended in any way, once per Begin.
  void End() { m_inFlight.fetch_sub(1, std::memory_order_relaxed); }

  /// Moves the average latency by aShare of the distance to aLatencyNs.
  void Blend(double aLatencyNs, double aShare)
  {
    Move(m_latencyNs, aLatencyNs, aShare);
  }
  /// The same for the evidence, which changes only by measurements.
  void BlendEvidence(double aLatencyNs, double aShare)
  {
    Move(m_evidenceNs, aLatencyNs, aShare);
  }
  void CountSample(bool aOk, TimePoint aNow)
  {
    m_samples.fetch_add(1, std::memory_order_relaxed);
    m_errors.fetch_add(aOk ? 0 : 1, std::memory_order_relaxed);
    m_sampledAt.store(aNow, std::memory_order_relaxed);
  }
  void SetHint(double aLoad, TimePoint aNow)
  {
    m_hintLoad.store(aLoad, std::memory_order_relaxed);
    m_hintAt.store(aNow, std::memory_order_release);
  }

  /// Counts a trial request to an ejected target.
  void CountTrial(bool aGood)
  {
    if (aGood) {
      m_goodTrials.fetch_add(1, std::memory_order_relaxed);
    } else {
      m_goodTrials.store(0, std::memory_order_relaxed);
    }
  }
  void ClearTrials() { CountTrial(false); }

  /// Good trials in a row.
  uint32_t GoodTrials() const
  {
    return m_goodTrials.load(std::memory_order_relaxed);
  }
  int32_t InFlight() const
  {
    return m_inFlight.load(std::memory_order_relaxed);
  }
  double LatencyNs() const
  {
    return m_latencyNs.load(std::memory_order_relaxed);
  }
  double EvidenceNs() const
  {
    return m_evidenceNs.load(std::memory_order_relaxed);
  }
  uint64_t Samples() const { return m_samples.load(std::memory_order_relaxed); }
  uint64_t Errors() const { return m_errors.load(std::memory_order_relaxed); }
  TimePoint SampledAt() const
  {
    return m_sampledAt.load(std::memory_order_relaxed);
  }
  /// Returns the reported load, or 0 if the report is older than kHintLifetime.
  double HintLoad(TimePoint aNow) const
  {
    const TimePoint at = m_hintAt.load(std::memory_order_acquire);
    return aNow - at < kHintLifetime && at != TimePoint{}
             ? m_hintLoad.load(std::memory_order_relaxed)
             : 0.0;
  }

  /// Reports lag; an older one says nothing about the target's present load.
  static constexpr Duration kHintLifetime = std::chrono::seconds(1);

private:
  static void Move(std::atomic<double>& aAverage, double aTo, double aShare)
  {
    double known = aAverage.load(std::memory_order_relaxed);
    while (!aAverage.compare_exchange_weak(
      known, known + aShare * (aTo - known), std::memory_order_relaxed)) {
    }
  }

  std::atomic<double> m_latencyNs;
  std::atomic<double> m_evidenceNs;
  std::atomic<int32_t> m_inFlight{ 0 };
  std::atomic<uint32_t> m_goodTrials{ 0 };
  std::atomic<uint64_t> m_samples{ 0 };
  std::atomic<uint64_t> m_errors{ 0 };
  std::atomic<TimePoint> m_sampledAt{ TimePoint{} };
  std::atomic<double> m_hintLoad{ 0 };
  std::atomic<TimePoint> m_hintAt{ TimePoint{} };
};

/// An entry of a snapshot; immutable but for the statistics.
struct Target
{
  Candidate candidate;
  std::shared_ptr<TargetStats> stats;
  /// Start of slow start, or the epoch if the target has its full share.
  TimePoint rampFrom;
  bool ejected = false;
};

} // namespace wagtailbend::routing
