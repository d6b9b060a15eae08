// Blocking calls of the operators' service of one daemon.
//
//   AdminClient daemon("10.0.0.4:7003");
//   admin::StatusReply reply;
//   grpc::Status status =
//     daemon.Call(&AdminClient::Stub::Status, {}, reply);

#pragma once

#include <memory>
#include <string>

#include <grpcpp/grpcpp.h>

#include "programs/wagtailctl.h"
#include "wagtailbend/admin.grpc.pb.h"

namespace wagtailbend::ctl {

/// Not thread-safe.
class AdminClient
{
public:
  using Stub = admin::Admin::Stub;

  /// aAddress is HOST:PORT by IP number.
  explicit AdminClient(const std::string& aAddress)
    : m_stub(admin::Admin::NewStub(
        grpc::CreateChannel("ipv4:" + aAddress,
                            grpc::InsecureChannelCredentials())))
  {
  }

  /// Calls aMethod with kRpcTimeout.
  template<typename Request, typename Reply>
  grpc::Status Call(grpc::Status (Stub::*aMethod)(grpc::ClientContext*,
                                                  const Request&,
                                                  Reply*),
                    const Request& aRequest,
                    Reply& aReply)
  {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + kRpcTimeout);
    return (m_stub.get()->*aMethod)(&context, aRequest, &aReply);
  }

private:
  std::unique_ptr<Stub> m_stub;
};

} // namespace wagtailbend::ctl
