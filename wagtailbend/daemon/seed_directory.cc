#include "wagtailbend/daemon/seed_directory.h"

#include <utility>

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace wagtailbend::daemon {
namespace {

constexpr int kFailuresBeforeDrop = 2;

std::optional<PeerState>
ParseSelf(const std::string& aBody)
{
  auto json = nlohmann::json::parse(aBody, nullptr, false);
  if (!json.is_object()) {
    return std::nullopt;
  }
  auto text = [&json](const char* aKey) -> std::string {
    auto found = json.find(aKey);
    return found != json.end() && found->is_string() ? found->get<std::string>()
                                                     : "";
  };
  auto daemon = DaemonId::Parse(text("daemon"));
  if (!daemon || text("peer").empty()) {
    return std::nullopt;
  }
  return PeerState{
    *daemon, text("failure_domain"), text("peer"), text("service")
  };
}

} // namespace

std::optional<PeerState>
FetchSelf(const std::string& aSeed, int aTimeoutMs)
{
  httplib::Client client("http://" + aSeed);
  client.set_connection_timeout(std::chrono::milliseconds(aTimeoutMs));
  client.set_read_timeout(std::chrono::milliseconds(aTimeoutMs));
  auto response = client.Get("/v1/internal/self");
  if (!response || response->status != 200) {
    return std::nullopt;
  }
  return ParseSelf(response->body);
}

std::string
SelfDocument(const PeerState& aState)
{
  nlohmann::json json = {
    { "daemon", aState.daemon.ToString() },
    { "failure_domain", aState.failureDomain },
    { "peer", aState.peerAddress },
    { "service", aState.service },
  };
  return json.dump();
}

bool
SeedDirectory::Update(const std::string& aSeed, std::optional<PeerState> aState)
{
  Entry& entry = m_entries[aSeed];
  if (aState) {
    entry.failures = 0;
    bool changed = entry.state != aState;
    entry.state = std::move(aState);
    return changed;
  }
  if (++entry.failures < kFailuresBeforeDrop || !entry.state) {
    return false;
  }
  entry.state.reset();
  return true;
}

bool
SeedDirectory::Refused(const std::string& aPeerAddress)
{
  bool changed = false;
  for (auto& [seed, entry] : m_entries) {
    if (!entry.state || entry.state->peerAddress != aPeerAddress) {
      continue;
    }
    entry.state.reset();
    changed = true;
  }
  return changed;
}

std::vector<PeerState>
SeedDirectory::Peers() const
{
  std::vector<PeerState> peers;
  for (const auto& [seed, entry] : m_entries) {
    if (entry.state) {
      peers.push_back(*entry.state);
    }
  }
  return peers;
}

} // namespace wagtailbend::daemon
