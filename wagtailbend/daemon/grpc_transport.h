// Attempts through gRPC's generic stub and callback API.
//
//   GrpcTransport transport;
//   auto attempt = transport.Prepare(std::move(request), observer);

#pragma once

#include "wagtailbend/daemon/peer_transport.h"

namespace wagtailbend::daemon {

/// Unary calls for methods with a single response, bidirectional streams
/// otherwise, because the generic stub offers no other streamed call.
class GrpcTransport final : public PeerTransport
{
public:
  std::shared_ptr<Attempt> Prepare(AttemptRequest aRequest,
                                   AttemptObserver& aObserver) override;
};

} // namespace wagtailbend::daemon
