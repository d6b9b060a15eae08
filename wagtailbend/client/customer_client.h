// A customer's connection to the daemons of a failure domain. It adds request
// ids and order tickets, and verifies that responses are complete and its own.
//
//   CustomerClient client({ "127.0.0.1:7001", "127.0.0.1:7011" }, seed);
//   client.Call({ "/association.Balances/Check", bytes, deadline },
//               [](CallResult aResult) { ... });

#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <grpcpp/channel.h>
#include <grpcpp/support/status.h>

#include "wagtailbend/base/error.h"
#include "wagtailbend/base/rng.h"
#include "wagtailbend/base/time.h"
#include "wagtailbend/orders/ticket.h"

namespace wagtailbend::peer {
class DrawTicketsReply;
}

namespace wagtailbend::client {

struct CallRequest
{
  /// gRPC path, e.g. "/association.Balances/Check".
  std::string method;
  /// Serialized request message.
  std::string payload;
  /// Time from now until the customer no longer wants the response.
  Duration timeout{};
  /// The response is a stream of messages.
  bool streamed = false;
  /// The method is an order and needs a ticket.
  bool order = false;
  /// Index of the daemon to use, or nullopt for a random one. An order goes to
  /// the home of its ticket.
  std::optional<size_t> daemon;
  /// Repeats an earlier order; empty: a new ticket is drawn.
  std::string ticket;
  /// Idempotency key that an order carries in place of a ticket.
  std::string orderKey;
};

struct CallResult
{
  /// Empty if a complete response of this request arrived in time.
  std::optional<Error> error;
  RunState runState = RunState::kRan;
  /// The response messages, in order.
  std::vector<std::string> messages;
  Duration latency{};
  /// Ticket under which an order was sent; empty if none was.
  std::string ticket;
};

/// Thread-safe. Callbacks run on gRPC threads and must not block.
class CustomerClient
{
public:
  using Callback = std::function<void(CallResult)>;

  /// aDaemons: customer addresses "IP:port". Precondition: not empty.
  CustomerClient(const std::vector<std::string>& aDaemons, uint64_t aSeed);
  /// Waits for all outstanding calls.
  ~CustomerClient();
  CustomerClient(const CustomerClient&) = delete;
  CustomerClient& operator=(const CustomerClient&) = delete;

  /// Starts a call. aDone runs exactly once. A call that a daemon rejected as
  /// "not run" because it was leaving or could not be reached is sent once more
  /// to another daemon; an order keeps its
  /// ticket, so it cannot run twice, unless the ticket ended as not run.
  void Call(CallRequest aRequest, Callback aDone);

  /// Calls and waits for the result.
  CallResult CallAndWait(CallRequest aRequest);

  /// Asks aDaemon what is known about an order. Blocks up to aTimeout. Returns
  /// nullopt if the daemon did not answer.
  std::optional<RunState> LookupOrder(size_t aDaemon,
                                      const std::string& aTicket,
                                      Duration aTimeout);

private:
  class Pending;
  friend class Pending;

  struct Daemon
  {
    std::shared_ptr<grpc::Channel> channel;
    std::vector<orders::Ticket> tickets;
    TimePoint ticketsExpire{};
    bool drawing = false;
    std::vector<std::shared_ptr<Pending>> waiting;
  };

  size_t PickDaemon(std::optional<size_t> aExcluded);
  void Dispatch(const std::shared_ptr<Pending>& aPending);
  void DrawTickets(size_t aDaemon);
  void OnTickets(size_t aDaemon,
                 const grpc::Status& aStatus,
                 const peer::DrawTicketsReply& aReply);
  /// Forgets unused tickets of a daemon that cannot dispatch them any more.
  void DropTickets(size_t aDaemon);
  void Finished();

  std::mutex m_mutex;
  std::condition_variable m_idle;
  size_t m_outstanding = 0;
  Rng m_rng;
  std::vector<Daemon> m_daemons;
};

} // namespace wagtailbend::client
