#include "wagtailbend/config/config_controller.h"

#include <algorithm>

namespace wagtailbend::config {

ConfigController::ConfigController(const ControllerOptions& aOptions,
                                   uint64_t aSeed)
  : m_options(aOptions)
  , m_rng(aSeed)
{
}

uint64_t
ConfigController::Version() const
{
  return m_inForce ? m_inForce->version.version : 0;
}

void
ConfigController::Start(Request& aRequest, TimePoint aNow) const
{
  aRequest.inFlight = true;
  aRequest.timeout = aNow + m_options.requestTimeout;
}

void
ConfigController::Fail(Request& aRequest, TimePoint aNow)
{
  // Beyond this many doublings lastBackoff applies anyway.
  constexpr uint32_t kMaxDoublings = 16;
  const Duration delay = std::min<Duration>(
    m_options.firstBackoff * (1U << std::min(aRequest.failures, kMaxDoublings)),
    m_options.lastBackoff);
  const double share = 1.0 - UniformUnit(m_rng) / 2;
  aRequest.inFlight = false;
  ++aRequest.failures;
  aRequest.next = aNow + std::chrono::duration_cast<Duration>(delay * share);
}

void
ConfigController::FailFetch(TimePoint aNow)
{
  // The peer is asked again once it reports its version anew.
  m_peers.erase(m_fetchPeer);
  m_fetchPeer.clear();
  Fail(m_fetch, aNow);
}

bool
ConfigController::IsHeadNewer() const
{
  return m_head && m_head->version > Version();
}

// A daemon that is no poller reads the head itself while it has no version,
// or after a fetch failed and no peer is left to ask.
bool
ConfigController::NeedsPoll() const
{
  return m_isPoller || !m_inForce ||
         (m_fetch.failures > 0 && m_peers.empty() && !IsHeadNewer());
}

// Prefers the peer with the highest version, then the platform.
std::optional<Action>
ConfigController::NextFetch()
{
  const auto best = std::max_element(
    m_peers.begin(), m_peers.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.second < aRight.second;
    });
  if (best != m_peers.end() &&
      (!IsHeadNewer() || best->second >= m_head->version)) {
    m_fetchPeer = best->first;
    return FetchFromPeer{ best->first, best->second };
  }
  if (IsHeadNewer()) {
    m_fetchPeer.clear();
    return FetchFromPlatform{ *m_head };
  }
  return std::nullopt;
}

Actions
ConfigController::OnTick(TimePoint aNow)
{
  Actions actions;
  if (m_poll.inFlight && aNow >= m_poll.timeout) {
    Fail(m_poll, aNow);
  }
  if (m_fetch.inFlight && aNow >= m_fetch.timeout) {
    FailFetch(aNow);
  }
  if (!m_poll.inFlight && aNow >= m_poll.next && NeedsPoll()) {
    Start(m_poll, aNow);
    actions.emplace_back(PollHead{});
  }
  if (!m_fetch.inFlight && aNow >= m_fetch.next) {
    if (auto fetch = NextFetch()) {
      Start(m_fetch, aNow);
      actions.push_back(std::move(*fetch));
    }
  }
  return actions;
}

Actions
ConfigController::OnSelected(bool aIsPoller, TimePoint aNow)
{
  m_isPoller = aIsPoller;
  return OnTick(aNow);
}

Actions
ConfigController::OnHead(const std::optional<ConfigVersion>& aHead,
                         TimePoint aNow)
{
  m_poll = Request{ .next = aNow + m_options.pollInterval };
  // A lower head is a stale read: accepted versions only rise.
  if (aHead && (!m_head || aHead->version > m_head->version)) {
    m_head = aHead;
  }
  if (!m_fetch.inFlight && !IsHeadNewer()) {
    // Nothing is left to fetch, so a non-poller stops reading the head.
    m_fetch.failures = 0;
  }
  return OnTick(aNow);
}

Actions
ConfigController::OnPollFailed(TimePoint aNow)
{
  Fail(m_poll, aNow);
  return OnTick(aNow);
}

Actions
ConfigController::OnVersionHeard(const std::string& aPeer,
                                 uint64_t aVersion,
                                 TimePoint aNow)
{
  if (aVersion > Version()) {
    m_peers[aPeer] = aVersion;
  }
  return OnTick(aNow);
}

// Returns why a body is not put in force, or "".
std::string
ConfigController::Reject(const ConfigVersion& aVersion,
                         const std::string& aBody) const
{
  if (aVersion.version <= Version()) {
    return "version is not higher than the one in force";
  }
  if (DigestOf(aBody) != aVersion.digest) {
    return "body does not match its digest";
  }
  if (m_head && m_head->version == aVersion.version && *m_head != aVersion) {
    return "version differs from the accepted one";
  }
  return "";
}

Actions
ConfigController::OnBody(const ConfigVersion& aVersion,
                         const std::string& aBody,
                         TimePoint aNow)
{
  m_lastRejection = Reject(aVersion, aBody);
  auto schema = m_lastRejection.empty()
                  ? schema::ParseSchema(aBody)
                  : Error{ ErrorKind::kInternal, m_lastRejection };
  if (const Error* error = GetError(schema)) {
    m_lastRejection = error->detail;
    return OnFetchFailed(aNow);
  }
  m_inForce = std::make_shared<const ConfigInForce>(
    ConfigInForce{ aVersion, aBody, TakeValue(std::move(schema)) });
  m_fetch = Request{};
  m_fetchPeer.clear();
  std::erase_if(
    m_peers, [this](const auto& aPeer) { return aPeer.second <= Version(); });
  Actions actions{ PutInForce{ m_inForce } };
  for (auto& action : OnTick(aNow)) {
    actions.push_back(std::move(action));
  }
  return actions;
}

Actions
ConfigController::OnFetchFailed(TimePoint aNow)
{
  // A rejected push, or a late result, does not end a fetch that was not
  // started.
  if (m_fetch.inFlight) {
    FailFetch(aNow);
  }
  return OnTick(aNow);
}

} // namespace wagtailbend::config
