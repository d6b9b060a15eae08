#include "wagtailbend/daemon/order_hand_over.h"

#include <utility>

#include "wagtailbend/daemon/order_codec.h"
#include "wagtailbend/daemon/peer_call.h"
#include "wagtailbend/observability/event_log.h"

namespace wagtailbend::daemon {
namespace {

// Time before the end of the drain that is kept for the hand-over.
constexpr Duration kReserve = std::chrono::seconds(1);
constexpr Duration kTimeout = std::chrono::milliseconds(400);
constexpr int kMaxSends = 3;

} // namespace

void
OrderHandOver::Begin()
{
  m_book.Relinquish();
}

bool
OrderHandOver::Advance(TimePoint aNow,
                       TimePoint aDeadline,
                       const std::vector<SuccessorCandidate>& aCandidates)
{
  if (m_done || (m_book.RunningCount() > 0 && aNow < aDeadline - kReserve)) {
    return m_done;
  }
  if (!m_reply) {
    if (!m_successor && aCandidates.empty()) {
      observability::Event("orders_not_handed_over")
        .Add("reason", "no peer in the failure domain")
        .Warn();
      m_done = true;
      return true;
    }
    if (!m_successor) {
      m_successor = aCandidates.front();
    }
    Send(aNow);
    return m_done;
  }
  const Reply reply = m_reply->load();
  if (reply == Reply::kNone) {
    return false;
  }
  m_reply.reset();
  m_done = reply == Reply::kImported || m_sends >= kMaxSends;
  if (m_done) {
    observability::Event("orders_handed_over")
      .Add("successor", m_successor->daemon.ToString())
      .Add("confirmed", reply == Reply::kImported ? "true" : "false")
      .Info();
  }
  return m_done;
}

void
OrderHandOver::Send(TimePoint aNow)
{
  ++m_sends;
  auto table = m_book.Export(m_successor->daemon, aNow);
  if (!IsOk(table)) {
    m_done = true;
    return;
  }
  m_reply = std::make_shared<std::atomic<Reply>>(Reply::kNone);
  CallPeer<peer::HandOverReply, peer::HandOverRequest>(
    *m_successor->link,
    &peer::Peer::StubInterface::async_interface::HandOver,
    EncodeHandOver(GetValue(table)),
    kTimeout,
    [reply = m_reply](const grpc::Status& aStatus,
                      const peer::HandOverReply& aAnswer) {
      reply->store(aStatus.ok() && aAnswer.imported() ? Reply::kImported
                                                      : Reply::kFailed);
    });
}

} // namespace wagtailbend::daemon
