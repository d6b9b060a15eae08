// The part of CustomerClient that needs no call in flight.

#include <grpcpp/client_context.h>

#include "wagtailbend/client/customer_client.h"
#include "wagtailbend/customer.grpc.pb.h"

namespace wagtailbend::client {

size_t
CustomerClient::PickDaemon(std::optional<size_t> aExcluded)
{
  const std::lock_guard lock(m_mutex);
  const size_t count = m_daemons.size();
  if (!aExcluded || count == 1) {
    return UniformBelow(m_rng, count);
  }
  return (*aExcluded + 1 + UniformBelow(m_rng, count - 1)) % count;
}

void
CustomerClient::DropTickets(size_t aDaemon)
{
  const std::lock_guard lock(m_mutex);
  m_daemons[aDaemon].tickets.clear();
}

std::optional<RunState>
CustomerClient::LookupOrder(size_t aDaemon,
                            const std::string& aTicket,
                            Duration aTimeout)
{
  grpc::ClientContext context;
  context.set_deadline(
    std::chrono::system_clock::now() +
    std::chrono::duration_cast<std::chrono::system_clock::duration>(aTimeout));
  customer::LookupOrderRequest request;
  request.set_ticket(aTicket);
  customer::LookupOrderReply reply;
  auto stub = customer::Customer::NewStub(m_daemons[aDaemon].channel);
  if (!stub->LookupOrder(&context, request, &reply).ok()) {
    return std::nullopt;
  }
  return RunStateFromName(reply.run());
}

} // namespace wagtailbend::client
