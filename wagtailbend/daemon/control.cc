// The part of Daemon that runs on the control thread.

#include <csignal>
#include <utility>

#include <asio/post.hpp>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "wagtailbend/daemon/daemon.h"
#include "wagtailbend/observability/event_log.h"

namespace wagtailbend::daemon {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(50);
constexpr Duration kDrainCheckInterval = std::chrono::milliseconds(20);
// Late expiry of orders costs only memory.
constexpr Duration kOrderExpiryInterval = std::chrono::seconds(1);
// A seed on a silent connection must not hold a pool thread for longer.
constexpr int kSeedTimeoutMs = 300;

} // namespace

int
Daemon::Run()
{
  m_signals.add(SIGTERM);
  m_signals.add(SIGINT);
  m_signals.async_wait([this](const std::error_code& aCode, int) {
    if (!aCode) {
      BeginDrain();
    }
  });
  Tick();
  FetchSeeds();
  m_control.run();
  return m_exitStatus;
}

void
Daemon::Publish()
{
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->schema = m_schema;
  snapshot->hedges = m_hedges.For(m_schema);
  snapshot->draining = m_draining;
  if (m_target.Target() && !m_target.Draining()) {
    snapshot->ownService = m_target.Target()->service;
    snapshot->ownTarget =
      Destination{ m_id, m_channels.Link(m_target.Target()->address), true };
  }
  for (const PeerState& peer : m_seeds.Peers()) {
    if (peer.daemon.name == m_id.name) {
      continue;
    }
    auto link = m_channels.Link(peer.peerAddress);
    snapshot->daemons[peer.daemon] = link;
    if (!peer.service.empty()) {
      snapshot->peers[peer.service].push_back(
        Destination{ peer.daemon, std::move(link), false });
    }
  }
  m_traffic.snapshots.Store(std::move(snapshot));
}

void
Daemon::Tick()
{
  if (m_target.Expire(MonotonicNow())) {
    observability::Event("target_removed").Add("reason", "heartbeats").Warn();
    Publish();
  }
  TimePoint now = MonotonicNow();
  if (m_orders->claims) {
    m_orders->claims->Expire(now);
  }
  if (now >= m_nextOrderExpiry) {
    m_orders->book.Expire(now);
    m_nextOrderExpiry = now + kOrderExpiryInterval;
  }
  m_tickTimer.expires_after(kTickInterval);
  m_tickTimer.async_wait([this](const std::error_code& aCode) {
    if (!aCode) {
      Tick();
    }
  });
}

void
Daemon::FetchSeeds()
{
  // A round starts after the previous one, so that slow seeds cannot pile up.
  for (const std::string& seed : m_fetchesPending == 0
                                   ? m_options.seedPages
                                   : std::vector<std::string>{}) {
    ++m_fetchesPending;
    asio::post(m_blockingPool, [this, seed] {
      auto state = FetchSelf(seed, kSeedTimeoutMs);
      asio::post(m_control, [this, seed, state = std::move(state)]() mutable {
        --m_fetchesPending;
        if (m_seeds.Update(seed, std::move(state))) {
          Publish();
        }
      });
    });
  }
  m_seedTimer.expires_after(m_options.seedInterval);
  m_seedTimer.async_wait([this](const std::error_code& aCode) {
    if (!aCode) {
      FetchSeeds();
    }
  });
}

void
Daemon::OnUnreachable(const Destination& aDestination)
{
  asio::post(m_control,
             [this, own = aDestination.own, link = aDestination.link] {
               bool changed = own ? m_target.Refused(link->Address())
                                  : m_seeds.Refused(link->Address());
               if (changed) {
                 observability::Event("target_removed")
                   .Add("reason", "unreachable")
                   .Add("address", link->Address())
                   .Warn();
                 Publish();
               }
             });
}

void
Daemon::BeginDrain()
{
  if (m_draining) {
    return;
  }
  m_draining = true;
  observability::Event("drain_started")
    .Add("in_flight", m_traffic.counters.InFlight())
    .Info();
  m_drainDeadline = MonotonicNow() + std::chrono::milliseconds(
                                       m_options.settings.drainTimeoutMs);
  Publish();
  m_handOver->Begin();
  CheckDrained();
}

// Daemons of the same failure domain; those whose target takes work come first,
// because the others may be leaving as well.
std::vector<SuccessorCandidate>
Daemon::Successors()
{
  std::vector<SuccessorCandidate> working;
  std::vector<SuccessorCandidate> others;
  for (const PeerState& peer : m_seeds.Peers()) {
    if (peer.failureDomain == m_options.settings.failureDomain &&
        peer.daemon.name != m_id.name) {
      (peer.service.empty() ? others : working)
        .push_back({ peer.daemon, m_channels.Link(peer.peerAddress) });
    }
  }
  working.insert(working.end(), others.begin(), others.end());
  return working;
}

void
Daemon::CheckDrained()
{
  bool handedOver =
    m_handOver->Advance(MonotonicNow(), m_drainDeadline, Successors());
  bool drained = handedOver && m_traffic.counters.InFlight() == 0;
  if (!drained && MonotonicNow() < m_drainDeadline) {
    m_drainTimer.expires_after(kDrainCheckInterval);
    m_drainTimer.async_wait([this](const std::error_code& aCode) {
      if (!aCode) {
        CheckDrained();
      }
    });
    return;
  }
  observability::Event("drain_finished")
    .Add("in_flight", m_traffic.counters.InFlight())
    .Info();
  m_exitStatus = drained ? 0 : 1;
  m_control.stop();
}

PeerState
Daemon::Self() const
{
  bool takesWork = m_target.Target() && !m_target.Draining() && !m_draining;
  return { m_id,
           m_options.settings.failureDomain,
           m_options.settings.peerAddress,
           takesWork ? m_target.Target()->service : "" };
}

std::string
Daemon::StatusDocument() const
{
  nlohmann::json peers = nlohmann::json::array();
  for (const PeerState& peer : m_seeds.Peers()) {
    peers.push_back({ { "daemon", peer.daemon.ToString() },
                      { "peer", peer.peerAddress },
                      { "service", peer.service } });
  }
  nlohmann::json json = {
    { "daemon", m_id.ToString() },
    { "failure_domain", m_options.settings.failureDomain },
    { "draining", m_draining },
    { "service", Self().service },
    { "load", m_target.Load() },
    { "in_flight", m_traffic.counters.InFlight() },
    { "peers", std::move(peers) },
  };
  return json.dump();
}

std::string
Daemon::MetricsText() const
{
  return m_traffic.counters.registry.Text();
}

} // namespace wagtailbend::daemon
