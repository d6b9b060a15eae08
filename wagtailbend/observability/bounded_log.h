// Log output that never blocks the caller and uses bounded memory.
//
//   BoundedLog log(256 * 1024);
//   log.Attach("info");  // receives all events of event_log.h from now on
//   log.Flush();         // every 100 ms, on a thread that may write
//
// Lines that exceed the bound are dropped and counted. Flush writes a line with
// the number of lines dropped since the last such line.

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace wagtailbend::observability {

/// Thread-safe, except that only one thread at a time may call Flush.
class BoundedLog
{
public:
  /// Buffers at most aMaxBytes of lines not yet taken by Flush. Writes to the
  /// file descriptor aDescriptor.
  explicit BoundedLog(size_t aMaxBytes, int aDescriptor = 1);
  ~BoundedLog();
  BoundedLog(const BoundedLog&) = delete;
  BoundedLog& operator=(const BoundedLog&) = delete;

  /// Replaces all other log output. Call once, before other threads start.
  /// aLevel is as in StartLogging.
  void Attach(std::string_view aLevel);

  /// Adds a line, or drops and counts it if it exceeds the bound.
  void Append(std::string_view aLine);
  /// Writes as much as the descriptor accepts without blocking. Keeps the rest
  /// for the next call.
  void Flush();

  /// Returns the number of lines dropped so far.
  uint64_t DroppedLines() const;

private:
  const size_t m_maxBytes;
  const int m_descriptor;
  mutable std::mutex m_mutex;
  std::string m_pendingLines;
  std::string m_writeBuffer;
  uint64_t m_dropped = 0;
  uint64_t m_reportedDropped = 0;
  bool m_attached = false;
};

} // namespace wagtailbend::observability
