// The hand-over of the home table at a planned stop.
//
//   OrderHandOver handOver(parts.book);
//   handOver.Begin();
//   if (handOver.Advance(now, deadline, candidates)) { Leave(); }

#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <vector>

#include "wagtailbend/daemon/channel_pool.h"
#include "wagtailbend/daemon/order_book.h"

namespace wagtailbend::daemon {

/// A daemon of the same failure domain that may take the table over.
struct SuccessorCandidate
{
  DaemonId daemon;
  std::shared_ptr<PeerLink> link;
};

/// Not thread-safe: owned by the control thread.
class OrderHandOver
{
public:
  /// aBook must outlive this object.
  explicit OrderHandOver(OrderBook& aBook)
    : m_book(aBook)
  {
  }

  /// Gives up the tickets: no order is granted from then on.
  void Begin();
  /// Hands the table over once no granted order runs any more, or shortly
  /// before aDeadline. Called repeatedly; returns true when nothing is left to
  /// do. The first candidate is preferred; once chosen it is never replaced,
  /// because it may have received the table.
  bool Advance(TimePoint aNow,
               TimePoint aDeadline,
               const std::vector<SuccessorCandidate>& aCandidates);

private:
  enum class Reply : uint8_t
  {
    kNone,
    kImported,
    kFailed,
  };

  void Send(TimePoint aNow);

  OrderBook& m_book;
  std::optional<SuccessorCandidate> m_successor;
  int m_sends = 0;
  bool m_done = false;
  /// Shared with the call in flight. Null: none.
  std::shared_ptr<std::atomic<Reply>> m_reply;
};

} // namespace wagtailbend::daemon
