#include "wagtailbend/client/customer_client.h"

#include <future>

#include <grpcpp/client_context.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/generic/generic_stub.h>
#include <grpcpp/support/byte_buffer.h>

#include "wagtailbend/answers/response_verifier.h"
#include "wagtailbend/customer.grpc.pb.h"
#include "wagtailbend/daemon/metadata.h"

namespace wagtailbend::client {
namespace {

constexpr int kKeepAliveMs = 1000;
constexpr auto kTicketTimeout = std::chrono::milliseconds(500);
// Tickets are dropped this long before the home expires them, so that an order
// is not sent with a ticket that expires on the way.
constexpr auto kTicketMargin = std::chrono::seconds(5);
constexpr int kMaxTries = 2;

std::shared_ptr<grpc::Channel>
MakeChannel(const std::string& aAddress)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, kKeepAliveMs);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kKeepAliveMs);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kKeepAliveMs);
  return grpc::CreateCustomChannel(
    "ipv4:" + aAddress, grpc::InsecureChannelCredentials(), arguments);
}

std::string
ToString(const grpc::ByteBuffer& aBuffer)
{
  std::vector<grpc::Slice> slices;
  std::string text;
  if (!aBuffer.Dump(&slices).ok()) {
    return text;
  }
  for (const grpc::Slice& slice : slices) {
    text.append(reinterpret_cast<const char*>(slice.begin()), slice.size());
  }
  return text;
}

std::string
Metadata(const std::multimap<grpc::string_ref, grpc::string_ref>& aMap,
         const char* aKey)
{
  return std::string(daemon::FindMetadata(aMap, aKey));
}

} // namespace

