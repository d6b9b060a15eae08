#include "wagtailbend/daemon/order_services.h"

#include <algorithm>
#include <utility>

#include "wagtailbend/daemon/metadata.h"
#include "wagtailbend/daemon/order_codec.h"
#include "wagtailbend/daemon/peer_call.h"
#include "wagtailbend/observability/event_log.h"

namespace wagtailbend::daemon {
namespace {

using Async = peer::Peer::StubInterface::async_interface;

constexpr Duration kLookupTimeout = std::chrono::milliseconds(500);
constexpr Duration kAnnounceTimeout = std::chrono::seconds(2);

grpc::ServerUnaryReactor*
Answer(grpc::CallbackServerContext& aCall, const grpc::Status& aStatus)
{
  grpc::ServerUnaryReactor* reactor = aCall.DefaultReactor();
  reactor->Finish(aStatus);
  return reactor;
}

grpc::ServerUnaryReactor*
IssueBlock(OrderBook& aBook,
           grpc::CallbackServerContext& aCall,
           peer::DrawTicketsReply& aReply)
{
  const TimePoint now = MonotonicNow();
  auto issued = aBook.IssueBlock(now);
  if (const Error* error = GetError(issued)) {
    return Answer(aCall, StatusOf(*error));
  }
  const orders::TicketBlock& block = GetValue(issued);
  EncodeDaemonId(block.home, *aReply.mutable_home());
  aReply.set_block(block.block);
  aReply.set_count(block.count);
  aReply.set_expires_in_ms(
    static_cast<uint32_t>(ToMilliseconds(block.expiresAt - now)));
  return Answer(aCall, grpc::Status::OK);
}

} // namespace

grpc::ServerUnaryReactor*
CustomerService::DrawTickets(grpc::CallbackServerContext* aCall,
                             const peer::DrawTicketsRequest* /*aRequest*/,
                             peer::DrawTicketsReply* aReply)
{
  return IssueBlock(m_context.parts.book, *aCall, *aReply);
}

grpc::ServerUnaryReactor*
CustomerService::LookupOrder(grpc::CallbackServerContext* aCall,
                             const customer::LookupOrderRequest* aRequest,
                             customer::LookupOrderReply* aReply)
{
  if (!aRequest->ticket().empty()) {
    auto ticket = orders::Ticket::Parse(aRequest->ticket());
    if (!ticket) {
      return Answer(
        *aCall, StatusOf({ ErrorKind::kInvalidRequest, "malformed ticket" }));
    }
    grpc::ServerUnaryReactor* reactor = aCall->DefaultReactor();
    LookupTicket(*ticket, *aReply, *reactor);
    return reactor;
  }
  KeyClaims* claims = m_context.parts.claims.get();
  if (!claims || aRequest->order_key().empty()) {
    return Answer(*aCall,
                  StatusOf({ claims ? ErrorKind::kInvalidRequest
                                    : ErrorKind::kPlatformUnavailable,
                             "no ticket or key to look up" }));
  }
  grpc::ServerUnaryReactor* reactor = aCall->DefaultReactor();
  claims->Find(aRequest->order_key(),
               [this, aReply, reactor](const KeyClaims::Claimed& aClaimed) {
                 if (const Error* error = GetError(aClaimed)) {
                   reactor->Finish(StatusOf(*error));
                   return;
                 }
                 LookupTicket(GetValue(aClaimed), *aReply, *reactor);
               });
  return reactor;
}

void
CustomerService::LookupTicket(const orders::Ticket& aTicket,
                              customer::LookupOrderReply& aReply,
                              grpc::ServerUnaryReactor& aReactor)
{
  aReply.set_run(std::string(RunStateName(RunState::kMayHaveRun)));
  if (auto status = m_context.parts.book.Lookup(aTicket)) {
    aReply.set_run(std::string(RunStateName(RunStateOf(*status))));
    aReactor.Finish(grpc::Status::OK);
    return;
  }
  auto link = m_context.parts.book.Serves(aTicket.home)
                ? nullptr
                : FindHome(*m_context.snapshots.Load(),
                           m_context.parts.homes,
                           aTicket.home);
  if (!link) {
    aReactor.Finish(grpc::Status::OK);
    return;
  }
  peer::PeerLookupOrderRequest request;
  EncodeTicket(aTicket, *request.mutable_ticket());
  CallPeer<peer::PeerLookupOrderReply, peer::PeerLookupOrderRequest>(
    *link,
    &Async::LookupOrder,
    std::move(request),
    kLookupTimeout,
    [&aReply, &aReactor](const grpc::Status& aStatus,
                         const peer::PeerLookupOrderReply& aFound) {
      if (aStatus.ok() && aFound.held()) {
        aReply.set_run(aFound.run());
      }
      aReactor.Finish(grpc::Status::OK);
    });
}

grpc::ServerUnaryReactor*
PeerService::DrawTickets(grpc::CallbackServerContext* aCall,
                         const peer::DrawTicketsRequest* /*aRequest*/,
                         peer::DrawTicketsReply* aReply)
{
  return IssueBlock(m_context.parts.book, *aCall, *aReply);
}

grpc::ServerUnaryReactor*
PeerService::ConfirmNotStarted(grpc::CallbackServerContext* aCall,
                               const peer::ConfirmNotStartedRequest* aRequest,
                               peer::ConfirmNotStartedReply* aReply)
{
  const orders::GrantDecision decision = m_context.parts.book.ConfirmNotStarted(
    DecodeTicket(aRequest->ticket()),
    DecodeDaemonId(aRequest->addressed()),
    MonotonicNow());
  aReply->set_not_started(decision == orders::GrantDecision::kNotStarted);
  return Answer(*aCall, grpc::Status::OK);
}

grpc::ServerUnaryReactor*
PeerService::HandOver(grpc::CallbackServerContext* aCall,
                      const peer::HandOverRequest* aRequest,
                      peer::HandOverReply* aReply)
{
  const orders::HandOverTable table = DecodeHandOver(*aRequest);
  auto imported = m_context.parts.book.Import(table, MonotonicNow());
  const Error* error = GetError(imported);
  observability::Event("orders_taken_over")
    .Add("from", table.homes.empty() ? "" : table.homes[0].id.ToString())
    .Add("responses", static_cast<int64_t>(table.responses.size()))
    .Add("error", error ? error->detail : "")
    .Info();
  aReply->set_imported(error == nullptr);
  if (error != nullptr) {
    aReply->set_error(error->detail);
  } else {
    Announce(table);
  }
  return Answer(*aCall, grpc::Status::OK);
}

void
PeerService::Announce(const orders::HandOverTable& aTable)
{
  peer::AnnounceHomesRequest request;
  for (const orders::HandOverTable::Home& home : aTable.homes) {
    EncodeDaemonId(home.id, *request.add_homes());
  }
  EncodeDaemonId(m_context.parts.book.Self(), *request.mutable_served_by());
  request.set_peer_address(m_context.peerAddress);
  // The range expression of a loop does not keep a temporary snapshot alive.
  const auto snapshot = m_context.snapshots.Load();
  for (const auto& [daemon, link] : snapshot->daemons) {
    CallPeer<peer::AnnounceHomesReply, peer::AnnounceHomesRequest>(
      *link,
      &Async::AnnounceHomes,
      request,
      kAnnounceTimeout,
      [](const grpc::Status&, const peer::AnnounceHomesReply&) {});
  }
}

grpc::ServerUnaryReactor*
PeerService::LookupOrder(grpc::CallbackServerContext* aCall,
                         const peer::PeerLookupOrderRequest* aRequest,
                         peer::PeerLookupOrderReply* aReply)
{
  auto status = m_context.parts.book.Lookup(DecodeTicket(aRequest->ticket()));
  aReply->set_held(status.has_value());
  const orders::TicketStatus known = status.value_or(
    orders::TicketStatus{ orders::TicketResult::kUnknown, false, {} });
  aReply->set_run(std::string(RunStateName(RunStateOf(known))));
  aReply->set_running(known.running);
  if (!known.grantedTo.name.empty()) {
    EncodeDaemonId(known.grantedTo, *aReply->mutable_granted_to());
  }
  return Answer(*aCall, grpc::Status::OK);
}

grpc::ServerUnaryReactor*
PeerService::AnnounceHomes(grpc::CallbackServerContext* aCall,
                           const peer::AnnounceHomesRequest* aRequest,
                           peer::AnnounceHomesReply* /*aReply*/)
{
  std::vector<DaemonId> homes;
  for (const peer::DaemonId& home : aRequest->homes()) {
    homes.push_back(DecodeDaemonId(home));
  }
  m_context.parts.homes.Announce(
    homes, m_context.channels.Link(aRequest->peer_address()));
  return Answer(*aCall, grpc::Status::OK);
}

} // namespace wagtailbend::daemon
