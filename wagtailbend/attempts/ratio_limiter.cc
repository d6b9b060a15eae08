#include "wagtailbend/attempts/ratio_limiter.h"

namespace wagtailbend::attempts {
namespace {

constexpr uint32_t kCountBits = 20;
constexpr uint64_t kCountMask = (1ULL << kCountBits) - 1;
constexpr uint32_t kSecondMask = (1U << 24) - 1;

uint32_t
SecondOf(TimePoint aNow)
{
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(aNow.time_since_epoch());
  // Adds 1 because second 0 would make unused buckets look current.
  return (static_cast<uint32_t>(seconds.count()) + 1) & kSecondMask;
}

uint64_t
Pack(uint32_t aSecond, uint64_t aCalls, uint64_t aExtraAttempts)
{
  return (static_cast<uint64_t>(aSecond) << (2 * kCountBits)) |
         (aCalls << kCountBits) | aExtraAttempts;
}

uint32_t
BucketSecond(uint64_t aWord)
{
  return static_cast<uint32_t>(aWord >> (2 * kCountBits));
}

uint64_t
CallCount(uint64_t aWord)
{
  return (aWord >> kCountBits) & kCountMask;
}

uint64_t
ExtraAttempts(uint64_t aWord)
{
  return aWord & kCountMask;
}

} // namespace

RatioLimiter::RatioLimiter(uint32_t aPercent, uint32_t aMinPerWindow)
  : m_percent(aPercent)
  , m_minPerWindow(aMinPerWindow)
{
}

RatioLimiter::WindowTotals
RatioLimiter::SumWindow(uint32_t aSecond) const
{
  WindowTotals totals;
  for (const auto& bucket : m_buckets) {
    const uint64_t word = bucket.load(std::memory_order_relaxed);
    if (((aSecond - BucketSecond(word)) & kSecondMask) >= kWindowSeconds) {
      continue;
    }
    totals.calls += CallCount(word);
    totals.extraAttempts += ExtraAttempts(word);
  }
  return totals;
}

void
RatioLimiter::RecordCall(TimePoint aNow)
{
  const uint32_t second = SecondOf(aNow);
  auto& bucket = m_buckets[second % kWindowSeconds];
  uint64_t word = bucket.load(std::memory_order_relaxed);
  uint64_t next = 0;
  do {
    const bool current = BucketSecond(word) == second;
    const uint64_t calls = current ? CallCount(word) : 0;
    next = Pack(second,
                calls < kCountMask ? calls + 1 : calls,
                current ? ExtraAttempts(word) : 0);
  } while (!bucket.compare_exchange_weak(word, next));
}

bool
RatioLimiter::TryAcquire(TimePoint aNow, double aFraction)
{
  const uint32_t second = SecondOf(aNow);
  // A concurrent TryAcquire changes the current bucket, so the exchange fails
  // and the limits are checked again.
  return TryAddExtraAttempt(second, [this, second, aFraction] {
    const WindowTotals totals = SumWindow(second);
    const double next = static_cast<double>(totals.extraAttempts) + 1;
    return next <= aFraction * m_minPerWindow ||
           next * 100 <=
             aFraction * static_cast<double>(totals.calls) * m_percent;
  });
}

void
RatioLimiter::RecordUncheckedRetry(TimePoint aNow)
{
  TryAddExtraAttempt(SecondOf(aNow), [] { return true; });
}

template<typename Predicate>
bool
RatioLimiter::TryAddExtraAttempt(uint32_t aSecond, const Predicate& aIsAllowed)
{
  auto& bucket = m_buckets[aSecond % kWindowSeconds];
  uint64_t word = bucket.load(std::memory_order_relaxed);
  uint64_t next = 0;
  do {
    if (!aIsAllowed()) {
      return false;
    }
    const bool current = BucketSecond(word) == aSecond;
    const uint64_t extraAttempts = current ? ExtraAttempts(word) : 0;
    if (extraAttempts == kCountMask) {
      return false;
    }
    next = Pack(aSecond, current ? CallCount(word) : 0, extraAttempts + 1);
  } while (!bucket.compare_exchange_weak(word, next));
  return true;
}

} // namespace wagtailbend::attempts
