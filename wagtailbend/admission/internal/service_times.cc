#include "wagtailbend/admission/internal/service_times.h"

#include <algorithm>
#include <cmath>

namespace wagtailbend::admission::internal {
namespace {

constexpr size_t kMaxMethods = 1024;
constexpr uint64_t kMinRuns = 8;
// The baseline is updated with means over this many runs. Single runs vary so
// much that an estimate that falls faster than it rises would settle far below
// the mean.
constexpr uint32_t kBaselineWindowRuns = 16;
// The baseline falls quickly, because a lower latency proves what the target
// can do, and rises slowly, because a higher latency may be caused by overload.
constexpr double kBaselineFallSeconds = 2.0;
constexpr double kBaselineRiseSeconds = 30.0;
constexpr double kLongFactor = 8.0;
// Hysteresis: a long method stays long until its factor falls to this value.
constexpr double kNotLongFactor = 4.0;

double
// Weight of the newest sample: a plain mean at first, then an exponential
// moving average.
SampleWeight(uint64_t aRuns, double aMinWeight)
{
  return std::max(aMinWeight, 1.0 / static_cast<double>(aRuns));
}

} // namespace

uint32_t
ServiceTimes::IndexOf(std::string_view aPath)
{
  const auto found = m_indexes.find(aPath);
  if (found != m_indexes.end()) {
    return found->second;
  }
  if (m_methods.size() >= kMaxMethods) {
    return kMaxMethods - 1;
  }
  const auto index = static_cast<uint32_t>(m_methods.size());
  m_methods.emplace_back();
  m_indexes.emplace(aPath, index);
  return index;
}

void
ServiceTimes::UpdateBaseline(MethodStats& aMethod, TimePoint aNow)
{
  const double mean = aMethod.windowSum / aMethod.windowRuns;
  const double elapsed =
    std::chrono::duration<double>(aNow - aMethod.baselineUpdated).count();
  aMethod.windowSum = 0;
  aMethod.windowRuns = 0;
  aMethod.baselineUpdated = aNow;
  if (aMethod.baseline <= 0) {
    aMethod.baseline = mean;
    return;
  }
  const double timeConstant =
    mean < aMethod.baseline ? kBaselineFallSeconds : kBaselineRiseSeconds;
  const double weight = 1.0 - std::exp(-std::max(0.0, elapsed) / timeConstant);
  aMethod.baseline += weight * (mean - aMethod.baseline);
}

std::optional<double>
ServiceTimes::Record(uint32_t aMethod,
                     Duration aTime,
                     bool aDeclaredBulk,
                     TimePoint aNow)
{
  const double time = std::max(1.0, static_cast<double>(aTime.count()));
  MethodStats& method = m_methods[aMethod];
  method.runs++;
  method.mean += SampleWeight(method.runs, 1.0 / 16) * (time - method.mean);
  if (!aDeclaredBulk) {
    m_logRuns++;
    m_logMean +=
      SampleWeight(m_logRuns, 1.0 / 256) * (std::log(time) - m_logMean);
    const double factor = method.mean / std::exp(m_logMean);
    method.isLong = method.runs >= kMinRuns &&
                    factor > (method.isLong ? kNotLongFactor : kLongFactor);
    if (!method.isLong) {
      m_shortMean += SampleWeight(m_logRuns, 1.0 / 64) * (time - m_shortMean);
    }
  }
  const double baseline = method.baseline;
  if (method.windowRuns == 0 && baseline <= 0) {
    method.baselineUpdated = aNow;
  }
  method.windowSum += time;
  method.windowRuns++;
  if (method.windowRuns >= kBaselineWindowRuns) {
    UpdateBaseline(method, aNow);
  }
  return baseline > 0 ? std::optional<double>(time / baseline) : std::nullopt;
}

std::optional<Duration>
ServiceTimes::ExpectedTime(uint32_t aMethod) const
{
  const MethodStats& method = m_methods[aMethod];
  if (method.runs < kMinRuns) {
    return std::nullopt;
  }
  return Duration(static_cast<int64_t>(method.mean));
}

std::optional<Duration>
ServiceTimes::MeanShortTime() const
{
  if (m_logRuns < kMinRuns || m_shortMean <= 0) {
    return std::nullopt;
  }
  return Duration(static_cast<int64_t>(m_shortMean));
}

} // namespace wagtailbend::admission::internal
