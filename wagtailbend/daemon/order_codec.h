// Conversions between the orders module and the daemons' protocol.
//
//   peer::HandOverRequest request = EncodeHandOver(table);
//   orders::HandOverTable table = DecodeHandOver(request);

#pragma once

#include "wagtailbend/orders/home_table.h"
#include "wagtailbend/peer.pb.h"

namespace wagtailbend::daemon {

/// All functions are thread-safe.
DaemonId
DecodeDaemonId(const peer::DaemonId& aMessage);

void
EncodeDaemonId(const DaemonId& aId, peer::DaemonId& aMessage);

orders::Ticket
DecodeTicket(const peer::OrderTicket& aMessage);

void
EncodeTicket(const orders::Ticket& aTicket, peer::OrderTicket& aMessage);

/// Leaves out responses that do not fit into one message; their orders are
/// then answered as already-ran. The table is not split, because a table can be
/// imported only once.
peer::HandOverRequest
EncodeHandOver(const orders::HandOverTable& aTable);

/// Precondition: none; a malformed message yields blocks without results.
orders::HandOverTable
DecodeHandOver(const peer::HandOverRequest& aRequest);

/// Returns the value of `wb-run` that is known about an order. Only final
/// results are reported as not-run.
RunState
RunStateOf(const orders::TicketStatus& aStatus);

} // namespace wagtailbend::daemon
