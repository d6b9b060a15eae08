#include "testing/caller.h"

#include <future>

#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>
#include <grpcpp/support/client_callback.h>

#include "testing/fake_replies.h"
#include "wagtailbend/answers/response_verifier.h"
#include "wagtailbend/customer.grpc.pb.h"
#include "wagtailbend/daemon/metadata.h"
#include "wagtailbend/orders/ticket.h"

namespace wagtailbend::testing {
namespace {

std::string
TextOf(const grpc::ByteBuffer& aBuffer)
{
  grpc::Slice slice;
  if (!aBuffer.DumpToSingleSlice(&slice).ok()) {
    return "";
  }
  return { reinterpret_cast<const char*>(slice.begin()), slice.size() };
}

class CallReactor final
  : public grpc::ClientBidiReactor<grpc::ByteBuffer, grpc::ByteBuffer>
{
public:
  CallReactor(grpc::Channel& aChannel,
              const std::string& aMethod,
              const std::string& aKey,
              const CallOptions& aOptions)
    : m_options(aOptions)
    , m_stub(aChannel.shared_from_this())
  {
    Rng rng = MakeSeededRng();
    m_record.requestId = RequestId::Random(rng).ToString();
    m_context.AddMetadata(daemon::kRequestIdKey, m_record.requestId);
    if (!aOptions.ticket.empty()) {
      m_context.AddMetadata(daemon::kTicketKey, aOptions.ticket);
    }
    if (!aOptions.orderKey.empty()) {
      m_context.AddMetadata(daemon::kOrderKeyKey, aOptions.orderKey);
    }
    if (!aOptions.incarnation.empty()) {
      m_context.AddMetadata(daemon::kIncarnationKey, aOptions.incarnation);
    }
    m_record.ticket = aOptions.ticket;
    m_context.set_deadline(std::chrono::system_clock::now() + aOptions.timeout);
    grpc::Slice slice(RequestFor(*FindMethod(aMethod), aKey));
    m_request = grpc::ByteBuffer(&slice, 1);
    m_stub.PrepareBidiStreamingCall(&m_context, aMethod, {}, this);
    StartWriteLast(&m_request, grpc::WriteOptions());
    StartRead(&m_frame);
    StartCall();
  }

  void OnReadDone(bool aOk) override
  {
    if (!aOk) {
      return;
    }
    m_record.messages.push_back(TextOf(m_frame));
    m_frame.Clear();
    if (m_options.onMessage) {
      m_options.onMessage(m_record.messages.size());
    }
    StartRead(&m_frame);
  }

  void OnDone(const grpc::Status& aStatus) override
  {
    m_record.status = aStatus;
    auto text = [](const auto& aMetadata, const char* aKey) {
      return std::string(daemon::FindMetadata(aMetadata, aKey));
    };
    const auto& trailers = m_context.GetServerTrailingMetadata();
    m_record.echoedRequestId =
      text(m_context.GetServerInitialMetadata(), daemon::kRequestIdKey);
    if (m_record.echoedRequestId.empty()) {
      m_record.echoedRequestId = text(trailers, daemon::kRequestIdKey);
    }
    m_record.error = text(trailers, daemon::kErrorKey);
    m_record.run = text(trailers, daemon::kRunKey);
    m_record.retryAfter = text(trailers, daemon::kRetryAfterKey);
    m_record.frames = text(trailers, daemon::kFramesKey);
    m_record.checksum = text(trailers, daemon::kChecksumKey);
    m_done.set_value();
  }

  CallRecord Wait()
  {
    m_done.get_future().wait();
    return std::move(m_record);
  }

private:
  CallOptions m_options;
  grpc::GenericStub m_stub;
  grpc::ClientContext m_context;
  grpc::ByteBuffer m_request;
  grpc::ByteBuffer m_frame;
  CallRecord m_record;
  std::promise<void> m_done;
};

} // namespace

Caller::Caller(const std::string& aAddress)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  m_channel = grpc::CreateCustomChannel(
    "ipv4:" + aAddress, grpc::InsecureChannelCredentials(), arguments);
}

CallRecord
Caller::Call(const std::string& aMethod,
             const std::string& aKey,
             const CallOptions& aOptions)
{
  CallOptions options = aOptions;
  // Every order of both schemas; other methods ignore the ticket.
  const bool order = aMethod.ends_with("/Order") || aMethod.ends_with("/Place");
  if (order && !options.bare && options.ticket.empty() &&
      options.orderKey.empty()) {
    options.ticket = DrawTicket();
  }
  CallReactor reactor(*m_channel, aMethod, aKey, options);
  return reactor.Wait();
}

std::string
Caller::DrawTicket()
{
  std::lock_guard lock(m_mutex);
  if (m_tickets.empty()) {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() +
                         std::chrono::seconds(2));
    peer::DrawTicketsReply reply;
    customer::Customer::NewStub(m_channel)->DrawTickets(&context, {}, &reply);
    DaemonId home{ reply.home().name(), reply.home().incarnation() };
    for (uint32_t i = 0; i < reply.count(); ++i) {
      m_tickets.push_back(orders::Ticket{ home, reply.block(), i }.ToString());
    }
  }
  if (m_tickets.empty()) {
    return "";
  }
  std::string ticket = m_tickets.back();
  m_tickets.pop_back();
  return ticket;
}

std::string
Caller::LookupOrder(const std::string& aTicket, const std::string& aOrderKey)
{
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() +
                       std::chrono::seconds(2));
  customer::LookupOrderRequest request;
  request.set_ticket(aTicket);
  request.set_order_key(aOrderKey);
  customer::LookupOrderReply reply;
  auto stub = customer::Customer::NewStub(m_channel);
  return stub->LookupOrder(&context, request, &reply).ok() ? reply.run() : "";
}

bool
IsComplete(const CallRecord& aRecord,
           const std::string& aMethod,
           const std::string& aKey,
           uint32_t aPages,
           size_t aPageBytes)
{
  const auto* method = FindMethod(aMethod);
  if (!aRecord.status.ok() || aRecord.echoedRequestId != aRecord.requestId ||
      aRecord.messages.size() != aPages) {
    return false;
  }
  answers::FrameChecksum checksum;
  for (uint32_t page = 0; page < aPages; ++page) {
    const std::string& message = aRecord.messages[page];
    if (message != ReplyFor(*method, aKey, page, aPageBytes)) {
      return false;
    }
    checksum.BeginFrame(message.size());
    checksum.AddFrameBytes(message);
  }
  return !method->server_streaming() ||
         (aRecord.frames == checksum.FrameCountText() &&
          aRecord.checksum == checksum.ChecksumText());
}

} // namespace wagtailbend::testing
