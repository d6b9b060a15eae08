// A caller for tests: calls any method of both schemas and verifies nothing,
// so that a test sees exactly what arrived.
//
//   Caller caller(vm.customer);
//   CallRecord record = caller.Call("/association.Balances/Check", "somchai");

#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <grpcpp/channel.h>
#include <grpcpp/generic/generic_stub.h>

namespace wagtailbend::testing {

/// What arrived for one call.
struct CallRecord
{
  grpc::Status status;
  std::vector<std::string> messages;
  std::string requestId;
  std::string echoedRequestId;
  std::string error;
  std::string run;
  std::string retryAfter;
  std::string frames;
  std::string checksum;
  /// Ticket that an order was sent with.
  std::string ticket;
};

struct CallOptions
{
  std::chrono::milliseconds timeout{ 5000 };
  /// Called after each message of a stream, on a gRPC thread.
  std::function<void(size_t aMessages)> onMessage;
  /// Ticket of an order; empty: a new one is drawn from the daemon called.
  std::string ticket;
  /// Idempotency key of an order that is sent without a ticket.
  std::string orderKey;
  /// Incarnation addressed, as on a grant from an order's home.
  std::string incarnation;
  /// Send an order with nothing but what is set above.
  bool bare = false;
};

/// Thread-safe.
class Caller
{
public:
  explicit Caller(const std::string& aAddress);

  /// Draws a ticket, or returns "" if the daemon issues none.
  std::string DrawTicket();
  /// Value of `run` that the daemon reports for an order; "" on failure.
  std::string LookupOrder(const std::string& aTicket,
                          const std::string& aOrderKey = "");
  /// Calls and waits for the end. aMethod is a gRPC path, aKey the value of
  /// the key field of the request.
  CallRecord Call(const std::string& aMethod,
                  const std::string& aKey,
                  const CallOptions& aOptions = {});

private:
  std::shared_ptr<grpc::Channel> m_channel;
  std::mutex m_mutex;
  std::vector<std::string> m_tickets;
};

/// Returns true if aRecord is the complete response to aKey; aPages and
/// aPageBytes describe a stream.
bool
IsComplete(const CallRecord& aRecord,
           const std::string& aMethod,
           const std::string& aKey,
           uint32_t aPages = 1,
           size_t aPageBytes = 0);

} // namespace wagtailbend::testing
