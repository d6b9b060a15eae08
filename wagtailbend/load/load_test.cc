#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "wagtailbend/load/load_plan.h"
#include "wagtailbend/load/message_factory.h"
#include "wagtailbend/load/outcome_recorder.h"

namespace wagtailbend::load {
namespace {

using namespace std::chrono_literals;

schema::CompiledSchema
CompileAssociationSchema()
{
  return TakeValue(schema::CompileSchemaFile(
    std::string(WB_SOURCE_DIR) + "/schemas/association.proto", {}));
}

// Guards against a plan whose arrival rate ignores the rate factor of a phase,
// or whose arrivals are out of order.
TEST(LoadPlanTest, ArrivalsFollowTheRateOfEachPhase)
{
  const auto phases = ParsePhases("base:10:1,over:10:3");
  ASSERT_TRUE(IsOk(phases));
  const auto mix =
    ParseMix("association.Balances/Check=3,association.Payouts/Order=1",
             CompileAssociationSchema().schema);
  ASSERT_TRUE(IsOk(mix));
  Rng rng(1);
  const auto arrivals = PlanArrivals(GetValue(phases), GetValue(mix), 100, rng);
  const auto basePhaseCount =
    std::count_if(arrivals.begin(),
                  arrivals.end(),
                  [](const Arrival& aArrival) { return aArrival.at < 10s; });
  EXPECT_NEAR(static_cast<double>(basePhaseCount), 1000, 100);
  EXPECT_NEAR(static_cast<double>(arrivals.size()), 4000, 200);
  EXPECT_TRUE(std::is_sorted(arrivals.begin(),
                             arrivals.end(),
                             [](const auto& aLeft, const auto& aRight) {
                               return aLeft.at < aRight.at;
                             }));
}

// Guards against malformed phases or mixes that are accepted, such as a zero
// length, a duplicate name or an unknown method.
TEST(LoadPlanTest, InvalidTextIsRejected)
{
  for (const char* text :
       { "", "base", "base:0:1", "base:1:x", "a:1:1,a:1:1" }) {
    EXPECT_FALSE(IsOk(ParsePhases(text))) << text;
  }
  const schema::Schema schema = CompileAssociationSchema().schema;
  for (const char* text :
       { "", "no.Such/Method", "association.Balances/Check=-1" }) {
    EXPECT_FALSE(IsOk(ParseMix(text, schema))) << text;
  }
}

// Guards against a load run that does not detect a response to another request,
// a missing page, an empty response or a malformed message.
TEST(MessageFactoryTest, MismatchedAndTruncatedResponsesAreDetected)
{
  MessageFactory factory(CompileAssociationSchema().descriptorSet);
  const std::string path = "/association.Settlements/Lookup";
  const std::string response = factory.MakeRequest(path, "trip-1");
  EXPECT_TRUE(factory.IsMatchingResponse(path, "trip-1", { response }));
  EXPECT_FALSE(factory.IsMatchingResponse(path, "trip-2", { response }));
  EXPECT_FALSE(factory.IsMatchingResponse(path, "trip-1", {}));
  EXPECT_FALSE(factory.IsMatchingResponse(path, "trip-1", { "\xff" }));
  // The serialized request has the value 1 where a response has its page
  // number, and page 0 is missing.
  const std::string download = "/association.Ledgers/Download";
  const std::string pageOne = factory.MakeRequest(download, "v");
  EXPECT_FALSE(factory.IsMatchingResponse(download, "v", { pageOne }));
}

// Guards against a recovery time that is measured from another point than the
// end of the overload phase, which here lasts from 2 s to 3 s.
TEST(RecorderTest, RecoveryIsMeasuredFromTheEndOfThePhase)
{
  const std::vector<Phase> phases = { { "base", 2s, 1 },
                                      { "over", 1s, 3 },
                                      { "after", 5s, 1 } };
  OutcomeRecorder recorder(phases, { { schema::Method{}, 1 } });
  for (int i = 0; i < 800; ++i) {
    const Duration at = i * 10ms;
    const bool rejected = at >= 2s && at < 4s;
    recorder.Record(
      { { at, 0 }, 0ms, rejected ? Outcome::kNotRun : Outcome::kComplete });
  }
  EXPECT_DOUBLE_EQ(recorder.Goodput(0), 100);
  EXPECT_EQ(recorder.RecoveryTimeAfter(1), Duration(1s));
  EXPECT_EQ(recorder.Count(Outcome::kNotRun), 200U);
}

} // namespace
} // namespace wagtailbend::load
