#include "wagtailbend/daemon/order_codec.h"

#include <algorithm>
#include <memory>

namespace wagtailbend::daemon {
namespace {

using orders::HandOverTable;
using orders::TicketResult;

constexpr uint32_t kBitsPerResult = 2;
constexpr uint32_t kResultsPerByte = 8 / kBitsPerResult;
// Leaves room for the blocks below the 16 MiB that a message may have.
constexpr size_t kMaxResponseBytes = size_t{ 8 } << 20;
// Encoded ids and lengths of one response.
constexpr size_t kResponseOverhead = 100;

std::string
EncodeResults(const orders::PackedStates<TicketResult>& aResults)
{
  std::string bytes(orders::kTicketsPerBlock / kResultsPerByte, '\0');
  for (uint32_t i = 0; i < orders::kTicketsPerBlock; ++i) {
    auto result = static_cast<uint32_t>(aResults.Get(i));
    char& byte = bytes[i / kResultsPerByte];
    byte = static_cast<char>(static_cast<uint8_t>(byte) |
                             result << (i % kResultsPerByte * kBitsPerResult));
  }
  return bytes;
}

// Results that are missing in a malformed message are unknown.
orders::PackedStates<TicketResult>
DecodeResults(const std::string& aBytes)
{
  orders::PackedStates<TicketResult> results;
  for (uint32_t i = 0; i < orders::kTicketsPerBlock; ++i) {
    const size_t at = i / kResultsPerByte;
    uint32_t result = static_cast<uint32_t>(TicketResult::kUnknown);
    if (at < aBytes.size()) {
      result = static_cast<uint8_t>(aBytes[at]) >>
                 (i % kResultsPerByte * kBitsPerResult) &
               3U;
    }
    results.Set(i, static_cast<TicketResult>(result));
  }
  return results;
}

uint64_t
Milliseconds(Duration aDuration)
{
  return static_cast<uint64_t>(std::max<int64_t>(0, ToMilliseconds(aDuration)));
}

} // namespace

DaemonId
DecodeDaemonId(const peer::DaemonId& aMessage)
{
  return { aMessage.name(), aMessage.incarnation() };
}

void
EncodeDaemonId(const DaemonId& aId, peer::DaemonId& aMessage)
{
  aMessage.set_name(aId.name);
  aMessage.set_incarnation(aId.incarnation);
}

orders::Ticket
DecodeTicket(const peer::OrderTicket& aMessage)
{
  return { DecodeDaemonId(aMessage.home()),
           aMessage.block(),
           aMessage.index() };
}

void
EncodeTicket(const orders::Ticket& aTicket, peer::OrderTicket& aMessage)
{
  EncodeDaemonId(aTicket.home, *aMessage.mutable_home());
  aMessage.set_block(aTicket.block);
  aMessage.set_index(aTicket.index);
}

peer::HandOverRequest
EncodeHandOver(const HandOverTable& aTable)
{
  peer::HandOverRequest request;
  EncodeDaemonId(aTable.successor, *request.mutable_successor());
  for (const HandOverTable::Home& home : aTable.homes) {
    auto& message = *request.add_homes();
    EncodeDaemonId(home.id, *message.mutable_id());
    message.set_first_block(home.firstBlock);
    for (const HandOverTable::Block& block : home.blocks) {
      auto& encoded = *message.add_blocks();
      encoded.set_results(EncodeResults(block.results));
      encoded.set_remaining_ms(Milliseconds(block.remaining));
    }
  }
  size_t bytes = 0;
  for (const HandOverTable::Response& response : aTable.responses) {
    bytes += response.response->bytes.size() + kResponseOverhead;
    if (bytes > kMaxResponseBytes) {
      break;
    }
    auto& message = *request.add_responses();
    EncodeTicket(response.ticket, *message.mutable_ticket());
    message.set_payload_hash(response.payloadHash);
    message.set_status(response.response->status);
    message.set_response(response.response->bytes);
    message.set_remaining_ms(Milliseconds(response.remaining));
  }
  return request;
}

HandOverTable
DecodeHandOver(const peer::HandOverRequest& aRequest)
{
  HandOverTable table;
  table.successor = DecodeDaemonId(aRequest.successor());
  for (const auto& message : aRequest.homes()) {
    HandOverTable::Home& home = table.homes.emplace_back();
    home.id = DecodeDaemonId(message.id());
    home.firstBlock = message.first_block();
    for (const auto& block : message.blocks()) {
      home.blocks.push_back(
        { DecodeResults(block.results()),
          std::chrono::milliseconds(block.remaining_ms()) });
    }
  }
  for (const auto& message : aRequest.responses()) {
    table.responses.push_back(
      { DecodeTicket(message.ticket()),
        message.payload_hash(),
        std::make_shared<const orders::StoredResponse>(
          orders::StoredResponse{ message.status(), message.response() }),
        std::chrono::milliseconds(message.remaining_ms()) });
  }
  return table;
}

RunState
RunStateOf(const orders::TicketStatus& aStatus)
{
  switch (aStatus.result) {
    case TicketResult::kNotRun:
      return RunState::kNotRun;
    case TicketResult::kRan:
      return RunState::kRan;
    case TicketResult::kOpen:
    case TicketResult::kUnknown:
      break;
  }
  return RunState::kMayHaveRun;
}

} // namespace wagtailbend::daemon
