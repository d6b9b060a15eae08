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
  return m_active ? m_active->version.version : 0;
}

void
ConfigController::MarkStarted(RequestState& aRequest, TimePoint aNow) const
{
  aRequest.inFlight = true;
  aRequest.deadline = aNow + m_options.requestTimeout;
}

void
ConfigController::MarkFailed(RequestState& aRequest, TimePoint aNow)
{
  // Keeps the shift in range; the delay reaches maxBackoff long before.
  constexpr uint32_t kMaxDoublings = 16;
  const Duration delay =
    std::min<Duration>(m_options.initialBackoff *
                         (1U << std::min(aRequest.failures, kMaxDoublings)),
                       m_options.maxBackoff);
  const double jitterFactor = 1.0 - UniformUnit(m_rng) / 2;
  aRequest.inFlight = false;
  ++aRequest.failures;
  aRequest.next =
    aNow + std::chrono::duration_cast<Duration>(delay * jitterFactor);
}

void
ConfigController::MarkFetchFailed(TimePoint aNow)
{
  // The peer is used again once it announces its version again.
  m_peerVersions.erase(m_fetchPeer);
  m_fetchPeer.clear();
  MarkFailed(m_fetch, aNow);
}

bool
ConfigController::IsHeadNewer() const
{
  return m_head && m_head->version > Version();
}

// A daemon that is not a poller reads the head only while it has no
// configuration, or after a failed fetch when no peer is left to fetch from.
bool
ConfigController::ShouldPollHead() const
{
  return m_isPoller || !m_active ||
         (m_fetch.failures > 0 && m_peerVersions.empty() && !IsHeadNewer());
}

// Prefers the peer with the highest version, unless the head on the platform is
// newer.
std::optional<Action>
ConfigController::ChooseFetch()
{
  const auto best = std::max_element(m_peerVersions.begin(),
                                     m_peerVersions.end(),
                                     [](const auto& aLeft, const auto& aRight) {
                                       return aLeft.second < aRight.second;
                                     });
  if (best != m_peerVersions.end() &&
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
  if (m_poll.inFlight && aNow >= m_poll.deadline) {
    MarkFailed(m_poll, aNow);
  }
  if (m_fetch.inFlight && aNow >= m_fetch.deadline) {
    MarkFetchFailed(aNow);
  }
  if (!m_poll.inFlight && aNow >= m_poll.next && ShouldPollHead()) {
    MarkStarted(m_poll, aNow);
    actions.emplace_back(PollHead{});
  }
  if (!m_fetch.inFlight && aNow >= m_fetch.next) {
    if (auto fetch = ChooseFetch()) {
      MarkStarted(m_fetch, aNow);
      actions.push_back(std::move(*fetch));
    }
  }
  return actions;
}

Actions
ConfigController::OnPollerSelection(bool aIsPoller, TimePoint aNow)
{
  m_isPoller = aIsPoller;
  return OnTick(aNow);
}

Actions
ConfigController::OnHead(const std::optional<ConfigVersion>& aHead,
                         TimePoint aNow)
{
  m_poll = RequestState{ .next = aNow + m_options.pollInterval };
  // A lower head is a stale read, since accepted versions only increase.
  if (aHead && (!m_head || aHead->version > m_head->version)) {
    m_head = aHead;
  }
  if (!m_fetch.inFlight && !IsHeadNewer()) {
    // There is nothing left to fetch, so a daemon that is not a poller stops
    // reading the head.
    m_fetch.failures = 0;
  }
  return OnTick(aNow);
}

Actions
ConfigController::OnPollFailed(TimePoint aNow)
{
  MarkFailed(m_poll, aNow);
  return OnTick(aNow);
}

Actions
ConfigController::OnPeerVersion(const std::string& aPeer,
                                uint64_t aVersion,
                                TimePoint aNow)
{
  if (aVersion > Version()) {
    m_peerVersions[aPeer] = aVersion;
  }
  return OnTick(aNow);
}

// Returns why the body must not be activated, or "".
std::string
ConfigController::FindRejectionReason(const ConfigVersion& aVersion,
                                      const std::string& aBody) const
{
  if (aVersion.version <= Version()) {
    return "version is not higher than the active one";
  }
  if (ComputeDigest(aBody) != aVersion.digest) {
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
  m_lastRejection = FindRejectionReason(aVersion, aBody);
  auto schema = m_lastRejection.empty()
                  ? schema::ParseSchema(aBody)
                  : Error{ ErrorKind::kInternal, m_lastRejection };
  if (const Error* error = GetError(schema)) {
    m_lastRejection = error->detail;
    return OnFetchFailed(aNow);
  }
  m_active = std::make_shared<const ActiveConfig>(
    ActiveConfig{ aVersion, aBody, TakeValue(std::move(schema)) });
  m_fetch = RequestState{};
  m_fetchPeer.clear();
  std::erase_if(m_peerVersions, [this](const auto& aPeer) {
    return aPeer.second <= Version();
  });
  Actions actions{ ActivateConfig{ m_active } };
  for (auto& action : OnTick(aNow)) {
    actions.push_back(std::move(action));
  }
  return actions;
}

Actions
ConfigController::OnFetchFailed(TimePoint aNow)
{
  // A rejected push or a late result can arrive when no fetch is in flight; it
  // must not count as a failed fetch.
  if (m_fetch.inFlight) {
    MarkFetchFailed(aNow);
  }
  return OnTick(aNow);
}

} // namespace wagtailbend::config
