// Starts, observes and ends processes in tests.
//
//   Process daemon({ bin + "/wagtaild", "--settings", file });
//   ASSERT_TRUE(daemon.WaitForLine("event=ready", std::chrono::seconds(5)));
//   daemon.Signal(SIGSTOP);

#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace wagtailbend::testing {

/// A child process whose output is read line by line. Killed and reaped by the
/// destructor.
class Process
{
public:
  /// Starts aCommand; its first element is the path of the program.
  explicit Process(std::vector<std::string> aCommand);
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// Waits for a line of standard output that contains aText. Thread-safe.
  bool WaitForLine(const std::string& aText, std::chrono::milliseconds aLimit);
  /// Sends a signal, e.g. SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
  void Signal(int aSignal);
  /// Waits for the end of the process. Returns its exit status, 128 plus the
  /// signal that killed it, or nullopt if it still runs after aLimit.
  std::optional<int> Wait(std::chrono::milliseconds aLimit);

  pid_t Id() const { return m_id; }
  /// All lines so far.
  std::string Output();

private:
  void ReadOutput(int aFile);

  pid_t m_id = -1;
  std::optional<int> m_status;
  std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<std::string> m_lines;
  bool m_closed = false;
  std::thread m_reader;
};

/// Returns "127.0.0.1:port" with a port that was free a moment ago.
std::string
FreeAddress();

/// CPU time used by a process, in milliseconds, and its resident memory.
struct ProcessUsage
{
  double cpuMilliseconds = 0;
  double residentMebibytes = 0;
};

/// Reads /proc; zeros if the process has ended.
ProcessUsage
UsageOf(pid_t aId);

/// Returns the largest resident size that a process had, in KiB; 0 if it has
/// ended.
size_t
PeakMemoryKb(pid_t aId);

/// Returns the number of open descriptors of a process; 0 if it has ended.
size_t
OpenDescriptors(pid_t aId);

} // namespace wagtailbend::testing
