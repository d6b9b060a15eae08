// The parts of HomeTable that record results, store responses, expire entries
// and hand over the table.

#include <algorithm>
#include <utility>

#include "wagtailbend/orders/home_table.h"

namespace wagtailbend::orders {

void
HomeTable::FinishTicket(const TicketLocation& aLocation, TicketResult aResult)
{
  m_running.erase(aLocation.key);
  if (aLocation.block != nullptr) {
    aLocation.block->results.Set(aLocation.key.index, aResult);
  }
}

void
HomeTable::FinishRan(const TicketLocation& aLocation,
                     StoredResponse aResponse,
                     TimePoint aNow)
{
  const uint64_t payloadHash = m_running.at(aLocation.key).payloadHash;
  FinishTicket(aLocation, TicketResult::kRan);
  StoreResponse(
    aLocation.key,
    { payloadHash,
      std::make_shared<const StoredResponse>(std::move(aResponse)) },
    aNow + m_limits.responseRetention);
}

void
HomeTable::StoreResponse(const TicketKey& aKey,
                         CachedResponse aCachedResponse,
                         TimePoint aExpiresAt)
{
  const size_t bytes = aCachedResponse.response->bytes.size();
  if (bytes > m_limits.maxResponseBytes) {
    return;
  }
  while (m_responseBytes + bytes > m_limits.maxResponseBytes) {
    EvictOldestResponse();
  }
  m_responseBytes += bytes;
  m_responses.emplace(aKey, std::move(aCachedResponse));
  m_responseExpiries.push_back({ aKey, aExpiresAt });
}

void
HomeTable::EvictOldestResponse()
{
  const auto stored = m_responses.find(m_responseExpiries.front().key);
  m_responseBytes -= stored->second.response->bytes.size();
  m_responses.erase(stored);
  m_responseExpiries.pop_front();
}

void
HomeTable::Expire(TimePoint aNow)
{
  while (!m_responseExpiries.empty() &&
         m_responseExpiries.front().expiresAt <= aNow) {
    EvictOldestResponse();
  }
  for (uint32_t index = 0; index < m_homes.size(); ++index) {
    ExpireBlocks(index, aNow);
    EvictBlocks(m_homes[index], aNow);
  }
}

void
HomeTable::ExpireBlocks(uint32_t aHomeIndex, TimePoint aNow)
{
  if (m_successor) {
    // The successor may still run open tickets, so kNotRun could be false.
    return;
  }
  Home& home = m_homes[aHomeIndex];
  while (home.firstUnexpired < home.EndBlock()) {
    const uint64_t number = home.firstUnexpired;
    Block& block = home.blocks[number - home.firstBlock];
    if (block.expiresAt > aNow) {
      return;
    }
    for (uint32_t index = 0; index < kTicketsPerBlock; ++index) {
      const TicketKey key{ number, aHomeIndex, index };
      if (block.results.Get(index) == TicketResult::kOpen &&
          !m_running.contains(key)) {
        block.results.Set(index, TicketResult::kNotRun);
      }
    }
    ++home.firstUnexpired;
  }
}

void
HomeTable::EvictBlocks(Home& aHome, TimePoint aNow)
{
  while (aHome.firstBlock < aHome.firstUnexpired &&
         aHome.blocks.front().expiresAt + m_limits.resultRetention <= aNow) {
    aHome.blocks.pop_front();
    ++aHome.firstBlock;
  }
}

Result<HandOverTable>
HomeTable::Export(const DaemonId& aSuccessor, TimePoint aNow)
{
  if (m_successor && *m_successor != aSuccessor) {
    return Error{ ErrorKind::kConflict,
                  "table was already handed over to " +
                    m_successor->ToString() };
  }
  Relinquish();
  Expire(aNow);
  m_successor = aSuccessor;
  HandOverTable table;
  table.successor = aSuccessor;
  for (uint32_t index = 0; index < m_homes.size(); ++index) {
    table.homes.push_back(ExportHome(index, aNow));
  }
  table.responses = ExportResponses(aNow);
  return table;
}

HandOverTable::Home
HomeTable::ExportHome(uint32_t aHomeIndex, TimePoint aNow) const
{
  const Home& home = m_homes[aHomeIndex];
  HandOverTable::Home result{ home.id, home.firstBlock, {} };
  result.blocks.reserve(home.blocks.size());
  for (const Block& block : home.blocks) {
    const Duration remaining = block.expiresAt - aNow;
    result.blocks.push_back(
      { block.results, std::max(remaining, Duration::zero()) });
  }
  for (const auto& [key, running] : m_running) {
    // A block can be evicted while one of its orders is still running.
    if (key.homeIndex != aHomeIndex || key.block < home.firstBlock) {
      continue;
    }
    result.blocks[key.block - home.firstBlock].results.Set(
      key.index, TicketResult::kUnknown);
  }
  return result;
}

std::vector<HandOverTable::Response>
HomeTable::ExportResponses(TimePoint aNow) const
{
  std::vector<HandOverTable::Response> result;
  result.reserve(m_responseExpiries.size());
  for (const ResponseExpiry& expiry : m_responseExpiries) {
    const TicketKey& key = expiry.key;
    const CachedResponse& stored = m_responses.at(key);
    result.push_back({ { m_homes[key.homeIndex].id, key.block, key.index },
                       stored.payloadHash,
                       stored.response,
                       expiry.expiresAt - aNow });
  }
  return result;
}

Result<Done>
HomeTable::Import(const HandOverTable& aTable, TimePoint aNow)
{
  if (aTable.successor != m_self) {
    return Error{ ErrorKind::kStaleIncarnation,
                  "table is for " + aTable.successor.ToString() };
  }
  if (m_relinquished) {
    return Error{ ErrorKind::kDraining, "successor is stopping" };
  }
  const size_t firstNewHome = m_homes.size();
  for (const HandOverTable::Home& home : aTable.homes) {
    if (!FindHome(home.id)) {
      ImportHome(home, aNow);
    }
  }
  ImportResponses(aTable, firstNewHome, aNow);
  return Done{};
}

void
HomeTable::ImportHome(const HandOverTable::Home& aHome, TimePoint aNow)
{
  Home home{ aHome.id, aHome.firstBlock, aHome.firstBlock, {} };
  for (const HandOverTable::Block& block : aHome.blocks) {
    home.blocks.push_back({ block.results, aNow + block.remaining });
  }
  m_homes.push_back(std::move(home));
}

void
HomeTable::ImportResponses(const HandOverTable& aTable,
                           size_t aFirstNewHome,
                           TimePoint aNow)
{
  for (const HandOverTable::Response& response : aTable.responses) {
    const auto location = LocateTicket(response.ticket);
    if (!location || location->key.homeIndex < aFirstNewHome ||
        location->block == nullptr) {
      continue;
    }
    StoreResponse(location->key,
                  { response.payloadHash, response.response },
                  aNow + response.remaining);
  }
}

} // namespace wagtailbend::orders
