#include "wagtailbend/daemon/balancing_chooser.h"

#include <algorithm>
#include <vector>

namespace wagtailbend::daemon {
namespace {

// Headers and metadata of one call in one direction, about.
constexpr uint64_t kCallOverhead = 300;
// A balancer may be newer than the request's snapshot.
constexpr int kPicks = 3;

const Destination*
FindDestination(const RoutingSnapshot& aSnapshot,
                const std::string& aService,
                const DaemonId& aId)
{
  if (aSnapshot.ownTarget && aSnapshot.ownTarget->daemon == aId) {
    return &*aSnapshot.ownTarget;
  }
  auto peers = aSnapshot.peers.find(aService);
  if (peers == aSnapshot.peers.end()) {
    return nullptr;
  }
  auto found = std::find_if(
    peers->second.begin(), peers->second.end(), [&](const Destination& aPeer) {
      return aPeer.daemon.incarnation == aId.incarnation && aPeer.daemon == aId;
    });
  return found == peers->second.end() ? nullptr : &*found;
}

/// What the end of an attempt says about its target.
enum class Evidence : uint8_t
{
  kNone,
  kGood,
  kFailure,
};

// A rejection is fast and says nothing about the speed of the target.
Evidence
EvidenceOf(const AttemptResult& aResult)
{
  if (!aResult.error) {
    return aResult.streamed ? Evidence::kNone : Evidence::kGood;
  }
  switch (*aResult.error) {
    case ErrorKind::kConnectionLost:
    case ErrorKind::kTargetFailed:
    case ErrorKind::kResponseIncomplete:
    case ErrorKind::kResponseMismatch:
    case ErrorKind::kDeadlineExceeded:
      return Evidence::kFailure;
    default:
      return Evidence::kNone;
  }
}

bool
CrossesLink(const Destination& aDestination)
{
  return aDestination.target && aDestination.target->candidate.locality ==
                                  routing::Locality::kOtherRegion;
}

} // namespace

const Destination*
BalancingChooser::Choose(const filters::RequestContext& aContext,
                         const RoutingSnapshot& aSnapshot,
                         std::span<const DaemonId> aTried,
                         TimePoint aNow,
                         Rng& aRng)
{
  const schema::Method& method = *aContext.method;
  // An order relayed to its home is dispatched as at the entry.
  bool fromPeer =
    aContext.origin == filters::Origin::kPeer && !aContext.relayed;
  const Destination* own =
    aSnapshot.ownTarget && aSnapshot.ownService == method.service
      ? &*aSnapshot.ownTarget
      : nullptr;
  if (fromPeer && own) {
    return own;
  }
  if (aContext.trialDaemon) {
    bool tried =
      std::find(aTried.begin(), aTried.end(), *aContext.trialDaemon) !=
      aTried.end();
    return tried ? nullptr
                 : FindDestination(
                     aSnapshot, method.service, *aContext.trialDaemon);
  }
  bool order = method.kind == schema::Kind::kOrder;
  if (fromPeer && (order || aContext.relayedByContact)) {
    return nullptr;
  }
  routing::PickOptions options;
  options.exclude = aTried;
  options.kind = method.kind;
  options.priority = aContext.priority;
  options.localDomainOnly = fromPeer;
  options.allowTrial = !order;
  options.interRegionBudget = &m_link;
  options.interRegionBytes = aContext.requestBytes + kCallOverhead;
  const Destination* picked = Pick(aContext, aSnapshot, options, aNow, aRng);
  if (picked || aTried.empty()) {
    return picked;
  }
  // Every target was tried: another attempt at one of them may still succeed.
  options.exclude = {};
  return Pick(aContext, aSnapshot, options, aNow, aRng);
}

const Destination*
BalancingChooser::Pick(const filters::RequestContext& aContext,
                       const RoutingSnapshot& aSnapshot,
                       const routing::PickOptions& aOptions,
                       TimePoint aNow,
                       Rng& aRng)
{
  const std::string& service = aContext.method->service;
  auto balancer = aSnapshot.balancers.find(service);
  if (balancer == aSnapshot.balancers.end()) {
    return nullptr;
  }
  routing::PickOptions options = aOptions;
  std::vector<DaemonId> excluded;
  for (int i = 0; i < kPicks; ++i) {
    auto picked = balancer->second->Pick(aNow, aRng, options);
    if (!picked) {
      return nullptr;
    }
    const DaemonId& id = picked->target->candidate.id;
    if (const Destination* found = FindDestination(aSnapshot, service, id)) {
      return found;
    }
    if (excluded.empty()) {
      excluded.assign(aOptions.exclude.begin(), aOptions.exclude.end());
    }
    excluded.push_back(id);
    options.exclude = excluded;
  }
  return nullptr;
}

void
BalancingChooser::OnStart(const Destination& aDestination, TimePoint aNow)
{
  if (aDestination.target) {
    aDestination.target->stats->Begin();
  }
  if (CrossesLink(aDestination)) {
    m_bytes.usedAt.store(aNow, std::memory_order_relaxed);
  }
}

void
BalancingChooser::OnEnd(const Destination& aDestination,
                        const AttemptResult& aResult,
                        TimePoint aNow)
{
  if (!aDestination.target) {
    return;
  }
  if (CrossesLink(aDestination)) {
    uint64_t received = aResult.responseBytes + kCallOverhead;
    m_link.Charge(received, aNow);
    m_bytes.received.fetch_add(received, std::memory_order_relaxed);
    m_bytes.sent.fetch_add(aResult.requestBytes + kCallOverhead,
                           std::memory_order_relaxed);
  }
  // The ejection may have changed since the snapshot was published. The
  // statistics belong to the one that counted the start.
  routing::PickResult picked{ aDestination.target };
  if (auto present = aDestination.balancer->Find(aDestination.daemon);
      present && present->stats == picked.target->stats) {
    picked.target = std::move(present);
  }
  switch (EvidenceOf(aResult)) {
    case Evidence::kNone:
      aDestination.balancer->OnAttemptAbandoned(picked);
      return;
    case Evidence::kGood:
    case Evidence::kFailure:
      aDestination.balancer->OnAttemptFinished(
        picked, aResult.latency, !aResult.error, aNow);
      return;
  }
}

} // namespace wagtailbend::daemon
