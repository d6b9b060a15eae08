// Exchanges summaries between failure domains. The daemons that rendezvous
// hashing selects call daemons of other failure domains; the others ask a
// selected daemon of their own.
//
//   SummaryController summaries(control, channels, membership, hooks);
//   summaries.Start();
//   for (const membership::DomainSummary& summary : summaries.All()) { ... }

#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/steady_timer.hpp>

#include "wagtailbend/daemon/channel_pool.h"
#include "wagtailbend/daemon/control_queue.h"
#include "wagtailbend/daemon/membership_controller.h"
#include "wagtailbend/membership/summary.h"
#include "wagtailbend/peer.pb.h"

namespace wagtailbend::daemon {

/// Called on the control thread.
struct SummaryHooks
{
  /// Names of all failure domains.
  std::function<std::vector<std::string>()> domains;
  /// Version in force at this daemon.
  std::function<membership::ConfigVersion()> config;
  /// Load of the own target by its service.
  std::function<std::map<std::string, double>()> loads;
  std::function<void()> changed;
  std::function<void(const std::string&, uint64_t)> versionHeard;
};

/// Not thread-safe: owned by the control thread.
class SummaryController
{
public:
  SummaryController(asio::io_context& aControl,
                    std::shared_ptr<ControlQueue> aQueue,
                    ChannelPool& aChannels,
                    MembershipController& aMembership,
                    SummaryHooks aHooks);

  void Start();
  /// Answers a call of another daemon and merges what it sent.
  void Answer(const peer::ExchangeSummaryRequest& aRequest,
              peer::ExchangeSummaryReply& aReply);
  /// The fresh summaries of other failure domains.
  std::vector<membership::DomainSummary> All() const { return m_table.All(); }

private:
  void Tick();
  void Exchange();
  void AskExchanger();
  std::vector<std::string> ContactsOf(const std::string& aDomain);
  void Call(const std::string& aAddress, const std::string& aDomain);
  void TakeReply(const std::string& aAddress,
                 const peer::ExchangeSummaryReply& aReply);
  void Merge(const std::string& aBytes, const std::string& aSource);
  std::string OwnSummary(TimePoint aNow);
  void NoteDomains();

  asio::io_context& m_control;
  std::shared_ptr<ControlQueue> m_queue;
  ChannelPool& m_channels;
  MembershipController& m_membership;
  SummaryHooks m_hooks;
  membership::SummaryTable m_table;
  asio::steady_timer m_timer;
  // Kept, because the pool forgets links that nobody holds.
  std::map<std::string, std::shared_ptr<PeerLink>> m_links;
  uint64_t m_freshness;
  uint64_t m_round = 0;
};

} // namespace wagtailbend::daemon
