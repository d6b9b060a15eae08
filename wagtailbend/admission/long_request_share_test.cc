#include <gtest/gtest.h>

#include "wagtailbend/admission/internal/long_request_share.h"

namespace wagtailbend::admission::internal {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint32_t kLimit = 100;

/// Simulates a target whose short runs take aRatio(long runs) times their
/// baseline. Long requests use the whole cap at once, and five of them end each
/// second.
class LongShareTest : public ::testing::Test
{
protected:
  template<typename Ratio>
  void Simulate(Duration aFor, Ratio aRatio)
  {
    for (const TimePoint end = m_now + aFor; m_now < end;
         m_now += milliseconds(1)) {
      const uint32_t cap = m_share.Cap(kLimit);
      if (m_long < cap) {
        m_long = cap;
      } else if (m_long > cap && ++m_ticks % 200 == 0) {
        m_long--;
      }
      m_share.Record(aRatio(m_long), m_long, kLimit, m_now);
    }
  }

  LongRequestShare m_share;
  TimePoint m_now{ seconds(1) };
  uint32_t m_long = 0;
  int m_ticks = 0;
};

// Guards against downloads that slow short requests by a third (overload_bench,
// seeds 2 to 4: the p99 of short requests with bulk is 1.51 to 1.53 times that
// without).
TEST_F(LongShareTest, DecreasesUntilShortRequestsAreNotSlowed)
{
  const auto ratio = [](uint32_t aLong) {
    return aLong > 18 ? 1.0 + (aLong - 15) * 0.05 : 1.0;
  };
  EXPECT_EQ(m_share.Cap(kLimit), 25U);
  Simulate(seconds(5), ratio);
  EXPECT_LE(m_long, 20U);
  // One decrease is enough: the next one waits until the previous one has taken
  // effect.
  EXPECT_GE(m_share.Cap(kLimit), 15U);
}

// Guards against a share that stays small after the slowdown has ended.
TEST_F(LongShareTest, IncreasesWhenShortRequestsAreNotSlowed)
{
  Simulate(seconds(3), [](uint32_t) { return 1.3; });
  ASSERT_LT(m_share.Cap(kLimit), 25U);
  Simulate(seconds(20), [](uint32_t) { return 1.0; });
  EXPECT_EQ(m_share.Cap(kLimit), 25U);
}

// Guards against a share that stays small, which starves downloads, although
// the target is slow for another reason.
TEST_F(LongShareTest, ReturnsToAQuarterIfTheMinimumDoesNotHelp)
{
  Simulate(seconds(8), [](uint32_t) { return 3.0; });
  EXPECT_EQ(m_share.Cap(kLimit), 25U);
}

// Guards against a share that shrinks while no long request runs, and against a
// cap of 0.
TEST_F(LongShareTest, IgnoresSlownessWithoutLongRequests)
{
  for (int i = 0; i < 5000; i++, m_now += milliseconds(1)) {
    m_share.Record(3.0, 0, kLimit, m_now);
  }
  EXPECT_EQ(m_share.Cap(kLimit), 25U);
  EXPECT_EQ(m_share.Cap(2), 1U);
}

} // namespace
} // namespace wagtailbend::admission::internal
