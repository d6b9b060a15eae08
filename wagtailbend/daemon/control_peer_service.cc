#include "wagtailbend/daemon/control_peer_service.h"

#include <asio/post.hpp>

#include "wagtailbend/daemon/metadata.h"

namespace wagtailbend::daemon {

grpc::ServerUnaryReactor*
ControlPeerService::FetchConfig(grpc::CallbackServerContext* aCall,
                                const peer::FetchConfigRequest* aRequest,
                                peer::FetchConfigReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aCall->DefaultReactor();
  asio::post(m_control, [this, aRequest, aReply, reactor] {
    auto current = m_config.Current();
    if (!current || current->version.version < aRequest->at_least_version()) {
      reactor->Finish(StatusOf({ ErrorKind::kNotFound, "no such version" }));
      return;
    }
    VersionToProto(current->version, *aReply->mutable_version());
    aReply->set_body(current->body);
    reactor->Finish(grpc::Status::OK);
  });
  return reactor;
}

grpc::ServerUnaryReactor*
ControlPeerService::ExchangeSummary(
  grpc::CallbackServerContext* aCall,
  const peer::ExchangeSummaryRequest* aRequest,
  peer::ExchangeSummaryReply* aReply)
{
  // Names and addresses repeat, so compression shrinks the reply several times.
  aCall->set_compression_algorithm(GRPC_COMPRESS_GZIP);
  grpc::ServerUnaryReactor* reactor = aCall->DefaultReactor();
  asio::post(m_control, [this, aRequest, aReply, reactor] {
    m_summaries.Answer(*aRequest, *aReply);
    reactor->Finish(grpc::Status::OK);
  });
  return reactor;
}

grpc::ServerUnaryReactor*
ControlPeerService::Probe(grpc::CallbackServerContext* aCall,
                          const peer::ProbeRequest* /*aRequest*/,
                          peer::ProbeReply* /*aReply*/)
{
  grpc::ServerUnaryReactor* reactor = aCall->DefaultReactor();
  reactor->Finish(grpc::Status::OK);
  return reactor;
}

} // namespace wagtailbend::daemon
