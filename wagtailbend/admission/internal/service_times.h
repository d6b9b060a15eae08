// Service times learned per method at one target.
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
  /// Returns the index of aPath, adding it when it is new. Paths beyond 1,024
  /// share one index, so that a caller cannot grow the table.
  uint32_t IndexOf(std::string_view aPath);

  /// Records a completed run. Returns the run's time relative to the slowly
  /// moving baseline of its method, or nullopt while that is unknown.
  std::optional<double> Record(uint32_t aMethod,
                               Duration aTime,
                               bool aDeclaredBulk,
                               TimePoint aNow);

  /// Recent mean service time, or nullopt before eight runs.
  std::optional<Duration> Expected(uint32_t aMethod) const;

  /// Mean service time of work that is not long, or nullopt if unknown.
  std::optional<Duration> MeanOfShort() const;

  /// Whether the method was learned to run many times longer than the rest.
  bool IsLong(uint32_t aMethod) const { return m_methods[aMethod].isLong; }

private:
  struct Method
  {
    uint64_t runs = 0;
    double mean = 0;
    double baseline = 0;
    double windowSum = 0;
    uint32_t windowRuns = 0;
    TimePoint baselineAt;
    bool isLong = false;
  };
  static void MoveBaseline(Method& aMethod, TimePoint aNow);

  std::map<std::string, uint32_t, std::less<>> m_indexes;
  std::vector<Method> m_methods;
  double m_shortMean = 0;
  /// Moving mean of log(service time) over work not declared bulk.
  double m_logMean = 0;
  uint64_t m_logRuns = 0;
};

} // namespace wagtailbend::admission::internal
