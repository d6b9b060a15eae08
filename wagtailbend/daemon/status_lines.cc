// The key=value lines of Admin/Status.

#include <map>

#include <fmt/format.h>

#include "wagtailbend/daemon/daemon.h"

namespace wagtailbend::daemon {
namespace {

std::string
MemberLine(const std::vector<membership::Member>& aMembers)
{
  std::map<std::string, size_t> counts;
  for (const membership::Member& member : aMembers) {
    ++counts[std::string(membership::MemberStateName(member.state))];
  }
  std::string line = "members";
  for (const auto& [state, count] : counts) {
    line += fmt::format(" {}={}", state, count);
  }
  return line;
}

std::string
SummaryLine(const membership::DomainSummary& aSummary)
{
  uint32_t targets = 0;
  for (const auto& [name, service] : aSummary.services) {
    targets += service.liveTargets;
  }
  return fmt::format("summary failure_domain={} sender={} services={} "
                     "targets={} config_version={}",
                     aSummary.failureDomain,
                     aSummary.sender.ToString(),
                     aSummary.services.size(),
                     targets,
                     aSummary.config.version);
}

} // namespace

void
Daemon::FillStatus(admin::StatusReply& aReply) const
{
  const settings::Settings& settings = m_options.settings;
  aReply.set_daemon(m_id.ToString());
  aReply.set_failure_domain(settings.failureDomain);
  if (m_schema) {
    aReply.set_region(std::string(m_schema->RegionOf(settings.failureDomain)));
  }
  aReply.set_config_version(m_config->Version());
  aReply.set_draining(m_draining);
  std::vector<std::string> lines;
  auto config = m_config->Current();
  lines.push_back(
    fmt::format("config version={} change={} digest={} rejected={}",
                m_config->Version(),
                config ? config->version.changeId : "",
                config ? config->version.digest : "",
                m_config->LastRejection().empty() ? "no" : "yes"));
  lines.push_back(MemberLine(m_membership->Members()));
  const auto& target = m_target.Target();
  lines.push_back(
    fmt::format("own service={} draining={} load={:.2f} in_flight={}",
                target ? target->service : "",
                m_target.Draining(),
                m_target.Load(),
                m_traffic.counters.InFlight()));
  for (const membership::DomainSummary& summary : m_summaries->All()) {
    lines.push_back(SummaryLine(summary));
  }
  lines.push_back(fmt::format("link rate={:.0f} sent={} received={}",
                              m_link.Rate(),
                              m_linkBytes->sent.load(),
                              m_linkBytes->received.load()));
  TimePoint now = MonotonicNow();
  auto [entries, quarantined] = m_quarantine->Counts(now);
  lines.push_back(
    fmt::format("quarantine entries={} quarantined={}", entries, quarantined));
  m_routing->AddStatus(lines, now);
  for (std::string& line : lines) {
    aReply.add_lines(std::move(line));
  }
}

} // namespace wagtailbend::daemon
