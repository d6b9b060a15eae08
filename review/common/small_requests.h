// Clients of one machine that send small requests on kept connections, one
// after the other.
//
//   SmallRequests load(fleet, 2, record);
//   load.Start();
//   ...
//   load.Stop();
//   if (load.CountLost() > kAllowedLosses) { ... }

#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/common/download.h"
#include "review/common/fleet.h"

namespace wagtailbend::review {

/// LOST allows so many requests that were passed on from kept connections and
/// got no answer.
inline constexpr int kAllowedLosses = 3;

class SmallRequests
{
public:
  SmallRequests(Fleet& aFleet, size_t aMachine, Record& aRecord);
  ~SmallRequests() { Stop(); }
  SmallRequests(const SmallRequests&) = delete;
  SmallRequests& operator=(const SmallRequests&) = delete;

  void Start();
  void Stop();
  /// Requests from kept connections that a server ran and whose connection the
  /// daemon ended without a byte of an answer. Call after Stop.
  int CountLost() const;
  /// All requests from kept connections.
  size_t Count() const { return m_requests.size(); }

private:
  struct Request
  {
    std::string id;
    DownloadEnd end = DownloadEnd::kNotSent;
    int status = 0;
  };

  void Run();

  Fleet& m_fleet;
  const size_t m_machine;
  Record& m_record;
  std::atomic<bool> m_stopping{ false };
  std::vector<std::thread> m_threads;
  std::mutex m_mutex;
  std::vector<Request> m_requests;
};

} // namespace wagtailbend::review
