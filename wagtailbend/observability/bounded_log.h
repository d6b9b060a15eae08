// Log output that never blocks the caller and never grows without bound.
//
//   BoundedLog log(256 * 1024);
//   log.Attach("info");       // events of event_log.h go here from now on
//   log.Flush();              // every 100 ms, on a thread that may write
//
// Lines above the bound are dropped and counted; the next flush says how many.

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace wagtailbend::observability {

/// Thread-safe, but for Flush, which one thread calls at a time.
class BoundedLog
{
public:
  /// Writes to the descriptor aOut.
  explicit BoundedLog(size_t aMaxBytes, int aOut = 1);
  ~BoundedLog();
  BoundedLog(const BoundedLog&) = delete;
  BoundedLog& operator=(const BoundedLog&) = delete;

  /// Sends all events here. Call once, before other threads start. aLevel as
  /// in StartLogging.
  void Attach(std::string_view aLevel);

  /// Adds a line, or counts it as dropped.
  void Append(std::string_view aLine);
  /// Writes what the descriptor takes without waiting.
  void Flush();

  uint64_t Dropped() const;

private:
  const size_t m_maxBytes;
  const int m_out;
  mutable std::mutex m_mutex;
  std::string m_pending;
  std::string m_writing;
  uint64_t m_dropped = 0;
  uint64_t m_reported = 0;
  bool m_attached = false;
};

} // namespace wagtailbend::observability
