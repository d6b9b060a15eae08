// Unary calls of the Peer service without blocking.
//
//   CallPeer<peer::HandOverReply>(
//     *link, &peer::Peer::Stub::async_interface::HandOver, request, timeout,
//     [](const grpc::Status& aStatus, const peer::HandOverReply& aReply) {});

#pragma once

#include <functional>
#include <memory>
#include <utility>

#include <grpcpp/client_context.h>

#include "wagtailbend/daemon/channel_pool.h"
#include "wagtailbend/peer.grpc.pb.h"

namespace wagtailbend::daemon {

/// Method is a member of peer::Peer::StubInterface::async_interface. Waits for
/// a connection, at most aTimeout in all. Calls aDone once, on a gRPC thread.
/// Thread-safe.
template<typename Reply, typename Request>
void
CallPeer(PeerLink& aLink,
         void (peer::Peer::StubInterface::async_interface::*aMethod)(
           grpc::ClientContext*,
           const Request*,
           Reply*,
           std::function<void(grpc::Status)>),
         Request aRequest,
         Duration aTimeout,
         std::function<void(const grpc::Status&, const Reply&)> aDone)
{
  struct State
  {
    std::unique_ptr<peer::Peer::Stub> stub;
    grpc::ClientContext context;
    Request request;
    Reply reply;
    std::function<void(const grpc::Status&, const Reply&)> done;
  };
  auto state = std::make_shared<State>();
  state->stub = peer::Peer::NewStub(aLink.Current(WorkClass::kShort)->channel);
  state->request = std::move(aRequest);
  state->done = std::move(aDone);
  state->context.set_wait_for_ready(true);
  state->context.set_deadline(
    std::chrono::system_clock::now() +
    std::chrono::duration_cast<std::chrono::system_clock::duration>(aTimeout));
  (state->stub->async()->*aMethod)(&state->context,
                                   &state->request,
                                   &state->reply,
                                   [state](const grpc::Status& aStatus) {
                                     state->done(aStatus, state->reply);
                                   });
}

} // namespace wagtailbend::daemon
