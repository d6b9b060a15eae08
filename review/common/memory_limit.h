// Does what the platform does to a daemon that exceeds its memory: kills it and
// starts it again.
//
//   MemoryLimit limit(fleet, 0, record);
//   limit.Start();
//   ...
//   limit.Stop();

#pragma once

#include <atomic>
#include <string>
#include <thread>

#include "review/common/fleet.h"

namespace wagtailbend::review {

/// Between Start and Stop nothing else may use the daemon of the machine.
class MemoryLimit
{
public:
  MemoryLimit(Fleet& aFleet, size_t aMachine, Record& aRecord);
  ~MemoryLimit() { Stop(); }
  MemoryLimit(const MemoryLimit&) = delete;
  MemoryLimit& operator=(const MemoryLimit&) = delete;

  void Start();
  void Stop();
  /// Most memory seen and number of kills. Call after Stop.
  std::string Describe() const;

private:
  void Watch();

  Fleet& m_fleet;
  const size_t m_machine;
  Record& m_record;
  std::atomic<bool> m_stopping{ false };
  double m_peakMb = 0;
  int m_kills = 0;
  std::thread m_thread;
};

} // namespace wagtailbend::review
