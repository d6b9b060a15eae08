#include "wagtailbend/daemon/admin_service.h"

#include <asio/post.hpp>

#include "wagtailbend/daemon/metadata.h"

namespace wagtailbend::daemon {

grpc::ServerUnaryReactor*
AdminService::Status(grpc::CallbackServerContext* aCall,
                     const admin::StatusRequest* /*aRequest*/,
                     admin::StatusReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aCall->DefaultReactor();
  asio::post(m_control, [this, aReply, reactor] {
    m_hooks.status(*aReply);
    reactor->Finish(grpc::Status::OK);
  });
  return reactor;
}

grpc::ServerUnaryReactor*
AdminService::PushConfig(grpc::CallbackServerContext* aCall,
                         const admin::PushConfigRequest* aRequest,
                         admin::PushConfigReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aCall->DefaultReactor();
  asio::post(m_control, [this, aRequest, aReply, reactor] {
    aReply->set_version_in_force(m_hooks.push(*aRequest));
    reactor->Finish(grpc::Status::OK);
  });
  return reactor;
}

grpc::ServerUnaryReactor*
AdminService::Drain(grpc::CallbackServerContext* aCall,
                    const admin::DrainRequest* /*aRequest*/,
                    admin::DrainReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aCall->DefaultReactor();
  asio::post(m_control, [this, aReply, reactor] {
    aReply->set_started(m_hooks.drain());
    reactor->Finish(grpc::Status::OK);
  });
  return reactor;
}

grpc::ServerUnaryReactor*
AdminService::LookupOrder(grpc::CallbackServerContext* aCall,
                          const admin::LookupOrderRequest* aRequest,
                          admin::LookupOrderReply* aReply)
{
  grpc::ServerUnaryReactor* reactor = aCall->DefaultReactor();
  asio::post(m_control, [this, aRequest, aReply, reactor] {
    const auto error = m_hooks.order(aRequest->ticket(), *aReply);
    reactor->Finish(error ? StatusOf(*error) : grpc::Status::OK);
  });
  return reactor;
}

} // namespace wagtailbend::daemon
