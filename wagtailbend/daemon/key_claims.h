// Claims of idempotency keys for orders that come without a ticket.
//
//   KeyClaims claims(std::move(platform), book);
//   claims.Claim(key, deadline, [](KeyClaims::Claimed aClaimed) { ... });

#pragma once

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <asio/thread_pool.hpp>

#include "wagtailbend/daemon/order_book.h"
#include "wagtailbend/orders/idempotency_key_claimer.h"
#include "wagtailbend/store/platform.h"

namespace wagtailbend::daemon {

/// Thread-safe. One lock guards the state machine of the claims and their
/// waiting callers; critical sections do no I/O. Requests to the platform run
/// on a thread pool of this object, so that a slow store delays nothing else.
class KeyClaims
{
public:
  /// The ticket that the key stands for, of any home. Errors: kDraining,
  /// kOverloaded, kPlatformUnavailable. No error proves that an earlier copy of
  /// the order did not run.
  using Claimed = Result<orders::Ticket>;
  using Callback = std::function<void(Claimed)>;

  /// aBook must outlive this object; it is the home of new claims.
  KeyClaims(std::unique_ptr<store::Platform> aPlatform, OrderBook& aBook);
  /// Waits for requests in flight.
  ~KeyClaims();
  KeyClaims(const KeyClaims&) = delete;
  KeyClaims& operator=(const KeyClaims&) = delete;

  /// Claims aKey for a new ticket of this daemon, unless it is claimed already.
  /// Calls aDone once, from any thread, possibly before it returns, and not
  /// later than shortly after aDeadline.
  void Claim(const std::string& aKey,
             TimePoint aDeadline,
             const Callback& aDone);
  /// Reads the ticket that aKey stands for, without claiming it. Calls aDone
  /// once; kNotFound if the key is not claimed.
  void Find(const std::string& aKey, Callback aDone);
  /// Ends claims whose deadline passed.
  void Expire(TimePoint aNow);

private:
  struct Ending
  {
    orders::ClaimResolution resolution;
    std::vector<Callback> callbacks;
  };

  Result<orders::Ticket> TakeTicket(TimePoint aNow);
  std::optional<Error> Add(const std::string& aKey, TimePoint aDeadline);
  void Pump();
  void Run(const orders::ClaimRequest& aRequest);
  orders::ClaimResult Send(const orders::InsertClaims& aInsert);
  orders::ClaimResult Send(const orders::ReadClaims& aRead);
  std::vector<Ending> Collect(
    const std::vector<orders::ClaimResolution>& aResolutions);
  void Finish(const std::vector<Ending>& aEndings);

  std::unique_ptr<store::Platform> m_platform;
  OrderBook& m_book;
  // Guards the members below, except the pool.
  std::mutex m_mutex;
  orders::IdempotencyKeyClaimer m_claimer;
  std::map<std::string, std::vector<Callback>> m_waiting;
  std::vector<orders::Ticket> m_tickets;
  TimePoint m_ticketsExpire;
  Rng m_rng = MakeSeededRng();
  asio::thread_pool m_pool;
};

} // namespace wagtailbend::daemon
