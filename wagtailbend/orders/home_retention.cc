// Results, stored responses, expiry and hand-over of HomeTable.

#include <algorithm>
#include <utility>

#include "wagtailbend/orders/home_table.h"

namespace wagtailbend::orders {

void
HomeTable::Finish(const Located& aWhere, TicketResult aResult)
{
  m_running.erase(aWhere.key);
  if (aWhere.block != nullptr) {
    aWhere.block->results.Set(aWhere.key.index, aResult);
  }
}

void
HomeTable::FinishRan(const Located& aWhere,
                     StoredResponse aResponse,
                     TimePoint aNow)
{
  const uint64_t payloadHash = m_running.at(aWhere.key).payloadHash;
  Finish(aWhere, TicketResult::kRan);
  Store(aWhere.key,
        { payloadHash,
          std::make_shared<const StoredResponse>(std::move(aResponse)) },
        aNow + m_limits.responseRetention);
}

void
HomeTable::Store(const Key& aKey, Stored aStored, TimePoint aExpiresAt)
{
  const size_t bytes = aStored.response->bytes.size();
  if (bytes > m_limits.maxResponseBytes) {
    return;
  }
  while (m_responseBytes + bytes > m_limits.maxResponseBytes) {
    DropOldestResponse();
  }
  m_responseBytes += bytes;
  m_responses.emplace(aKey, std::move(aStored));
  m_responseOrder.push_back({ aKey, aExpiresAt });
}

void
HomeTable::DropOldestResponse()
{
  const auto stored = m_responses.find(m_responseOrder.front().key);
  m_responseBytes -= stored->second.response->bytes.size();
  m_responses.erase(stored);
  m_responseOrder.pop_front();
}

void
HomeTable::Expire(TimePoint aNow)
{
  while (!m_responseOrder.empty() &&
         m_responseOrder.front().expiresAt <= aNow) {
    DropOldestResponse();
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
    // The successor may run the open tickets, so they are not "not run" here.
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
      const Key key{ number, aHomeIndex, index };
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
                  "handed over to " + m_successor->ToString() };
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
    // A block can be evicted while its order still runs.
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
  result.reserve(m_responseOrder.size());
  for (const StoredExpiry& expiry : m_responseOrder) {
    const Key& key = expiry.key;
    const Stored& stored = m_responses.at(key);
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
    const auto where = Locate(response.ticket);
    if (!where || where->key.homeIndex < aFirstNewHome ||
        where->block == nullptr) {
      continue;
    }
    Store(where->key,
          { response.payloadHash, response.response },
          aNow + response.remaining);
  }
}

} // namespace wagtailbend::orders
