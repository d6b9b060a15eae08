#include "review/common/memory_limit.h"

#include <algorithm>
#include <csignal>

namespace wagtailbend::review {
namespace {

using std::chrono::milliseconds;

constexpr auto kWatchInterval = milliseconds(10);
constexpr auto kRestartDelay = milliseconds(500);

} // namespace

MemoryLimit::MemoryLimit(Fleet& aFleet, size_t aMachine, Record& aRecord)
  : m_fleet(aFleet)
  , m_machine(aMachine)
  , m_record(aRecord)
{
}

void
MemoryLimit::Start()
{
  m_thread = std::thread([this] { Watch(); });
}

void
MemoryLimit::Stop()
{
  m_stopping = true;
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

std::string
MemoryLimit::Describe() const
{
  return "most memory " + std::to_string(static_cast<int>(m_peakMb)) + " of " +
         std::to_string(kMemoryMb) + " MB, killed " + std::to_string(m_kills) +
         " times";
}

void
MemoryLimit::Watch()
{
  while (!m_stopping) {
    wagtailbend::testing::Process& daemon = *m_fleet.At(m_machine).daemon;
    const double memoryMb =
      wagtailbend::testing::UsageOf(daemon.Id()).residentMebibytes;
    m_peakMb = std::max(m_peakMb, memoryMb);
    if (memoryMb > kMemoryMb) {
      m_record.Add("daemon of " + m_fleet.Host(m_machine) + " holds " +
                   std::to_string(static_cast<int>(memoryMb)) + " of " +
                   std::to_string(kMemoryMb) + " MB: killed");
      daemon.Signal(SIGKILL);
      daemon.Wait(std::chrono::seconds(2));
      ++m_kills;
      std::this_thread::sleep_for(kRestartDelay);
      m_fleet.StartDaemon(m_machine);
    }
    std::this_thread::sleep_for(kWatchInterval);
  }
}

} // namespace wagtailbend::review
