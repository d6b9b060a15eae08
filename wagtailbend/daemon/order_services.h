// The gRPC services around orders: Customer on the customer and egress
// addresses, Peer on the peer address.
//
//   CustomerService customer(parts, snapshots);
//   builder.RegisterService(&customer);

#pragma once

#include <string>

#include "wagtailbend/customer.grpc.pb.h"
#include "wagtailbend/daemon/control_peer_service.h"
#include "wagtailbend/daemon/order_parts.h"
#include "wagtailbend/daemon/routing_snapshot.h"
#include "wagtailbend/peer.grpc.pb.h"

namespace wagtailbend::daemon {

/// What the services refer to; must outlive them.
struct OrderServiceContext
{
  OrderParts& parts;
  const SnapshotHolder& snapshots;
  ChannelPool& channels;
  /// Of this daemon.
  std::string peerAddress;
};

/// Thread-safe.
class CustomerService final : public customer::Customer::CallbackService
{
public:
  explicit CustomerService(OrderServiceContext aContext)
    : m_context(std::move(aContext))
  {
  }

  grpc::ServerUnaryReactor* DrawTickets(
    grpc::CallbackServerContext* aCall,
    const peer::DrawTicketsRequest* aRequest,
    peer::DrawTicketsReply* aReply) override;
  /// Asks the ticket's home if it is another daemon.
  grpc::ServerUnaryReactor* LookupOrder(
    grpc::CallbackServerContext* aCall,
    const customer::LookupOrderRequest* aRequest,
    customer::LookupOrderReply* aReply) override;

private:
  void LookupTicket(const orders::Ticket& aTicket,
                    customer::LookupOrderReply& aReply,
                    grpc::ServerUnaryReactor& aReactor);

  OrderServiceContext m_context;
};

/// Thread-safe.
class PeerService final : public ControlPeerService
{
public:
  PeerService(OrderServiceContext aContext,
              asio::io_context& aControl,
              ConfigRunner& aConfig,
              SummaryController& aSummaries)
    : ControlPeerService(aControl, aConfig, aSummaries)
    , m_context(std::move(aContext))
  {
  }

  grpc::ServerUnaryReactor* DrawTickets(
    grpc::CallbackServerContext* aCall,
    const peer::DrawTicketsRequest* aRequest,
    peer::DrawTicketsReply* aReply) override;
  grpc::ServerUnaryReactor* ConfirmNotStarted(
    grpc::CallbackServerContext* aCall,
    const peer::ConfirmNotStartedRequest* aRequest,
    peer::ConfirmNotStartedReply* aReply) override;
  /// Takes over a home table and announces it to all daemons known here.
  grpc::ServerUnaryReactor* HandOver(grpc::CallbackServerContext* aCall,
                                     const peer::HandOverRequest* aRequest,
                                     peer::HandOverReply* aReply) override;
  grpc::ServerUnaryReactor* LookupOrder(
    grpc::CallbackServerContext* aCall,
    const peer::PeerLookupOrderRequest* aRequest,
    peer::PeerLookupOrderReply* aReply) override;
  grpc::ServerUnaryReactor* AnnounceHomes(
    grpc::CallbackServerContext* aCall,
    const peer::AnnounceHomesRequest* aRequest,
    peer::AnnounceHomesReply* aReply) override;

private:
  void Announce(const orders::HandOverTable& aTable);

  OrderServiceContext m_context;
};

} // namespace wagtailbend::daemon
