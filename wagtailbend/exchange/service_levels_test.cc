#include "wagtailbend/exchange/service_levels.h"

#include <gtest/gtest.h>

namespace wagtailbend::exchange {
namespace {

constexpr TimePoint kStart{ std::chrono::seconds(100) };

TEST(ServiceLevelsTest, FollowsReportsAndRecoversWithoutThem)
{
  ServiceLevels levels;
  EXPECT_EQ(levels.At(kStart), (Levels{ 1, 1, 1, 1 }));
  for (int i = 0; i < 30; ++i) {
    levels.Record({ 1, 0.8, 0.5, 0.1 }, kStart);
  }
  EXPECT_NEAR(levels.At(kStart)[0], 1, 0.01);
  EXPECT_NEAR(levels.At(kStart)[2], 0.5, 0.01);
  EXPECT_NEAR(levels.At(kStart + std::chrono::seconds(2))[2], 0.9, 0.01);
  EXPECT_EQ(levels.At(kStart + std::chrono::minutes(1))[3], 1);
}

// Guards against rejecting too much, or nothing if all targets are limited.
TEST(ServiceLevelsTest, LimitedTargetStandsForItsServiceOnlyIfAllAreLimited)
{
  EXPECT_FALSE(IsRepresentative(true, true));
  EXPECT_TRUE(IsRepresentative(true, false));
  EXPECT_TRUE(IsRepresentative(false, true));
}

} // namespace
} // namespace wagtailbend::exchange
