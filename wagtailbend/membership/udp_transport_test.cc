#include "wagtailbend/membership/udp_transport.h"

#include <gtest/gtest.h>

namespace wagtailbend::membership {
namespace {

// Guards against datagrams of the maximum size being lost or truncated, and
// against a wrong sender address.
TEST(UdpTransportTest, CarriesDatagramsBothWays)
{
  asio::io_context io;
  std::vector<std::pair<std::string, std::string>> received;
  const auto record = [&](std::string_view aFrom, std::string_view aBytes) {
    received.emplace_back(aFrom, aBytes);
  };
  auto first = TakeValue(UdpTransport::Open(io, "127.0.0.1:0", record));
  auto second = TakeValue(UdpTransport::Open(io, "127.0.0.1:0", record));
  const std::string large(kMaxDatagramBytes, 'x');
  first->Send({ second->LocalAddress(), large });
  io.run_one_for(std::chrono::seconds(5));
  ASSERT_EQ(received.size(), 1);
  EXPECT_EQ(received[0], std::pair(first->LocalAddress(), large));
  second->Send({ received[0].first, "reply" });
  io.run_one_for(std::chrono::seconds(5));
  ASSERT_EQ(received.size(), 2);
  EXPECT_EQ(received[1],
            std::pair(second->LocalAddress(), std::string("reply")));
}

// Guards against an invalid address stopping the daemon instead of being
// reported or dropped.
TEST(UdpTransportTest, InvalidAddressesAreReportedOrDropped)
{
  asio::io_context io;
  for (const char* address :
       { "", "127.0.0.1", "name:80", "127.0.0.1:99999" }) {
    EXPECT_FALSE(IsOk(UdpTransport::Open(io, address, nullptr))) << address;
  }
  auto transport = TakeValue(UdpTransport::Open(io, "127.0.0.1:0", nullptr));
  EXPECT_FALSE(
    IsOk(UdpTransport::Open(io, transport->LocalAddress(), nullptr)));
  transport->Send({ "nowhere", "bytes" });
  EXPECT_EQ(transport->DroppedCount(), 1);
}

// Guards against calling the handler after the transport was destroyed, when a
// datagram is still waiting in the socket.
TEST(UdpTransportTest, HandlerIsNotCalledAfterDestruction)
{
  asio::io_context io;
  auto sender = TakeValue(UdpTransport::Open(io, "127.0.0.1:0", nullptr));
  int calls = 0;
  auto receiver = TakeValue(UdpTransport::Open(
    io, "127.0.0.1:0", [&](std::string_view, std::string_view) { ++calls; }));
  sender->Send({ receiver->LocalAddress(), "bytes" });
  receiver.reset();
  io.run_for(std::chrono::milliseconds(50));
  EXPECT_EQ(calls, 0);
}

} // namespace
} // namespace wagtailbend::membership
