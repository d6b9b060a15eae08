#include "review/common/small_requests.h"

#include <algorithm>
#include <set>

namespace wagtailbend::review {
namespace {

using std::chrono::milliseconds;

constexpr int kClients = 12;
constexpr int kDeadlineMs = 5000;
constexpr double kBytesPerSecond = 1e9;
constexpr auto kRetryDelay = milliseconds(100);
// The servers work for 300 ms.
constexpr const char* kPath = "/small/a?work=300";

} // namespace

SmallRequests::SmallRequests(Fleet& aFleet, size_t aMachine, Record& aRecord)
  : m_fleet(aFleet)
  , m_machine(aMachine)
  , m_record(aRecord)
{
}

void
SmallRequests::Start()
{
  m_threads.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    m_threads.emplace_back([this] { Run(); });
  }
}

void
SmallRequests::Stop()
{
  m_stopping = true;
  for (std::thread& thread : m_threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

void
SmallRequests::Run()
{
  Connection connection;
  bool isKept = false;
  while (!m_stopping) {
    if (!connection.IsOpen()) {
      connection =
        Connection::To(m_fleet.Host(m_machine), m_fleet.ClientPort(), 0);
      isKept = false;
    }
    if (!connection.IsOpen()) {
      std::this_thread::sleep_for(kRetryDelay);
      continue;
    }
    const std::string id = MakeAttemptId();
    const Download answer =
      ReadSteadily(connection,
                   MakeRequest("GET", kPath, id, kDeadlineMs),
                   kBytesPerSecond,
                   kDeadlineMs);
    if (answer.end != DownloadEnd::kComplete) {
      m_record.Add("client of " + id + ": " + answer.Describe());
      connection.Close();
    }
    if (answer.status != 200) {
      std::this_thread::sleep_for(kRetryDelay);
    }
    if (std::exchange(isKept, true)) {
      const std::lock_guard lock(m_mutex);
      m_requests.push_back({ id, answer.end, answer.status });
    }
  }
}

int
SmallRequests::CountLost() const
{
  std::set<std::string> ran;
  for (const wagtailbend::review::Run& run : m_fleet.Runs()) {
    ran.insert(run.id);
  }
  return static_cast<int>(std::count_if(
    m_requests.begin(), m_requests.end(), [&ran](const Request& aRequest) {
      return aRequest.end == DownloadEnd::kConnectionEnded &&
             aRequest.status == 0 && ran.contains(aRequest.id);
    }));
}

} // namespace wagtailbend::review
