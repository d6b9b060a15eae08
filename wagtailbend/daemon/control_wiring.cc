// The part of Daemon that connects the controllers of the control thread.

#include <chrono>
#include <utility>

#include "wagtailbend/daemon/daemon.h"
#include "wagtailbend/daemon/order_codec.h"
#include "wagtailbend/observability/event_log.h"
#include "wagtailbend/store/http_platform.h"

namespace wagtailbend::daemon {
namespace {

constexpr Duration kEvaluateInterval = std::chrono::milliseconds(100);
constexpr Duration kLinkInUse = std::chrono::seconds(5);
constexpr size_t kPollersPerDomain = 2;

membership::ConfigVersion
ToGossip(const config::ConfigVersion& aVersion)
{
  return { aVersion.version, aVersion.changeId, aVersion.digest };
}

} // namespace

std::optional<Error>
Daemon::WireControl()
{
  const settings::Settings& settings = m_options.settings;
  if (!settings.platformUrl.empty()) {
    const Duration timeout =
      std::chrono::milliseconds(settings.platformTimeoutMs);
    auto platform =
      store::HttpPlatform::Create(settings.platformUrl, { timeout, timeout });
    if (const Error* error = GetError(platform)) {
      return *error;
    }
    m_platform = TakeValue(std::move(platform));
  }
  m_routing = std::make_unique<RoutingController>(m_id, m_channels);
  WireMembership();
  WireConfig();
  WireSummaries();
  m_probe = std::make_unique<LinkProbe>(
    m_queue, m_channels, [this](Duration aRoundTrip) {
      m_link.OnRoundTrip(aRoundTrip, MonotonicNow());
    });
  WireAdmin();
  return m_membership->Start();
}

void
Daemon::WireMembership()
{
  const settings::Settings& settings = m_options.settings;
  membership::Member self;
  self.id = m_id;
  self.generation = UnixMilliseconds();
  self.gossipAddress = settings.gossipAddress;
  self.peerAddress = settings.peerAddress;
  self.httpAddress = settings.httpAddress;
  self.failureDomain = settings.failureDomain;
  if (m_schema) {
    self.region = m_schema->RegionOf(settings.failureDomain);
  }
  MembershipHooks hooks;
  hooks.changed = [this] { OnMembersChanged(); };
  hooks.versionHeard = [this](const std::string& aPeer, uint64_t aVersion) {
    m_config->VersionHeard(aPeer, aVersion);
  };
  hooks.superseded = [this] {
    observability::Event("superseded").Add("daemon", m_id.ToString()).Error();
    BeginDrain();
  };
  m_membership = std::make_unique<MembershipController>(
    m_control,
    m_blockingPool,
    MembershipOptions{ std::move(self), settings.seeds, m_platform },
    std::move(hooks));
}

void
Daemon::WireConfig()
{
  m_config = std::make_unique<ConfigRunner>(
    m_control,
    m_queue,
    m_blockingPool,
    m_channels,
    m_platform,
    [this](const auto& aConfig) { OnConfigInForce(aConfig); });
}

void
Daemon::WireSummaries()
{
  SummaryHooks hooks;
  hooks.domains = [this] {
    std::vector<std::string> names;
    if (m_schema) {
      for (const auto& domain : m_schema->FailureDomains()) {
        names.push_back(domain.name);
      }
    }
    return names;
  };
  hooks.config = [this] {
    auto current = m_config->Current();
    return current ? ToGossip(current->version) : membership::ConfigVersion{};
  };
  hooks.loads = [this] {
    std::map<std::string, double> loads;
    if (m_target.Target()) {
      loads[m_target.Target()->service] = m_target.Load();
    }
    return loads;
  };
  hooks.changed = [this] { Publish(); };
  hooks.versionHeard = [this](const std::string& aPeer, uint64_t aVersion) {
    m_config->VersionHeard(aPeer, aVersion);
  };
  m_summaries = std::make_unique<SummaryController>(
    m_control, m_queue, m_channels, *m_membership, std::move(hooks));
}

void
Daemon::WireAdmin()
{
  AdminHooks hooks;
  hooks.status = [this](admin::StatusReply& aReply) { FillStatus(aReply); };
  hooks.push = [this](const admin::PushConfigRequest& aRequest) {
    m_config->Push(VersionFromProto(aRequest.version()), aRequest.body());
    return m_config->Version();
  };
  hooks.drain = [this] {
    bool started = !m_draining;
    BeginDrain();
    return started;
  };
  hooks.order = [this](const std::string& aTicket,
                       admin::LookupOrderReply& aReply) {
    return DescribeOrder(aTicket, aReply);
  };
  m_adminService = std::make_unique<AdminService>(m_control, std::move(hooks));
}

std::optional<Error>
Daemon::DescribeOrder(const std::string& aTicket,
                      admin::LookupOrderReply& aReply) const
{
  const auto ticket = orders::Ticket::Parse(aTicket);
  if (!ticket) {
    return Error{ ErrorKind::kInvalidRequest, "malformed ticket" };
  }
  const auto status = m_orders->book.Lookup(*ticket);
  aReply.set_outcome(std::string(
    RunStateName(status ? RunStateOf(*status) : RunState::kMayHaveRun)));
  if (!status) {
    aReply.set_detail("held_here=false home=" + ticket->home.ToString());
  } else if (!status->grantedTo.name.empty()) {
    aReply.set_detail("granted_to=" + status->grantedTo.ToString());
  }
  return std::nullopt;
}

void
Daemon::OnMembersChanged()
{
  m_config->Select(m_membership->IsSelected("config-poll", kPollersPerDomain));
  TimePoint now = MonotonicNow();
  m_quarantine->Update(m_membership->Quarantine(now), LiveByService(), now);
  Publish();
}

void
Daemon::UpdateGate()
{
  if (m_schema && m_target.Target() &&
      m_schema->FindService(m_target.Target()->service)) {
    m_traffic.gate.SetTarget(GateConfig(*m_schema, *m_target.Target()));
  }
}

void
Daemon::OnTargetChanged(std::string_view aState)
{
  const auto& target = m_target.Target();
  observability::Event("target")
    .Add("state", aState)
    .Add("service", target ? target->service : "")
    .Info();
  TargetState state;
  if (target) {
    state.service = target->service;
    state.slots = target->slots;
    state.cold = target->cold;
  }
  state.draining = m_draining || (target && m_target.Draining());
  UpdateGate();
  m_membership->SetTarget(state);
  OnMembersChanged();
}

void
Daemon::OnConfigInForce(
  const std::shared_ptr<const config::ActiveConfig>& aConfig)
{
  m_schema = std::shared_ptr<const schema::Schema>(aConfig, &aConfig->schema);
  UpdateGate();
  m_membership->AnnounceConfig(ToGossip(aConfig->version));
  Publish();
}

void
Daemon::EvaluateRouting()
{
  TimePoint now = MonotonicNow();
  m_routing->Evaluate(now);
  std::vector<std::string> contacts;
  for (const membership::DomainSummary& summary : m_summaries->All()) {
    if (!m_schema || m_schema->RegionOf(summary.failureDomain) ==
                       m_schema->RegionOf(m_options.settings.failureDomain)) {
      continue;
    }
    for (const auto& [service, values] : summary.services) {
      for (const membership::Contact& contact : values.contacts) {
        contacts.push_back(contact.peerAddress);
      }
    }
  }
  m_probe->Tick(contacts, now - m_linkBytes->usedAt.load() < kLinkInUse, now);
  m_evaluateTimer.expires_after(kEvaluateInterval);
  m_evaluateTimer.async_wait([this](const std::error_code& aCode) {
    if (!aCode) {
      EvaluateRouting();
    }
  });
}

} // namespace wagtailbend::daemon
