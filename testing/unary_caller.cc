#include "testing/unary_caller.h"

#include <chrono>

#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/impl/codegen/client_unary_call.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/byte_buffer.h>

#include "testing/fake_replies.h"
#include "wagtailbend/base/ids.h"
#include "wagtailbend/daemon/metadata.h"

namespace wagtailbend::testing {

UnaryCaller::UnaryCaller(const std::string& aAddress)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  m_channel = grpc::CreateCustomChannel(
    "ipv4:" + aAddress, grpc::InsecureChannelCredentials(), arguments);
}

bool
UnaryCaller::Call(const std::string& aMethod, const std::string& aKey)
{
  thread_local Rng rng = MakeSeededRng();
  grpc::ClientContext context;
  context.AddMetadata(daemon::kRequestIdKey, RequestId::Random(rng).ToString());
  context.AddMetadata(daemon::kAttemptIdKey, AttemptId::Random(rng).ToString());
  context.set_deadline(std::chrono::system_clock::now() +
                       std::chrono::seconds(5));
  grpc::Slice slice(RequestFor(*FindMethod(aMethod), aKey));
  grpc::ByteBuffer request(&slice, 1);
  grpc::ByteBuffer response;
  grpc::internal::RpcMethod method(aMethod.c_str(),
                                   grpc::internal::RpcMethod::NORMAL_RPC);
  grpc::Status status =
    grpc::internal::BlockingUnaryCall<grpc::ByteBuffer, grpc::ByteBuffer>(
      m_channel.get(), method, &context, request, &response);
  return status.ok() && response.Valid();
}

} // namespace wagtailbend::testing
