// The part of Bridge that runs orders at most once (design page, section 4.6).
//
// Entry: OpenOrder, filters, BeginOrder; then as home StartFirst, GrantOrder
// and EndGrant, or RelayOrder. Executor: OpenOrder records the grant, filters
// and the gated attempt follow, which starts or rejects the order. Every
// rejection passes ConfirmRunState, which keeps "not run" true.

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

#include "wagtailbend/daemon/bridge.h"
#include "wagtailbend/daemon/metadata.h"
#include "wagtailbend/daemon/order_codec.h"
#include "wagtailbend/daemon/peer_call.h"

namespace wagtailbend::daemon {
namespace {

using orders::BeginKind;
using orders::GrantDecision;
using orders::OutcomeEffect;

// Longest wait for ConfirmNotStarted; a restarted connection needs 50 ms.
constexpr Duration kConfirmTimeout = std::chrono::milliseconds(300);

std::string
BytesOf(const grpc::ByteBuffer& aBuffer)
{
  grpc::Slice whole;
  if (!aBuffer.DumpToSingleSlice(&whole).ok()) {
    return "";
  }
  return { reinterpret_cast<const char*>(whole.begin()), whole.size() };
}

} // namespace

// Finds out what part this daemon has in the order. An error rejects it.
std::optional<Error>
Bridge::OpenOrder()
{
  const bool fromPeer = m_context.origin == filters::Origin::kPeer;
  if (m_context.ticket.empty() && (fromPeer || m_context.orderKey.empty())) {
    return Error{ ErrorKind::kInvalidRequest,
                  "an order needs a ticket or an idempotency key" };
  }
  if (!m_context.ticket.empty()) {
    m_order.ticket = orders::Ticket::Parse(m_context.ticket);
    if (!m_order.ticket) {
      return Error{ ErrorKind::kInvalidRequest, "malformed ticket" };
    }
  }
  std::string_view incarnation =
    FindMetadata(m_serverContext.client_metadata(), kIncarnationKey);
  if (fromPeer && !incarnation.empty()) {
    return AcceptGrant(incarnation);
  }
  m_order.role = OrderRole::kEntry;
  m_context.relayed = fromPeer;
  if (fromPeer) {
    // The entry has paid for one call; the home pays for its grants from that.
    const attempts::CallCost cost = attempts::CostOf(*m_context.method);
    m_context.ledger = std::make_shared<attempts::AttemptLedger>(
      m_allotted.value_or(cost.minimum - 1) + 1,
      std::vector<attempts::CallCost>{ cost });
  }
  return std::nullopt;
}

std::optional<Error>
Bridge::AcceptGrant(std::string_view aIncarnation)
{
  OrderBook& book = m_traffic.orders->book;
  // An unreadable incarnation is not this one.
  const DaemonId addressed{
    book.Self().name, ParseHex(aIncarnation).value_or(~book.Self().incarnation)
  };
  switch (book.OnGrant(*m_order.ticket, addressed, m_context.arrival)) {
    case GrantDecision::kAccepted:
      m_order.role = OrderRole::kExecutor;
      return std::nullopt;
    case GrantDecision::kNotStarted:
      return Error{ ErrorKind::kNotRun, "tombstone" };
    case GrantDecision::kStaleIncarnation:
      return Error{ ErrorKind::kStaleIncarnation, "grant to another daemon" };
    case GrantDecision::kDuplicate:
    case GrantDecision::kUnknown:
      break;
  }
  return Error{ ErrorKind::kOutcomeUnknown, "grant was used before" };
}

// Ends the request with a decision of a table, which needs no confirmation.
void
Bridge::RejectOrder(Error aError)
{
  m_order.settled = true;
  const RunState run = ErrorResponseFor(aError.kind).runState;
  FinishWithError(std::move(aError), run, nullptr);
}

// Also called when an order ended that this request had joined.
void
Bridge::BeginOrder()
{
  if (!m_order.ticket) {
    ClaimKey();
    return;
  }
  const orders::Ticket ticket = *m_order.ticket;
  OrderParts& parts = *m_traffic.orders;
  if (!parts.book.Serves(ticket.home)) {
    RelayOrder(ticket.home,
               m_context.relayed
                 ? nullptr
                 : FindHome(*m_snapshot, parts.homes, ticket.home));
    return;
  }
  // The hash covers the method as well.
  const std::string& path = m_context.method->path;
  const uint64_t hash = XXH64(path.data(), path.size(), m_context.payloadHash);
  orders::BeginDecision decision =
    parts.book.Begin(ticket, hash, MonotonicNow(), [this] { BeginOrder(); });
  switch (decision.kind) {
    case BeginKind::kRun:
      StartFirst();
      return;
    case BeginKind::kJoin:
      // The waiter may have run already; *this may be gone.
      return;
    case BeginKind::kReplay:
      ReplayOrder(*decision.response);
      return;
    case BeginKind::kRelay:
      RelayOrder(
        decision.successor,
        FindHome(*m_traffic.snapshots.Load(), parts.homes, decision.successor));
      return;
    case BeginKind::kReject:
      break;
  }
  if (decision.error.kind == ErrorKind::kOutcomeUnknown &&
      m_traffic.snapshots.Load()->draining && parts.book.FinishNotRun(ticket)) {
    decision.error = { ErrorKind::kDraining, "this daemon is leaving" };
  }
  RejectOrder(std::move(decision.error));
}

void
Bridge::ClaimKey()
{
  KeyClaims* claims = m_traffic.orders->claims.get();
  if (!claims) {
    FinishWithError({ ErrorKind::kPlatformUnavailable, "no platform is set" },
                    RunState::kNotRun,
                    nullptr);
    return;
  }
  claims->Claim(m_context.orderKey,
                m_context.deadline,
                [this](const KeyClaims::Claimed& aClaimed) {
                  if (const Error* error = GetError(aClaimed)) {
                    FinishWithError(*error, RunState::kNotRun, nullptr);
                    return;
                  }
                  m_order.ticket = GetValue(aClaimed);
                  m_context.ticket = m_order.ticket->ToString();
                  m_snapshot = m_traffic.snapshots.Load();
                  BeginOrder();
                });
}

// The home reports the outcome. Without a reply of the home it is unknown,
// because an earlier copy of the order may have reached the home.
void
Bridge::RelayOrder(const DaemonId& aHome, std::shared_ptr<PeerLink> aLink)
{
  if (!aLink) {
    FinishWithError({ ErrorKind::kOutcomeUnknown,
                      fmt::format("home {} is gone", aHome.ToString()) },
                    RunState::kMayHaveRun,
                    nullptr);
    return;
  }
  m_order.role = OrderRole::kRelay;
  m_order.home = Destination{ aHome, std::move(aLink), false };
  m_destination = &m_order.home;
  if (m_context.relayed) {
    // This home stopped: its successor gets all that the caller allotted.
    Send({ m_allotted.value_or(m_context.method->minimumAttempts - 1), 0 });
    return;
  }
  auto grant = m_context.ledger->StartCall(attempts::CostOf(*m_context.method));
  if (!grant) {
    FinishWithError(
      { ErrorKind::kAttemptsExhausted, "" }, RunState::kNotRun, nullptr);
    return;
  }
  Send(*grant);
}

void
Bridge::ReplayOrder(const orders::StoredResponse& aResponse)
{
  m_order.settled = true;
  if (aResponse.status != 0) {
    const grpc::Status status(static_cast<grpc::StatusCode>(aResponse.status),
                              aResponse.bytes);
    FinishWithError(
      { ErrorKind::kTargetFailed, aResponse.bytes }, RunState::kRan, &status);
    return;
  }
  const grpc::Slice slice(aResponse.bytes);
  m_response = grpc::ByteBuffer(&slice, 1);
  m_responseBytes = aResponse.bytes.size();
  FinishComplete({});
}

// Before an attempt of the home: grants the order to the target's daemon. Does
// nothing for other requests.
std::optional<Error>
Bridge::GrantOrder()
{
  if (m_order.role != OrderRole::kEntry) {
    return std::nullopt;
  }
  OrderBook& book = m_traffic.orders->book;
  auto grant = book.GrantTo(*m_order.ticket, m_destination->daemon);
  if (const Error* error = GetError(grant)) {
    return *error;
  }
  m_order.grant = GetValue(grant);
  // Others may wait for the order, and its response is kept for a resend.
  m_detached.store(true);
  if (m_destination->own) {
    // An unusable grant is refused when it is to be started.
    (void)book.OnGrant(*m_order.ticket, book.Self(), MonotonicNow());
  }
  return std::nullopt;
}

void
Bridge::EndGrant(std::optional<Error> aError,
                 RunState aRun,
                 const AttemptEnd& aEnd)
{
  if (aError) {
    NoteFailure(*aError, aEnd);
  }
  if (!aError || aRun == RunState::kRan) {
    orders::StoredResponse response;
    response.status = aEnd.status.error_code();
    response.bytes = aError ? aEnd.status.error_message() : BytesOf(m_response);
    const OutcomeEffect effect = m_traffic.orders->book.OnOutcome(
      *m_order.grant,
      orders::RanOutcome{ std::move(response) },
      MonotonicNow());
    m_order.settled = true;
    if (effect != OutcomeEffect::kFinished) {
      FinishWithError({ ErrorKind::kOutcomeUnknown, "late response" },
                      RunState::kMayHaveRun,
                      nullptr);
    } else if (aError) {
      FinishWithError(std::move(*aError), aRun, &aEnd.status);
    } else {
      FinishComplete(aEnd);
    }
    return;
  }
  const bool lost = aError->kind == ErrorKind::kConnectionLost &&
                    aEnd.ids.requestId.empty() && !m_destination->own;
  if (lost && aRun == RunState::kMayHaveRun) {
    AskNotStarted(std::move(*aError));
    return;
  }
  SettleGrant(std::move(*aError), aRun == RunState::kNotRun);
}

// After a lost connection the daemon that holds the grant may still say that it
// did not start the order; its reply then is a tombstone.
void
Bridge::AskNotStarted(Error aError)
{
  const Duration left = m_context.deadline - MonotonicNow();
  const Duration timeout = std::min(kConfirmTimeout, left / 2);
  if (timeout <= Duration{}) {
    SettleGrant(std::move(aError), false);
    return;
  }
  peer::ConfirmNotStartedRequest request;
  EncodeTicket(m_order.grant->ticket, *request.mutable_ticket());
  EncodeDaemonId(m_order.grant->target, *request.mutable_addressed());
  CallPeer<peer::ConfirmNotStartedReply, peer::ConfirmNotStartedRequest>(
    *m_destination->link,
    &peer::Peer::StubInterface::async_interface::ConfirmNotStarted,
    std::move(request),
    timeout,
    [this, error = std::move(aError)](
      const grpc::Status& aStatus, const peer::ConfirmNotStartedReply& aReply) {
      SettleGrant(error, aStatus.ok() && aReply.not_started());
    });
}

void
Bridge::SettleGrant(Error aError, bool aNotStarted)
{
  using Outcome = orders::Outcome;
  const OutcomeEffect effect = m_traffic.orders->book.OnOutcome(
    *m_order.grant,
    aNotStarted ? Outcome(orders::NotStartedOutcome{})
                : Outcome(orders::UnknownOutcome{}),
    MonotonicNow());
  m_order.grant.reset();
  if (!aNotStarted) {
    aError.detail = fmt::format(
      "{}: {}", ErrorResponseFor(aError.kind).name, std::move(aError.detail));
    aError.kind = ErrorKind::kOutcomeUnknown;
    FinishWithError(std::move(aError), RunState::kMayHaveRun, nullptr);
    return;
  }
  if (effect == OutcomeEffect::kMayGrantAgain && !m_cancelled.load() &&
      ErrorResponseFor(aError.kind).retryable &&
      MonotonicNow() < m_context.deadline && StartRetry(aError)) {
    return;
  }
  FinishWithError(std::move(aError), RunState::kNotRun, nullptr);
}

// "Not run" is reported only with a tombstone: in the home table, or at the
// daemon to which the order was granted. Otherwise the outcome is unknown,
// because another copy of the order may have run or may still run.
void
Bridge::ConfirmRunState(Error& aError, RunState& aRun)
{
  const bool order = m_order.role != OrderRole::kNone ||
                     !m_context.ticket.empty() || !m_context.orderKey.empty();
  if (!order || m_order.settled || aRun != RunState::kNotRun) {
    return;
  }
  m_order.settled = true;
  const auto& ticket = m_order.ticket;
  OrderParts* parts = m_traffic.orders;
  if (m_order.role == OrderRole::kExecutor &&
      parts->book.RejectBeforeStart(*ticket)) {
    return;
  }
  if (m_order.role == OrderRole::kEntry && ticket &&
      parts->book.FinishNotRun(*ticket)) {
    return;
  }
  aRun = RunState::kMayHaveRun;
  // Without a ticket nothing was dispatched, but an earlier copy with the same
  // idempotency key may have run. The same holds for a daemon without a schema,
  // which cannot tell orders. The kind of error remains useful.
  if (ticket) {
    aError = { ErrorKind::kOutcomeUnknown,
               fmt::format("{}: {}",
                           ErrorResponseFor(aError.kind).name,
                           std::move(aError.detail)) };
  }
}

} // namespace wagtailbend::daemon