/// One call of the customer, with up to two sends.
class CustomerClient::Pending
  : public std::enable_shared_from_this<CustomerClient::Pending>
{
public:
  Pending(CustomerClient& aClient, CallRequest aRequest, Callback aDone)
    : m_client(aClient)
    , m_request(std::move(aRequest))
    , m_done(std::move(aDone))
    , m_start(MonotonicNow())
    , m_systemDeadline(
        std::chrono::system_clock::now() +
        std::chrono::duration_cast<std::chrono::system_clock::duration>(
          m_request.timeout))
  {
  }

  const CallRequest& Request() const { return m_request; }
  size_t DaemonIndex() const { return m_daemon; }
  void SetDaemon(size_t aDaemon) { m_daemon = aDaemon; }
  bool NeedsTicket() const
  {
    return m_request.order && m_ticket.empty() && m_request.orderKey.empty();
  }
  void SetTicket(std::string aTicket) { m_ticket = std::move(aTicket); }

  void Send(grpc::Channel& aChannel, RequestId aRequestId, AttemptId aAttempt)
  {
    m_exchange =
      std::make_unique<Exchange>(shared_from_this(), aRequestId, aAttempt);
    m_exchange->Start(aChannel.shared_from_this());
  }

  void Finish(CallResult aResult)
  {
    ++m_tries;
    if (aResult.error && (aResult.error->kind == ErrorKind::kConnectionLost ||
                          aResult.error->kind == ErrorKind::kDraining)) {
      // Its home is gone or leaving.
      m_client.DropTickets(m_daemon);
    }
    if (MayResend(aResult)) {
      // Not run is final for a ticket; the order needs another one.
      if (aResult.runState == RunState::kNotRun) {
        m_ticket = m_request.ticket;
      }
      m_excluded = m_daemon;
      m_daemon = m_client.PickDaemon(m_excluded);
      m_client.Dispatch(shared_from_this());
      return;
    }
    aResult.latency = MonotonicNow() - m_start;
    aResult.ticket = m_ticket;
    m_done(std::move(aResult));
    m_client.Finished();
  }

private:
  // One send, its gRPC objects and its checks.
  class Exchange
    : public grpc::ClientBidiReactor<grpc::ByteBuffer, grpc::ByteBuffer>
  {
  public:
    Exchange(std::shared_ptr<Pending> aOwner,
             RequestId aRequestId,
             AttemptId aAttempt)
      : m_owner(std::move(aOwner))
      , m_verifier(aRequestId,
                   aAttempt,
                   m_owner->m_request.streamed,
                   m_owner->m_request.timeout,
                   MonotonicNow())
    {
      m_context.AddMetadata(daemon::kRequestIdKey, aRequestId.ToString());
      m_context.AddMetadata(daemon::kAttemptIdKey, aAttempt.ToString());
      if (!m_owner->m_ticket.empty()) {
        m_context.AddMetadata(daemon::kTicketKey, m_owner->m_ticket);
      }
      if (!m_owner->m_request.orderKey.empty()) {
        m_context.AddMetadata(daemon::kOrderKeyKey,
                              m_owner->m_request.orderKey);
      }
      m_context.set_deadline(m_owner->m_systemDeadline);
      const grpc::Slice slice(m_owner->m_request.payload);
      m_payload = grpc::ByteBuffer(&slice, 1);
    }

    void Start(std::shared_ptr<grpc::ChannelInterface> aChannel)
    {
      grpc::GenericStub stub(std::move(aChannel));
      stub.PrepareBidiStreamingCall(
        &m_context, m_owner->m_request.method, {}, this);
      StartWriteLast(&m_payload, grpc::WriteOptions());
      StartRead(&m_frame);
      StartCall();
    }

    void OnReadDone(bool aOk) override
    {
      if (!aOk) {
        return;
      }
      const auto& initial = m_context.GetServerInitialMetadata();
      if (!m_error && m_verifier.FrameCount() == 0) {
        m_error = m_verifier.OnIds(Metadata(initial, daemon::kRequestIdKey),
                                   Metadata(initial, daemon::kAttemptIdKey));
      }
      std::string message = ToString(m_frame);
      if (!m_error) {
        m_error = m_verifier.OnFrame(message.size(), MonotonicNow());
        m_verifier.OnFrameBytes(message);
      }
      m_messages.push_back(std::move(message));
      m_frame.Clear();
      StartRead(&m_frame);
    }

    void OnDone(const grpc::Status& aStatus) override
    {
      CallResult result;
      const auto& trailers = m_context.GetServerTrailingMetadata();
      if (!aStatus.ok()) {
        Describe(aStatus, trailers, result);
      } else if (m_error) {
        result.error = m_error;
        result.runState = RunState::kMayHaveRun;
      } else if (auto error =
                   m_verifier.OnEnd(Metadata(trailers, daemon::kFramesKey),
                                    Metadata(trailers, daemon::kChecksumKey))) {
        result.error = error;
        result.runState = RunState::kMayHaveRun;
      } else {
        result.messages = std::move(m_messages);
      }
      // Releases the reference cycle with the owner. Finish may destroy this
      // exchange by sending again.
      const std::shared_ptr<Pending> owner = std::move(m_owner);
      owner->Finish(std::move(result));
    }

  private:
    static void Describe(
      const grpc::Status& aStatus,
      const std::multimap<grpc::string_ref, grpc::string_ref>& aTrailers,
      CallResult& aResult)
    {
      const auto kind =
        ErrorKindFromName(Metadata(aTrailers, daemon::kErrorKey));
      const auto run = RunStateFromName(Metadata(aTrailers, daemon::kRunKey));
      const bool late =
        aStatus.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
      const ErrorKind implied =
        late ? ErrorKind::kDeadlineExceeded : ErrorKind::kConnectionLost;
      aResult.error = Error{ kind.value_or(implied), aStatus.error_message() };
      aResult.runState = run.value_or(RunState::kMayHaveRun);
    }

    std::shared_ptr<Pending> m_owner;
    answers::ResponseVerifier m_verifier;
    grpc::ClientContext m_context;
    grpc::ByteBuffer m_payload;
    grpc::ByteBuffer m_frame;
    std::vector<std::string> m_messages;
    std::optional<Error> m_error;
  };

  // A lookup may be repeated after a lost connection. An order keeps its
  // ticket, with which a repetition cannot run it a second time.
  bool MayResend(const CallResult& aResult) const
  {
    if (!aResult.error || m_tries >= kMaxTries ||
        m_client.m_daemons.size() < 2) {
      return false;
    }
    const ErrorKind kind = aResult.error->kind;
    return kind == ErrorKind::kDraining || kind == ErrorKind::kConnectionLost ||
           kind == ErrorKind::kNoConfiguration;
  }

  CustomerClient& m_client;
  CallRequest m_request;
  Callback m_done;
  TimePoint m_start;
  std::chrono::system_clock::time_point m_systemDeadline;
  size_t m_daemon = 0;
  std::optional<size_t> m_excluded;
  std::string m_ticket = m_request.ticket;
  int m_tries = 0;
  std::unique_ptr<Exchange> m_exchange;
};

CustomerClient::CustomerClient(const std::vector<std::string>& aDaemons,
                               uint64_t aSeed)
  : m_rng(aSeed)
{
  m_daemons.reserve(aDaemons.size());
  for (const std::string& address : aDaemons) {
    Daemon daemon;
    daemon.channel = MakeChannel(address);
    m_daemons.push_back(std::move(daemon));
  }
}

