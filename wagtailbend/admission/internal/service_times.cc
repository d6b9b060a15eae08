#include "wagtailbend/admission/internal/service_times.h"

#include <algorithm>
#include <cmath>

namespace wagtailbend::admission::internal {
namespace {

constexpr size_t kMaxMethods = 1024;
constexpr uint64_t kMinimumRuns = 8;
// The baseline moves by means of this many runs. Single runs vary so much that
// an estimate that falls faster than it rises would settle far below the mean.
constexpr uint32_t kBaselineWindow = 16;
// The baseline falls fast, because a lower latency proves what the target can
// do, and rises slowly, because a higher one may be overload.
constexpr double kFallSeconds = 2.0;
constexpr double kRiseSeconds = 30.0;
constexpr double kLongFactor = 8.0;
// Hysteresis: a method counts as long until it falls under this factor.
constexpr double kShortAgainFactor = 4.0;

double
Weight(uint64_t aRuns, double aFloor)
{
  return std::max(aFloor, 1.0 / static_cast<double>(aRuns));
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
ServiceTimes::MoveBaseline(Method& aMethod, TimePoint aNow)
{
  const double mean = aMethod.windowSum / aMethod.windowRuns;
  const double elapsed =
    std::chrono::duration<double>(aNow - aMethod.baselineAt).count();
  aMethod.windowSum = 0;
  aMethod.windowRuns = 0;
  aMethod.baselineAt = aNow;
  if (aMethod.baseline <= 0) {
    aMethod.baseline = mean;
    return;
  }
  const double constant = mean < aMethod.baseline ? kFallSeconds : kRiseSeconds;
  const double weight = 1.0 - std::exp(-std::max(0.0, elapsed) / constant);
  aMethod.baseline += weight * (mean - aMethod.baseline);
}

std::optional<double>
ServiceTimes::Record(uint32_t aMethod,
                     Duration aTime,
                     bool aDeclaredBulk,
                     TimePoint aNow)
{
  const double time = std::max(1.0, static_cast<double>(aTime.count()));
  Method& method = m_methods[aMethod];
  method.runs++;
  method.mean += Weight(method.runs, 1.0 / 16) * (time - method.mean);
  if (!aDeclaredBulk) {
    m_logRuns++;
    m_logMean += Weight(m_logRuns, 1.0 / 256) * (std::log(time) - m_logMean);
    const double factor = method.mean / std::exp(m_logMean);
    method.isLong = method.runs >= kMinimumRuns &&
                    factor > (method.isLong ? kShortAgainFactor : kLongFactor);
    if (!method.isLong) {
      m_shortMean += Weight(m_logRuns, 1.0 / 64) * (time - m_shortMean);
    }
  }
  const double baseline = method.baseline;
  if (method.windowRuns == 0 && baseline <= 0) {
    method.baselineAt = aNow;
  }
  method.windowSum += time;
  method.windowRuns++;
  if (method.windowRuns >= kBaselineWindow) {
    MoveBaseline(method, aNow);
  }
  return baseline > 0 ? std::optional<double>(time / baseline) : std::nullopt;
}

std::optional<Duration>
ServiceTimes::Expected(uint32_t aMethod) const
{
  const Method& method = m_methods[aMethod];
  if (method.runs < kMinimumRuns) {
    return std::nullopt;
  }
  return Duration(static_cast<int64_t>(method.mean));
}

std::optional<Duration>
ServiceTimes::MeanOfShort() const
{
  if (m_logRuns < kMinimumRuns || m_shortMean <= 0) {
    return std::nullopt;
  }
  return Duration(static_cast<int64_t>(m_shortMean));
}

} // namespace wagtailbend::admission::internal
