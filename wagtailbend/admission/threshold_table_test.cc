#include "wagtailbend/admission/threshold_table.h"

#include <gtest/gtest.h>

namespace wagtailbend::admission {
namespace {

using schema::Kind;
using std::chrono::milliseconds;

const TimePoint kStart{ std::chrono::seconds(100) };

int
CountAllowed(const ThresholdTable& aTable, Kind aKind, uint32_t aPriority)
{
  Rng rng(3);
  int allowed = 0;
  for (int i = 0; i < 1000; i++) {
    allowed +=
      aTable.AllowsService("s", aKind, aPriority, false, kStart, rng) ? 1 : 0;
  }
  return allowed;
}

// Guards against a service that stays blocked because no request is sent to
// learn that its threshold fell, and against orders that are rejected before
// they reach their target.
TEST(ThresholdTableTest, RejectsLowPrioritiesButLetsProbesAndOrdersPass)
{
  ThresholdTable table;
  table.Update("s", "t1", 4.5, kStart);
  table.Update("s", "t2", 6.0, kStart);
  EXPECT_EQ(CountAllowed(table, Kind::kLookup, 5), 1000);
  EXPECT_NEAR(CountAllowed(table, Kind::kLookup, 4), 510, 60);
  const int probes = CountAllowed(table, Kind::kLookup, 2);
  EXPECT_GT(probes, 5);
  EXPECT_LT(probes, 40);
  EXPECT_EQ(CountAllowed(table, Kind::kOrder, 0), 1000);
}

// Guards against a threshold that stays in force after the overload has ended.
TEST(ThresholdTableTest, DecaysAndExpires)
{
  ThresholdTable table;
  table.Update("s", "t", 6.0, kStart);
  EXPECT_EQ(table.TargetThreshold("s", "t", kStart + milliseconds(500)), 6.0);
  EXPECT_NEAR(
    table.TargetThreshold("s", "t", kStart + milliseconds(1250)), 3.0, 0.01);
  EXPECT_EQ(table.ServiceThreshold("s", kStart + milliseconds(2000)), 0.0);
}

// Guards against a target that no longer responds and whose decayed threshold
// makes the whole service accept all requests.
TEST(ThresholdTableTest, IgnoresTargetsThatNoLongerRespond)
{
  ThresholdTable table;
  table.Update("s", "gone", 0.0, kStart);
  const TimePoint later = kStart + std::chrono::seconds(11);
  table.Update("s", "alive", 5.0, later);
  EXPECT_EQ(table.ServiceThreshold("s", later), 5.0);
}

// Guards against malformed or out-of-range metadata that is accepted as a
// threshold.
TEST(ThresholdTableTest, MetadataTextRoundTripsAndRejectsOtherText)
{
  EXPECT_EQ(ParseThreshold(FormatThreshold(4.25)), 4.25);
  for (const char* text : { "", "x", "-1", "9.5", "nan", "4 ", "inf" }) {
    EXPECT_FALSE(ParseThreshold(text)) << text;
  }
}

} // namespace
} // namespace wagtailbend::admission
