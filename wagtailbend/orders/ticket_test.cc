#include "wagtailbend/orders/ticket.h"

#include <gtest/gtest.h>

namespace wagtailbend::orders {
namespace {

// Guards against a ticket being altered when it is formatted into metadata and
// parsed back.
TEST(Ticket, TextFormRoundTrips)
{
  for (const uint32_t index : { 0U, 9U, 63U }) {
    const Ticket ticket{ { "ranong-1", 0xabcULL }, 0x1234, index };
    EXPECT_EQ(Ticket::Parse(ticket.ToString()), ticket);
  }
  EXPECT_EQ((Ticket{ { "a", 1 }, 2, 3 }.ToString()),
            "a/0000000000000001/0000000000000002/3");
}

// Guards against malformed metadata being parsed as a valid ticket, which would
// identify a different order.
TEST(Ticket, MalformedTextIsRejected)
{
  const std::string validPrefix = "a/0000000000000001/0000000000000002/";
  for (const std::string& text : { std::string(),
                                   std::string("/"),
                                   std::string("a/0000000000000001/3"),
                                   std::string("a/1/0000000000000002/3"),
                                   std::string("a/0000000000000001/2/3"),
                                   validPrefix,
                                   validPrefix + "64",
                                   validPrefix + "-1",
                                   validPrefix + "03",
                                   validPrefix + "3x",
                                   validPrefix + "3/" }) {
    EXPECT_EQ(Ticket::Parse(text), std::nullopt) << text;
  }
}

// Guards against a write to one ticket's bits changing an adjacent ticket.
TEST(PackedStates, SetChangesOnlyTheGivenTicket)
{
  PackedStates<uint8_t> states;
  for (uint32_t i = 0; i < kTicketsPerBlock; ++i) {
    states.Set(i, i % 4);
  }
  states.Set(31, 0);
  for (uint32_t i = 0; i < kTicketsPerBlock; ++i) {
    EXPECT_EQ(states.Get(i), i == 31 ? 0 : i % 4);
  }
  EXPECT_EQ(sizeof(states), 16U);
}

} // namespace
} // namespace wagtailbend::orders
