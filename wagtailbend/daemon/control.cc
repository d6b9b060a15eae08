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
// Time in which the news that this daemon left spreads.
constexpr Duration kLeaveTime = std::chrono::seconds(1);

} // namespace

int
Daemon::Run()
{
  m_signals.add(SIGTERM);
  m_signals.add(SIGINT);
  m_signals.add(SIGHUP);
  AwaitSignal();
  Tick();
  EvaluateRouting();
  m_config->Start();
  m_summaries->Start();
  m_control.run();
  return m_exitStatus;
}

void
Daemon::AwaitSignal()
{
  m_signals.async_wait([this](const std::error_code& aCode, int aSignal) {
    if (aCode) {
      return;
    }
    if (aSignal == SIGHUP) {
      ReloadSettings();
    } else {
      BeginDrain();
    }
    AwaitSignal();
  });
}

void
Daemon::ReloadSettings() const
{
  observability::Event event("settings_reloaded");
  if (!m_options.reload) {
    event.Add("error", "no settings file").Warn();
    return;
  }
  const auto settings = m_options.reload();
  if (const Error* error = GetError(settings)) {
    event.Add("error", error->detail).Warn();
    return;
  }
  // Addresses and limits of a running daemon stay; a restart takes new ones.
  event
    .Add("changed", GetValue(settings) == m_options.settings ? "false" : "true")
    .Info();
}

void
Daemon::Publish()
{
  auto snapshot = std::make_shared<RoutingSnapshot>();
  snapshot->schema = m_schema;
  snapshot->hedges = m_hedges.For(m_schema);
  snapshot->draining = m_draining;
  const std::vector<membership::DomainSummary> summaries = m_summaries->All();
  const std::vector<membership::Member> members = m_membership->Members();
  m_routing->Fill({ .target = m_target,
                    .self = m_membership->Self(),
                    .members = members,
                    .summaries = summaries,
                    .schema = m_schema.get() },
                  *snapshot,
                  MonotonicNow());
  AddDaemons(members, summaries, *snapshot);
  m_traffic.snapshots.Store(std::move(snapshot));
}

void
Daemon::Tick()
{
  TimePoint now = MonotonicNow();
  if (m_target.Expire(now)) {
    ReportLostTarget(m_quarantine->InFlight(), now);
    OnTargetChanged("lost");
  }
  SpreadQuarantine();
  if (m_routing->Expire(now)) {
    Publish();
  }
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
Daemon::OnUnreachable(const Destination& aDestination)
{
  asio::post(
    m_control, [this, own = aDestination.own, link = aDestination.link] {
      if (own && m_target.Refused(link->Address())) {
        OnTargetChanged("lost");
      }
      if (!own && m_routing->Refused(link->Address(), MonotonicNow())) {
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
  OnTargetChanged("leaving");
  m_handOver->Begin();
  CheckDrained();
}

// Daemons of the same failure domain; those whose target takes work come first,
// because the others may be leaving as well.
void
Daemon::AddDaemons(const std::vector<membership::Member>& aMembers,
                   const std::vector<membership::DomainSummary>& aSummaries,
                   RoutingSnapshot& aSnapshot)
{
  for (const membership::Member& member : aMembers) {
    if (member.id != m_id && membership::IsLive(member)) {
      aSnapshot.daemons[member.id] = m_channels.Link(member.peerAddress);
    }
  }
  for (const membership::DomainSummary& summary : aSummaries) {
    for (const auto& [name, service] : summary.services) {
      for (const membership::Contact& contact : service.contacts) {
        aSnapshot.daemons[contact.id] = m_channels.Link(contact.peerAddress);
      }
    }
  }
}

std::vector<SuccessorCandidate>
Daemon::Successors()
{
  std::vector<SuccessorCandidate> working;
  std::vector<SuccessorCandidate> others;
  for (const membership::Member& member : m_membership->Members()) {
    if (member.id.name == m_id.name ||
        member.state != membership::MemberState::kAlive) {
      continue;
    }
    (member.service ? working : others)
      .push_back({ member.id, m_channels.Link(member.peerAddress) });
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
  LeaveMembership();
}

void
Daemon::LeaveMembership()
{
  m_membership->Leave(std::nullopt);
  m_drainTimer.expires_after(kLeaveTime);
  m_drainTimer.async_wait([this](const std::error_code&) { m_control.stop(); });
}

bool
Daemon::TakesWork() const
{
  return m_target.Target() && !m_target.Draining() && !m_draining;
}

std::string
Daemon::StatusDocument() const
{
  nlohmann::json peers = nlohmann::json::array();
  for (const membership::Member& member : m_membership->Members()) {
    if (member.id == m_id || !IsLive(member)) {
      continue;
    }
    bool takesWork = member.state != membership::MemberState::kDraining;
    peers.push_back(
      { { "daemon", member.id.ToString() },
        { "peer", member.peerAddress },
        { "state", membership::MemberStateName(member.state) },
        { "service", takesWork ? member.service.value_or("") : "" } });
  }
  nlohmann::json json = {
    { "daemon", m_id.ToString() },
    { "failure_domain", m_options.settings.failureDomain },
    { "draining", m_draining },
    { "service", TakesWork() ? m_target.Target()->service : "" },
    { "config_version", m_config->Version() },
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
