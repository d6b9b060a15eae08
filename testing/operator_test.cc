// What operators do, against real daemons.

#include <sstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "programs/wagtailctl.h"
#include "testing/deployment.h"
#include "wagtailbend/client/customer_client.h"

namespace wagtailbend::testing {
namespace {

using ::testing::HasSubstr;

int
RunCtl(const std::vector<std::string>& aArguments, std::string& aOutput)
{
  std::ostringstream out;
  std::ostringstream err;
  const int status = ctl::RunCtl(aArguments, out, err);
  aOutput = out.str() + err.str();
  return status;
}

// Guards against a command line that does not fit the daemon's service: status,
// the outcome of an order, and a drain that ends the daemon.
TEST(Operator, StatusOrderAndDrain)
{
  Deployment deployment("association",
                        { { "association.Payouts", {} },
                          { "association.Ledgers", {} },
                          { "association.Settlements", {} } });
  ASSERT_TRUE(deployment.Start());
  const std::string& admin = deployment.At(0).admin;
  std::string ticket;
  {
    client::CustomerClient customer({ deployment.At(0).customer }, 1);
    client::CallRequest order;
    order.method = "/association.Payouts/Order";
    order.timeout = std::chrono::seconds(3);
    order.order = true;
    const auto result = customer.CallAndWait(order);
    ASSERT_FALSE(result.error) << result.error->detail;
    ticket = result.ticket;
  }
  std::string output;
  EXPECT_EQ(RunCtl({ "status", "--daemons", admin }, output), 0);
  EXPECT_THAT(output, HasSubstr("own service=association.Payouts"));
  EXPECT_EQ(RunCtl({ "order", ticket, "--daemon", admin }, output), 0);
  EXPECT_THAT(output, HasSubstr("outcome=ran"));
  EXPECT_EQ(
    RunCtl({ "order", ticket, "--daemon", deployment.At(1).admin }, output), 0);
  EXPECT_THAT(output, HasSubstr("outcome=may-have-run held_here=false"));
  EXPECT_NE(RunCtl({ "order", "x", "--daemon", admin }, output), 0);
  EXPECT_THAT(output, HasSubstr("malformed ticket"));
  EXPECT_EQ(RunCtl({ "drain", "--daemon", admin }, output), 0);
  EXPECT_EQ(deployment.At(0).daemon->Wait(std::chrono::seconds(10)), 0);
}

} // namespace
} // namespace wagtailbend::testing
