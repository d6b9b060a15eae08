#include "wagtailbend/quarantine/suspect_sync.h"

namespace wagtailbend::quarantine {
namespace {

// Updates are sent when a target crashes. A digest that differs for longer
// shows that one was lost.
constexpr Duration kSettleTime = std::chrono::milliseconds(500);
constexpr Duration kSameRegionInterval = std::chrono::seconds(1);
constexpr Duration kOtherRegionInterval = std::chrono::seconds(2);

} // namespace

bool
SuspectSync::OnDigest(const PeerDigest& aPeer,
                      const LocalDigest& aLocal,
                      TimePoint aNow)
{
  if (aPeer.digest == 0 || aPeer.digest == aLocal.digest) {
    m_differsSince.erase(aPeer.address);
    return false;
  }
  const TimePoint since =
    m_differsSince.emplace(aPeer.address, aNow).first->second;
  const Duration settleTime = aLocal.isEmpty ? Duration{} : kSettleTime;
  const Duration interval =
    aPeer.otherRegion ? kOtherRegionInterval : kSameRegionInterval;
  if (aNow - since < settleTime || aNow - m_askedAt < interval) {
    return false;
  }
  m_askedAt = aNow;
  return true;
}

} // namespace wagtailbend::quarantine
