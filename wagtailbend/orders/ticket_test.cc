#include "wagtailbend/orders/ticket.h"

#include <gtest/gtest.h>

namespace wagtailbend::orders {
namespace {

// Guards against a ticket changing on its way through metadata.
TEST(Ticket, TextFormRoundTrips)
{
  for (const uint32_t index : { 0U, 9U, 63U }) {
    const Ticket ticket{ { "ranong-1", 0xabcULL }, 0x1234, index };
    EXPECT_EQ(Ticket::Parse(ticket.ToString()), ticket);
  }
  EXPECT_EQ((Ticket{ { "a", 1 }, 2, 3 }.ToString()),
            "a/0000000000000001/0000000000000002/3");
}

// Guards against malformed metadata being taken for some other ticket.
TEST(Ticket, MalformedTextIsRejected)
{
  const std::string good = "a/0000000000000001/0000000000000002/";
  for (const std::string& text : { std::string(),
                                   std::string("/"),
                                   std::string("a/0000000000000001/3"),
                                   std::string("a/1/0000000000000002/3"),
                                   std::string("a/0000000000000001/2/3"),
                                   good,
                                   good + "64",
                                   good + "-1",
                                   good + "03",
                                   good + "3x",
                                   good + "3/" }) {
    EXPECT_EQ(Ticket::Parse(text), std::nullopt) << text;
  }
}

// Guards against a state spilling into the neighbouring ticket.
TEST(PackedStates, EachTicketHasItsOwnState)
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