CustomerClient::~CustomerClient()
{
  std::unique_lock lock(m_mutex);
  m_idle.wait(lock, [this] { return m_outstanding == 0; });
}

void
CustomerClient::Call(CallRequest aRequest, Callback aDone)
{
  const std::optional<size_t> chosen = aRequest.daemon;
  auto pending =
    std::make_shared<Pending>(*this, std::move(aRequest), std::move(aDone));
  {
    const std::lock_guard lock(m_mutex);
    ++m_outstanding;
  }
  pending->SetDaemon(chosen ? *chosen : PickDaemon(std::nullopt));
  Dispatch(pending);
}

CallResult
CustomerClient::CallAndWait(CallRequest aRequest)
{
  std::promise<CallResult> promise;
  Call(std::move(aRequest), [&promise](CallResult aResult) {
    promise.set_value(std::move(aResult));
  });
  return promise.get_future().get();
}

void
CustomerClient::Dispatch(const std::shared_ptr<Pending>& aPending)
{
  std::shared_ptr<grpc::Channel> channel;
  RequestId requestId;
  AttemptId attemptId;
  const size_t index = aPending->DaemonIndex();
  bool waits = false;
  bool draw = false;
  {
    const std::lock_guard lock(m_mutex);
    Daemon& daemon = m_daemons[index];
    if (aPending->NeedsTicket()) {
      if (MonotonicNow() >= daemon.ticketsExpire) {
        daemon.tickets.clear();
      }
      if (daemon.tickets.empty()) {
        daemon.waiting.push_back(aPending);
        waits = true;
        draw = !daemon.drawing;
        daemon.drawing = true;
      } else {
        aPending->SetTicket(daemon.tickets.back().ToString());
        daemon.tickets.pop_back();
      }
    }
    channel = daemon.channel;
    requestId = RequestId::Random(m_rng);
    attemptId = AttemptId::Random(m_rng);
  }
  if (!waits) {
    aPending->Send(*channel, requestId, attemptId);
  } else if (draw) {
    DrawTickets(index);
  }
}

void
CustomerClient::DrawTickets(size_t aDaemon)
{
  struct Draw
  {
    grpc::ClientContext context;
    peer::DrawTicketsRequest request;
    peer::DrawTicketsReply reply;
    std::unique_ptr<customer::Customer::Stub> stub;
  };
  auto draw = std::make_shared<Draw>();
  draw->request.set_count(orders::kTicketsPerBlock);
  draw->context.set_deadline(std::chrono::system_clock::now() + kTicketTimeout);
  draw->stub = customer::Customer::NewStub(m_daemons[aDaemon].channel);
  draw->stub->async()->DrawTickets(
    &draw->context,
    &draw->request,
    &draw->reply,
    [this, aDaemon, draw](const grpc::Status& aStatus) {
      OnTickets(aDaemon, aStatus, draw->reply);
    });
}

void
CustomerClient::OnTickets(size_t aDaemon,
                          const grpc::Status& aStatus,
                          const peer::DrawTicketsReply& aReply)
{
  std::vector<std::shared_ptr<Pending>> waiting;
  const bool drawn = aStatus.ok() && aReply.count() > 0;
  {
    const std::lock_guard lock(m_mutex);
    Daemon& daemon = m_daemons[aDaemon];
    daemon.drawing = false;
    waiting.swap(daemon.waiting);
    const DaemonId home{ aReply.home().name(), aReply.home().incarnation() };
    for (uint32_t i = 0; drawn && i < aReply.count(); ++i) {
      daemon.tickets.push_back({ home, aReply.block(), i });
    }
    daemon.ticketsExpire = MonotonicNow() +
                           std::chrono::milliseconds(aReply.expires_in_ms()) -
                           kTicketMargin;
  }
  for (const std::shared_ptr<Pending>& pending : waiting) {
    if (drawn) {
      Dispatch(pending);
      continue;
    }
    // Nothing was sent without a ticket, so another daemon may be asked.
    CallResult result;
    result.error = Error{ ErrorKind::kConnectionLost,
                          "no tickets: " + aStatus.error_message() };
    result.runState = RunState::kNotRun;
    pending->Finish(std::move(result));
  }
}

void
CustomerClient::Finished()
{
  const std::lock_guard lock(m_mutex);
  --m_outstanding;
  m_idle.notify_all();
}

} // namespace wagtailbend::client
