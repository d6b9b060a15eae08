// Estimates service times per method at one target.
//
// Not thread-safe: guarded by the lock of the target's Admission.

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wagtailbend/base/time.h"

namespace wagtailbend::admission::internal {

class ServiceTimes
{
public:
  /// Returns the index of aPath, adding it if it is new. Paths beyond the first
  /// 1,024 share one index, so that callers cannot grow the table without
  /// bound.
  uint32_t IndexOf(std::string_view aPath);

  /// Records a completed run. Returns its time relative to the slowly changing
  /// baseline of its method, or nullopt if the baseline is not known yet.
  std::optional<double> Record(uint32_t aMethod,
                               Duration aTime,
                               bool aDeclaredBulk,
                               TimePoint aNow);

  /// Returns the recent mean service time, or nullopt before eight runs.
  std::optional<Duration> ExpectedTime(uint32_t aMethod) const;

  /// Returns the mean service time of methods that are not long, or nullopt if
  /// unknown.
  std::optional<Duration> MeanShortTime() const;

  /// Returns whether the method was observed to run many times longer than the
  /// others.
  bool IsLong(uint32_t aMethod) const { return m_methods[aMethod].isLong; }

private:
  struct MethodStats
  {
    uint64_t runs = 0;
    double mean = 0;
    double baseline = 0;
    double windowSum = 0;
    uint32_t windowRuns = 0;
    TimePoint baselineUpdated;
    bool isLong = false;
  };
  static void UpdateBaseline(MethodStats& aMethod, TimePoint aNow);

  std::map<std::string, uint32_t, std::less<>> m_indexes;
  std::vector<MethodStats> m_methods;
  double m_shortMean = 0;
  /// Moving average of log(service time) over requests not declared bulk.
  double m_logMean = 0;
  uint64_t m_logRuns = 0;
};

} // namespace wagtailbend::admission::internal
