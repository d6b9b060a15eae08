#include "wagtailbend/daemon/bridge.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

#include "wagtailbend/daemon/metadata.h"

namespace wagtailbend::daemon {
namespace {

/// Calls aVisit with each contiguous part of aBuffer.
template<typename Visit>
void
ForEachPart(const grpc::ByteBuffer& aBuffer, Visit aVisit)
{
  std::vector<grpc::Slice> slices;
  if (!aBuffer.Dump(&slices).ok()) {
    return;
  }
  for (const grpc::Slice& slice : slices) {
    aVisit(std::string_view(reinterpret_cast<const char*>(slice.begin()),
                            slice.size()));
  }
}

// Independent of how the payload is cut into slices: the same order may arrive
// over connections that cut it differently.
uint64_t
HashOf(const grpc::ByteBuffer& aPayload)
{
  grpc::Slice whole;
  if (!aPayload.DumpToSingleSlice(&whole).ok()) {
    return 0;
  }
  return XXH64(whole.begin(), whole.size(), 0);
}

TimePoint
DeadlineOf(const grpc::GenericCallbackServerContext& aContext, TimePoint aNow)
{
  auto deadline = aContext.deadline();
  // Without a deadline of the caller's own the schema's applies.
  if (deadline == std::chrono::system_clock::time_point::max()) {
    return aNow + std::chrono::hours(24);
  }
  return aNow + std::chrono::duration_cast<Duration>(
                  deadline - std::chrono::system_clock::now());
}

} // namespace

Bridge::Bridge(Traffic& aTraffic,
               filters::Origin aOrigin,
               grpc::GenericCallbackServerContext& aServerContext)
  : m_traffic(aTraffic)
  , m_serverContext(aServerContext)
  , m_snapshot(aTraffic.snapshots.Load())
  , m_schema(m_snapshot->schema)
{
  m_context.origin = aOrigin;
  m_context.arrival = MonotonicNow();
  m_context.deadline = DeadlineOf(aServerContext, m_context.arrival);
  m_traffic.counters.OnArrival(aOrigin);
  ReadMetadata();
  StartRead(&m_request);
}

void
Bridge::ReadMetadata()
{
  const MetadataMap& metadata = m_serverContext.client_metadata();
  auto text = [&metadata](const char* aKey) {
    return FindMetadata(metadata, aKey);
  };
  auto requestId = RequestId::Parse(text(kRequestIdKey));
  m_context.requestId = requestId ? *requestId : RequestId::Random(ThreadRng());
  auto attemptId = AttemptId::Parse(text(kAttemptIdKey));
  m_context.attemptId = attemptId ? *attemptId : AttemptId::Random(ThreadRng());
  m_context.parent = RequestId::Parse(text(kParentKey));
  m_context.ticket = text(kTicketKey);
  m_context.orderKey = text(kOrderKeyKey);
  m_context.traceParent = text(kTraceParentKey);
  if (m_schema) {
    m_context.method = m_schema->FindMethod(m_serverContext.method());
  }
  if (!m_context.method) {
    return;
  }
  m_context.priority = m_context.method->priority;
  if (m_context.origin == filters::Origin::kPeer) {
    m_context.relayedByContact = !text(kRelayedKey).empty();
    m_context.nested = m_context.parent.has_value();
    m_context.priority =
      std::min(ParseNumber(text(kPriorityKey), m_context.priority),
               schema::kMaxPriority);
    std::string_view allotted = text(kAttemptsKey);
    if (!allotted.empty()) {
      m_allotted = ParseNumber(allotted, 0);
    }
  }
}

void
Bridge::OnReadDone(bool aOk)
{
  auto reject = [this](ErrorKind aKind, std::string aDetail) {
    FinishWithError(
      { aKind, std::move(aDetail) }, ErrorResponseFor(aKind).runState, nullptr);
  };
  if (!aOk) {
    reject(ErrorKind::kInvalidRequest, "no request message");
    return;
  }
  if (!m_schema) {
    reject(ErrorKind::kNoConfiguration, "no schema in force");
    return;
  }
  if (!m_context.method) {
    reject(ErrorKind::kUnknownMethod, m_serverContext.method());
    return;
  }
  const schema::Service* service =
    m_schema->FindService(m_context.method->service);
  if (m_context.origin == filters::Origin::kCustomer && service->internal) {
    reject(ErrorKind::kUnknownMethod, "internal service");
    return;
  }
  bool order =
    m_traffic.orders && m_context.method->kind == schema::Kind::kOrder;
  if (auto error = order ? OpenOrder() : std::nullopt) {
    RejectOrder(std::move(*error));
    return;
  }
  // The own target may still make the downstream calls of its running work. An
  // order that this daemon is not to run may have run before: the table of its
  // home decides.
  bool decidedHere =
    m_order.role == OrderRole::kNone || m_order.role == OrderRole::kExecutor;
  if (m_snapshot->draining && m_context.origin != filters::Origin::kTarget &&
      decidedHere) {
    reject(ErrorKind::kDraining, "this daemon is leaving");
    return;
  }
  RunFilters();
}

void
Bridge::RunFilters()
{
  m_context.payloadHash = HashOf(m_request);
  m_context.requestBytes = m_request.Length();
  auto& chain = m_traffic.chains[static_cast<size_t>(m_context.origin)];
  auto error = chain.OnRequest(m_context, m_context.arrival, m_filtersEntered);
  if (error) {
    RunState run = ErrorResponseFor(error->kind).runState;
    FinishWithError(std::move(*error), run, nullptr);
    return;
  }
  if (m_order.role == OrderRole::kEntry) {
    BeginOrder();
    return;
  }
  StartFirst();
}

AttemptRequest
Bridge::MakeAttemptRequest(const HedgeLeg& aLeg)
{
  const schema::Method& method = *m_context.method;
  AttemptRequest request;
  request.link = aLeg.destination->link;
  request.work =
    method.kind == schema::Kind::kBulk ? WorkClass::kBulk : WorkClass::kShort;
  request.method = method.path;
  request.streamed = method.serverStreaming;
  request.payload = m_request;
  request.progressBound = ProgressBound(aLeg.start);
  // An order may have run already, so there is nothing to gain by ending it.
  request.cancelWhenSilent =
    request.streamed || (method.idempotent && !m_silenceSeen);
  request.deadline =
    std::chrono::system_clock::now() +
    std::chrono::duration_cast<std::chrono::system_clock::duration>(
      m_context.deadline - aLeg.start);
  auto& metadata = request.metadata;
  metadata.reserve(8);
  metadata.emplace_back(kRequestIdKey, m_context.requestId.ToString());
  metadata.emplace_back(kAttemptIdKey, aLeg.attemptId.ToString());
  metadata.emplace_back(kAttemptsKey,
                        fmt::format_int(aLeg.grant.childBudget).str());
  metadata.emplace_back(kPriorityKey,
                        fmt::format_int(m_context.priority).str());
  // Without it a daemon takes an order for one that it is the home of.
  if (!aLeg.destination->own && m_order.role != OrderRole::kRelay) {
    metadata.emplace_back(kIncarnationKey,
                          ToHex(aLeg.destination->daemon.incarnation));
    if (EndsHere()) {
      metadata.emplace_back(kRelayedKey, "1");
    }
    // Tells the peer's gate that the call belongs to admitted work.
    if (m_context.nested) {
      metadata.emplace_back(kParentKey, m_context.parent->ToString());
    }
  }
  if (!m_context.ticket.empty()) {
    metadata.emplace_back(kTicketKey, m_context.ticket);
  }
  if (!m_context.orderKey.empty()) {
    metadata.emplace_back(kOrderKeyKey, m_context.orderKey);
  }
  if (!m_context.traceParent.empty()) {
    metadata.emplace_back(kTraceParentKey, m_context.traceParent);
  }
  return request;
}

// The bound of a unary call leaves time for another attempt. A daemon that
// received the call from a peer uses a smaller share, so that the daemon
// nearest to a silent connection is the one that replaces it.
Duration
Bridge::ProgressBound(TimePoint aStart) const
{
  if (m_context.method->serverStreaming) {
    return m_traffic.progressBound;
  }
  constexpr int kEntryShare = 2;
  constexpr int kIngressShare = 3;
  Duration left = m_context.deadline - aStart;
  bool ingress = EndsHere();
  return std::min(left / (ingress ? kIngressShare : kEntryShare),
                  m_traffic.progressBound);
}

// Returns true if the own target must run the request: a peer chose it.
bool
Bridge::EndsHere() const
{
  return m_context.origin == filters::Origin::kPeer && !m_context.relayed;
}

// Makes the attempt visible to OnCancel. Returns true if the caller has
// cancelled already.
bool
Bridge::Publish(const std::shared_ptr<Attempt>& aAttempt)
{
  std::lock_guard lock(m_attemptMutex);
  m_attempt = aAttempt;
  return Abandoned();
}

void
Bridge::OnCancel()
{
  std::shared_ptr<Attempt> attempt;
  {
    std::lock_guard lock(m_attemptMutex);
    m_cancelled.store(true);
    attempt = m_attempt;
  }
  if (attempt && Abandoned()) {
    attempt->Cancel();
  }
}

void
Bridge::OnDone()
{
  auto origin = static_cast<size_t>(m_context.origin);
  auto& inFlight = m_traffic.counters.inFlight[origin];
  delete this;
  inFlight.fetch_sub(1);
}

void
Bridge::OnIds(const EchoedIds& aIds)
{
  m_attemptError = m_verifier->OnIds(aIds.requestId, aIds.attemptId);
}

void
Bridge::OnFrame(grpc::ByteBuffer&& aFrame)
{
  if (!m_attemptError) {
    m_attemptError = m_verifier->OnFrame(aFrame.Length(), MonotonicNow());
  }
  bool streamed = m_context.method->serverStreaming;
  if (m_attemptError || Abandoned()) {
    // Frames of a rejected response are read and dropped until it ends.
    if (streamed) {
      m_attempt->Cancel();
      m_attempt->ReadNext();
    }
    return;
  }
  m_response.Swap(&aFrame);
  m_responseBytes += m_response.Length();
  if (!streamed) {
    return;
  }
  ForEachPart(m_response, [this](std::string_view aPart) {
    m_verifier->OnFrameBytes(aPart);
  });
  SendIds();
  m_framePassedOn = true;
  StartWrite(&m_response);
}

void
Bridge::OnWriteDone(bool aOk)
{
  if (!aOk) {
    m_attempt->Cancel();
  }
  m_attempt->ReadNext();
}

void
Bridge::SendIds()
{
  if (m_framePassedOn) {
    return;
  }
  m_serverContext.AddInitialMetadata(kRequestIdKey,
                                     m_context.requestId.ToString());
  m_serverContext.AddInitialMetadata(kAttemptIdKey,
                                     m_context.attemptId.ToString());
}

} // namespace wagtailbend::daemon
