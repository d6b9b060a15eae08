// The request path through real processes.

#include <gtest/gtest.h>

#include "testing/caller.h"
#include "testing/deployment.h"

namespace wagtailbend::testing {
namespace {

constexpr char kCheck[] = "/association.Balances/Check";
constexpr char kOrder[] = "/association.Payouts/Order";
constexpr char kDownload[] = "/association.Ledgers/Download";

// Guards against a path that works in one process only: the balance check
// leaves through the egress to a target in another VM.
TEST(Path, BalanceCheckThroughTwoDaemons)
{
  Deployment deployment(
    "association",
    { { "association.Balances", {} }, { "association.Settlements", {} } });
  ASSERT_TRUE(deployment.Start());
  for (size_t i = 0; i < 2; ++i) {
    Caller caller(deployment.At(i).customer);
    CallRecord record = caller.Call(kCheck, "somchai");
    EXPECT_TRUE(IsComplete(record, kCheck, "somchai"))
      << "daemon " << i << ": " << record.status.error_message();
  }
}

// Guards against taking a message of no bytes for a missing one.
TEST(Path, EmptyRequestMessage)
{
  Deployment deployment("association", { { "association.Settlements", {} } });
  ASSERT_TRUE(deployment.Start());
  Caller caller(deployment.At(0).customer);
  constexpr char kLookup[] = "/association.Settlements/Lookup";
  CallRecord record = caller.Call(kLookup, "");
  EXPECT_TRUE(IsComplete(record, kLookup, "")) << record.status.error_message();
}

// Guards against chains that lose the request on the way: each hop of
// Payouts -> Ledgers -> Settlements runs in another VM.
TEST(Path, OrderWithThreeDeepChain)
{
  Deployment deployment("association",
                        { { "association.Payouts", {} },
                          { "association.Ledgers", {} },
                          { "association.Settlements", {} } });
  ASSERT_TRUE(deployment.Start());
  Caller caller(deployment.At(2).customer);
  CallRecord record = caller.Call(kOrder, "niran");
  EXPECT_TRUE(IsComplete(record, kOrder, "niran"))
    << record.status.error_message();
}

// Guards against streams that arrive short or changed.
TEST(Path, StreamedLedgerArrivesWhole)
{
  Deployment deployment(
    "association",
    { { "association.Ledgers", {} }, { "association.Balances", {} } });
  ASSERT_TRUE(deployment.Start());
  for (size_t i = 0; i < 2; ++i) {
    Caller caller(deployment.At(i).customer);
    CallRecord record = caller.Call(kDownload, "MV Ranong");
    EXPECT_TRUE(IsComplete(record, kDownload, "MV Ranong", 64, 65536))
      << "daemon " << i << ": " << record.messages.size() << " pages, "
      << record.status.error_message();
  }
}

} // namespace
} // namespace wagtailbend::testing
