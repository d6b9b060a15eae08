// The part of Daemon that connects crash suspects with target and gossip.

#include <memory>
#include <utility>

#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>

#include "wagtailbend/daemon/daemon.h"
#include "wagtailbend/observability/event_log.h"

namespace wagtailbend::daemon {
namespace {

// All connections to a target that died are lost within this time.
constexpr Duration kSameDeath = std::chrono::milliseconds(500);
// A process that dies on a busy machine loses its connections before its
// listening socket, which takes new ones meanwhile.
constexpr Duration kProbeInterval = std::chrono::milliseconds(100);
constexpr int kProbes = 5;

} // namespace

// A lost connection is a death only if the target refuses a new one: gRPC also
// gives up connections that went silent.
void
Daemon::OnOwnTargetLost(std::vector<uint64_t> aInFlight, TimePoint aNow)
{
  asio::post(m_control, [this, inFlight = std::move(aInFlight), aNow] {
    if (aNow < m_lossUntil) {
      return;
    }
    m_lossUntil = aNow + kSameDeath;
    ProbeLostTarget(inFlight, aNow, kProbes);
  });
}

void
Daemon::ProbeLostTarget(const std::vector<uint64_t>& aInFlight,
                        TimePoint aNow,
                        int aProbes)
{
  std::string host;
  uint16_t port = 0;
  if (!m_target.Target() ||
      !settings::ParseAddress(m_target.Target()->address, host, port)) {
    return;
  }
  auto socket = std::make_shared<asio::ip::tcp::socket>(m_control);
  socket->async_connect(
    { asio::ip::make_address(host), port },
    [this,
     socket,
     inFlight = aInFlight,
     aNow,
     aProbes,
     address = m_target.Target()->address](const std::error_code& aError) {
      if (aError) {
        ReportLostTarget(inFlight, aNow);
        if (m_target.Refused(address)) {
          OnTargetChanged("lost");
        }
        return;
      }
      if (aProbes <= 1) {
        m_lossUntil = {};
        return;
      }
      auto timer =
        std::make_shared<asio::steady_timer>(m_control, kProbeInterval);
      timer->async_wait(
        [this, timer, inFlight, aNow, aProbes](const std::error_code& aCode) {
          if (!aCode) {
            ProbeLostTarget(inFlight, aNow, aProbes - 1);
          }
        });
    });
}

void
Daemon::ReportLostTarget(const std::vector<uint64_t>& aInFlight, TimePoint aNow)
{
  if (aInFlight.empty()) {
    return;
  }
  observability::Event("target_died").Add("in_flight", aInFlight.size()).Warn();
  m_lossUntil = aNow + kSameDeath;
  m_quarantine->TargetLost(aInFlight, aNow);
  SpreadQuarantine();
}

void
Daemon::SpreadQuarantine()
{
  TimePoint now = MonotonicNow();
  for (const auto& entry : m_quarantine->TakeNews(now)) {
    m_membership->AddQuarantine(entry);
  }
}

std::map<std::string, std::vector<DaemonId>>
Daemon::LiveByService() const
{
  std::map<std::string, std::vector<DaemonId>> live;
  for (const membership::Member& member : m_membership->Members()) {
    if (member.service && member.state == membership::MemberState::kAlive) {
      live[*member.service].push_back(member.id);
    }
  }
  return live;
}

} // namespace wagtailbend::daemon
