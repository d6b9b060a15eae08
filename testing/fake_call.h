// One call at the fake target.

#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include <google/protobuf/descriptor.h>
#include <grpcpp/alarm.h>
#include <grpcpp/client_context.h>
#include <grpcpp/generic/async_generic_service.h>

#include "testing/fake_target.h"
#include "wagtailbend/answers/response_verifier.h"

namespace wagtailbend::testing {

/// Deletes itself after the call has ended. Steps: read the request, wait for
/// the service time, make the downstream calls one after the other, reply.
class FakeCall final : public grpc::ServerGenericBidiReactor
{
public:
  FakeCall(FakeTarget& aTarget, grpc::GenericCallbackServerContext& aContext);

  void OnReadDone(bool aOk) override;
  void OnWriteDone(bool aOk) override;
  void OnCancel() override;
  void OnDone() override;

private:
  void RecordIfOrder();
  bool Park();
  void Run();
  void CallNext();
  void CallOne(const std::string& aPath);
  void Reply();
  void ReleaseSlot();
  void SendPage();
  void Fail(grpc::StatusCode aCode,
            const char* aError,
            const char* aRun,
            const std::string& aDetail);

  FakeTarget& m_target;
  grpc::GenericCallbackServerContext& m_context;
  const google::protobuf::MethodDescriptor* m_descriptor = nullptr;
  const schema::Method* m_method = nullptr;
  std::pair<std::string, std::string> m_ids;
  std::string m_key;
  bool m_hasSlot = false;
  grpc::ByteBuffer m_request;
  grpc::ByteBuffer m_response;
  grpc::Alarm m_alarm;
  size_t m_nextCall = 0;
  std::unique_ptr<grpc::ClientContext> m_child;
  std::mutex m_childMutex;
  bool m_cancelled = false;
  // The silent fault holds the call.
  bool m_parked = false;
  grpc::ByteBuffer m_childRequest;
  grpc::ByteBuffer m_childResponse;
  uint32_t m_page = 0;
  bool m_duplicated = false;
  answers::FrameChecksum m_checksum;
};

} // namespace wagtailbend::testing
