// A target that calls of a service can be sent to, and this daemon's statistics
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

/// Locality of a target as seen from this daemon; smaller values are preferred.
enum class Locality : uint8_t
{
  kSameFailureDomain,
  kSameRegion,
  kOtherRegion,
};

inline constexpr size_t kLocalityCount = 3;

/// Returns the locality of a daemon in aDomain and aRegion as seen from a
/// daemon in aLocalDomain and aLocalRegion. Thread-safe.
inline Locality
LocalityOf(const std::string& aLocalDomain,
           const std::string& aLocalRegion,
           const std::string& aDomain,
           const std::string& aRegion)
{
  if (aLocalDomain == aDomain) {
    return Locality::kSameFailureDomain;
  }
  return aLocalRegion == aRegion ? Locality::kSameRegion
                                 : Locality::kOtherRegion;
}

/// A target that the balancer may pick.
struct Candidate
{
  /// The daemon through which the target is reached.
  DaemonId id;
  std::string peerAddress;
  Locality locality = Locality::kSameFailureDomain;
  uint32_t slots = 1;
  /// Draining candidates are never picked.
  bool draining = false;
  /// The target started cold, so its share of calls is ramped up.
  bool cold = false;
  /// Whether this is the target of this daemon.
  bool isLocal = false;

  bool operator==(const Candidate&) const = default;
};

/// Load and latency statistics of a target, updated by traffic threads. All
/// methods are thread-safe and lock-free.
class TargetStats
{
public:
  explicit TargetStats(double aLatencyNs)
    : m_latencyNs(aLatencyNs)
    , m_ejectionLatencyNs(aLatencyNs)
  {
  }

  /// Must be called when an attempt is sent.
  void Begin() { m_inFlight.fetch_add(1, std::memory_order_relaxed); }
  /// Must be called once per Begin when the attempt ends in any way.
  void End() { m_inFlight.fetch_sub(1, std::memory_order_relaxed); }

  /// Moves the average latency towards aLatencyNs by aShare of the distance.
  void UpdateLatency(double aLatencyNs, double aShare)
  {
    UpdateAverage(m_latencyNs, aLatencyNs, aShare);
  }
  /// Likewise for the ejection latency, which only changes by measurements.
  void UpdateEjectionLatency(double aLatencyNs, double aShare)
  {
    UpdateAverage(m_ejectionLatencyNs, aLatencyNs, aShare);
  }
  void RecordSample(bool aOk, TimePoint aNow)
  {
    m_samples.fetch_add(1, std::memory_order_relaxed);
    m_errors.fetch_add(aOk ? 0 : 1, std::memory_order_relaxed);
    m_lastSampleTime.store(aNow, std::memory_order_relaxed);
  }
  void SetReportedLoad(double aLoad, TimePoint aNow)
  {
    m_reportedLoad.store(aLoad, std::memory_order_relaxed);
    m_reportedAt.store(aNow, std::memory_order_release);
  }

  /// Records the result of a trial request to an ejected target.
  void RecordTrial(bool aGood)
  {
    if (aGood) {
      m_goodTrials.fetch_add(1, std::memory_order_relaxed);
    } else {
      m_goodTrials.store(0, std::memory_order_relaxed);
    }
  }
  void ResetTrials() { RecordTrial(false); }

  /// Returns the number of consecutive good trials.
  uint32_t ConsecutiveGoodTrials() const
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
  double EjectionLatencyNs() const
  {
    return m_ejectionLatencyNs.load(std::memory_order_relaxed);
  }
  uint64_t Samples() const { return m_samples.load(std::memory_order_relaxed); }
  uint64_t Errors() const { return m_errors.load(std::memory_order_relaxed); }
  TimePoint LastSampleTime() const
  {
    return m_lastSampleTime.load(std::memory_order_relaxed);
  }
  /// Returns the reported load, or 0 if the report is older than
  /// kReportedLoadLifetime.
  double ReportedLoad(TimePoint aNow) const
  {
    const TimePoint at = m_reportedAt.load(std::memory_order_acquire);
    return aNow - at < kReportedLoadLifetime && at != TimePoint{}
             ? m_reportedLoad.load(std::memory_order_relaxed)
             : 0.0;
  }

  /// Older reports say nothing about the target's current load.
  static constexpr Duration kReportedLoadLifetime = std::chrono::seconds(1);

private:
  static void UpdateAverage(std::atomic<double>& aAverage,
                            double aValue,
                            double aShare)
  {
    double current = aAverage.load(std::memory_order_relaxed);
    while (
      !aAverage.compare_exchange_weak(current,
                                      current + aShare * (aValue - current),
                                      std::memory_order_relaxed)) {
    }
  }

  std::atomic<double> m_latencyNs;
  std::atomic<double> m_ejectionLatencyNs;
  std::atomic<int32_t> m_inFlight{ 0 };
  std::atomic<uint32_t> m_goodTrials{ 0 };
  std::atomic<uint64_t> m_samples{ 0 };
  std::atomic<uint64_t> m_errors{ 0 };
  std::atomic<TimePoint> m_lastSampleTime{ TimePoint{} };
  std::atomic<double> m_reportedLoad{ 0 };
  std::atomic<TimePoint> m_reportedAt{ TimePoint{} };
};

/// A candidate in a snapshot. Immutable except for the statistics.
struct Target
{
  Candidate candidate;
  std::shared_ptr<TargetStats> stats;
  /// Start of the ramp, or the epoch if the target has its full share.
  TimePoint rampStart;
  bool ejected = false;
};

} // namespace wagtailbend::routing
